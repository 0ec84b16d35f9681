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
	// networkRecovery is the time after a fault of the client network during which delayed data may still arrive.
	networkRecovery = time.Second
	// badConnections is the number of connections that bad clients open.
	badConnections = 20
	// healthCheckBurst is the number of health checks that a bad client sends at once, after a first one.
	healthCheckBurst = 40
)

// disturbClientNetwork blocks, delays or resets the connections between a gateway and its clients.
func (r *run) disturbClientNetwork(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	endFault := gateway.beginNetworkFault()
	switch random.IntN(3) {
	case 0:
		gateway.clientProxy.SetFault(faultproxy.Fault{Blackhole: true})
	case 1:
		delay := randomDuration(random, 5*time.Millisecond, 300*time.Millisecond)
		gateway.clientProxy.SetFault(faultproxy.Fault{Delay: delay})
	case 2:
		gateway.clientProxy.Reset()
	}
	sleep(ctx, randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	gateway.clientProxy.SetFault(faultproxy.Fault{})
	time.AfterFunc(networkRecovery, endFault)
}

// slowClientReads delays the data between a gateway and its clients, in both directions, so that responses are read
// slowly.
func (r *run) slowClientReads(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	endFault := gateway.beginNetworkFault()
	delay := randomDuration(random, 20*time.Millisecond, 120*time.Millisecond)
	gateway.clientProxy.SetFault(faultproxy.Fault{Delay: delay})
	sleep(ctx, randomDuration(random, 200*time.Millisecond, 1500*time.Millisecond))
	gateway.clientProxy.SetFault(faultproxy.Fault{})
	time.AfterFunc(networkRecovery, endFault)
}

// beginNetworkFault begins a period in which requests may be lost or delayed; the returned function ends it.
func (g *gatewayProcess) beginNetworkFault() (end func()) {
	endLoss, endDelay := g.beginLossExcuse(), g.beginNetworkDelay()
	return func() {
		endLoss()
		endDelay()
	}
}

// openIdleConnections opens as many connections as the gateway's socket limit, which is more than it can hold besides
// its other sockets. A random half of them sends a health check; then all stay idle.
func (r *run) openIdleConnections(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	var conns []net.Conn
	for range maxSockets {
		conn, err := net.DialTimeout("tcp", gateway.listen, dialTimeout)
		if err != nil {
			break
		}
		conns = append(conns, conn)
		if random.IntN(2) == 0 {
			_, _ = conn.Write(healthCheckFrame()) // the gateway may have closed it
		}
	}
	sleep(ctx, randomDuration(random, 200*time.Millisecond, 2*time.Second))
	for _, conn := range conns {
		conn.Close()
	}
}

// runBadClients runs clients that send malformed frames, stop within a frame, or close the connection before the
// answer.
func (r *run) runBadClients(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	for range badConnections {
		conn, err := net.DialTimeout("tcp", gateway.listen, dialTimeout)
		if err != nil {
			return
		}
		r.checker.count(func(counts *Counts) { counts.BadClients++ })
		clientRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
		r.activeFaults.Go(func() { runBadClient(ctx, conn, clientRandom) })
		sleep(ctx, randomDuration(random, time.Millisecond, 30*time.Millisecond))
	}
}

// runBadClient runs one bad client.
func runBadClient(ctx context.Context, conn net.Conn, random *rand.Rand) {
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
	_, _ = conn.Write(frame) // the gateway may have closed it
	sleep(ctx, randomDuration(random, time.Millisecond, 1500*time.Millisecond))
}
