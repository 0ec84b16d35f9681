package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"lupinpond/internal/testbed/faultproxy"
)

const (
	// networkRecovery is how long after a fault of the client network what passed it may still come late.
	networkRecovery = time.Second
	// badConnections is how many connections of bad clients come.
	badConnections = 20
	// healthCheckBurst is how many health checks one of them sends at once.
	healthCheckBurst = 40
)

// clientNetwork has what passes between a gateway and its clients stand still, come late, or be reset.
func (r *run) clientNetwork(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	recovered := gateway.disturbNetwork()
	switch random.IntN(3) {
	case 0:
		gateway.clientProxy.SetFault(faultproxy.Fault{Blackhole: true})
	case 1:
		delay := drawDuration(random, 5*time.Millisecond, 300*time.Millisecond)
		gateway.clientProxy.SetFault(faultproxy.Fault{Delay: delay})
	case 2:
		gateway.clientProxy.Reset()
	}
	sleep(ctx, drawDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	gateway.clientProxy.SetFault(faultproxy.Fault{})
	time.AfterFunc(networkRecovery, recovered)
}

// slowReaders has the responses of a gateway pass to its clients a little at a time.
func (r *run) slowReaders(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	recovered := gateway.disturbNetwork()
	delay := drawDuration(random, 20*time.Millisecond, 120*time.Millisecond)
	gateway.clientProxy.SetFault(faultproxy.Fault{Delay: delay})
	sleep(ctx, drawDuration(random, 200*time.Millisecond, 1500*time.Millisecond))
	gateway.clientProxy.SetFault(faultproxy.Fault{})
	time.AfterFunc(networkRecovery, recovered)
}

// disturbNetwork begins a time in which requests may be lost and come late; the result ends it.
func (g *gatewayProcess) disturbNetwork() (end func()) {
	endLoss, endDelay := g.excuseLoss(), g.delayNetwork()
	return func() {
		endLoss()
		endDelay()
	}
}

// idleClients has connections come that ask whether the gateway is ready and then rest, more than it can hold.
func (r *run) idleClients(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	var conns []net.Conn
	for range maxSockets {
		conn, err := net.DialTimeout("tcp", gateway.listen, dialTimeout)
		if err != nil {
			break
		}
		conns = append(conns, conn)
		if random.IntN(2) == 0 {
			_, _ = conn.Write(healthCheckFrame()) // it may have been closed
		}
	}
	sleep(ctx, drawDuration(random, 200*time.Millisecond, 2*time.Second))
	for _, conn := range conns {
		conn.Close()
	}
}

// badClients sends what can't be read, stops in the middle, and closes under what it has sent.
func (r *run) badClients(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	for range badConnections {
		conn, err := net.DialTimeout("tcp", gateway.listen, dialTimeout)
		if err != nil {
			return
		}
		r.checker.count(func(counts *Counts) { counts.BadClients++ })
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		r.activeFaults.Go(func() { badClient(ctx, conn, own) })
		sleep(ctx, drawDuration(random, time.Millisecond, 30*time.Millisecond))
	}
}

// badClient plays one bad client.
func badClient(ctx context.Context, conn net.Conn, random *rand.Rand) {
	defer conn.Close()
	frame := healthCheckFrame()
	switch random.IntN(5) {
	case 0:
		frame = []byte{0x7f, 0xff, 0xff, 0xff, 1, 2, 3}
	case 1:
		frame = []byte{0, 0, 0, 9, 0x80, 1, 0, 1, 0xff, 0xff, 0xff, 0xff, 0}
	case 2:
		frame = frame[:1+random.IntN(len(frame)-1)]
	case 3:
		frame = fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %x\r\n\r\n", random.Uint64())
	case 4:
		for range healthCheckBurst {
			frame = append(frame, healthCheckFrame()...)
		}
	}
	_, _ = conn.Write(frame) // it may have been closed
	sleep(ctx, drawDuration(random, time.Millisecond, 1500*time.Millisecond))
}
