package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"lupinpond/internal/testbed/faultproxy"
)

const (
	// crashTimeout is the time within which a killed process should end.
	crashTimeout = time.Second
	// writeInterruption is the time for which a configuration file stays half written.
	writeInterruption = 30 * time.Millisecond
	// oldDiscoveryLifetime is the time for which connections to the old address of the discovery service live on after a
	// move.
	oldDiscoveryLifetime = 300 * time.Millisecond
	// discoveryRecovery is the time after a fault of the discovery service during which its notifications may still be
	// late.
	discoveryRecovery = 2 * time.Second
)

// stopGateway shuts a gateway down and starts it again. After SIGTERM, clients open new connections for some time and
// send requests on open connections until the process ends. SIGKILL follows as early as the platform may send it.
func (r *run) stopGateway(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	signalled := time.Now()
	r.stopGatewaySince(ctx, gateway, random, signalled)
}

// stopGatewaySince is stopGateway for a gateway that received its first SIGTERM at the given time.
func (r *run) stopGatewaySince(ctx context.Context, gateway *gatewayProcess, random *rand.Rand, signalled time.Time) {
	gateway.expectStop()
	gateway.signal(syscall.SIGTERM)
	time.Sleep(randomDuration(random, 200*time.Millisecond, 400*time.Millisecond))
	gateway.setSendMode(sendOnOpenConns)
	if !gateway.stop(syscall.SIGTERM, time.Until(signalled.Add(r.options.stopTimeout()))) {
		r.logf("%s did not end after SIGTERM and was killed", gateway.name)
	}
	r.restart(ctx, gateway)
}

// crashGateway kills a gateway and starts it again.
func (r *run) crashGateway(ctx context.Context, gateway *gatewayProcess, _ *rand.Rand) {
	endExcuse := gateway.beginLossExcuse()
	defer endExcuse()
	gateway.setSendMode(sendNothing)
	gateway.stop(syscall.SIGKILL, crashTimeout)
	gateway.clientProxy.Reset() // the kernel resets connections of a killed process; the proxy may not have noticed yet
	r.restart(ctx, gateway)
}

// restart starts a gateway again. It is notified late of changes that are published meanwhile.
func (r *run) restart(ctx context.Context, gateway *gatewayProcess) {
	endDelay := gateway.beginDiscoveryDelay()
	defer endDelay()
	if err := gateway.start(ctx); err != nil && ctx.Err() == nil {
		r.checker.recordViolation(NotReady, gateway.name, "", "%v", err)
	}
}

// pauseGateway suspends a gateway for a random time.
func (r *run) pauseGateway(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	r.pause(ctx, gateway, randomDuration(random, 120*time.Millisecond, 1500*time.Millisecond))
}

// pause suspends a gateway for a duration. Late responses are excused; other rules still apply.
func (r *run) pause(ctx context.Context, gateway *gatewayProcess, duration time.Duration) {
	endExcuse := gateway.beginLossExcuse()
	defer endExcuse()
	quota := gateway.currentQuota()
	if quota == nil {
		gateway.signal(syscall.SIGSTOP)
		sleep(ctx, duration)
		gateway.signal(syscall.SIGCONT)
		return
	}
	quota.Pause()
	sleep(ctx, duration)
	quota.Resume()
}

// stutterGateway suspends a gateway several times in succession, each time too briefly to be detected as a stall.
func (r *run) stutterGateway(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	for range 10 {
		r.pause(ctx, gateway, randomDuration(random, 20*time.Millisecond, 90*time.Millisecond))
		sleep(ctx, randomDuration(random, 5*time.Millisecond, 100*time.Millisecond))
	}
}

// moveDiscovery changes the discovery service's address in a gateway's configuration one to three times in quick
// succession, there and back. Some signals arrive while the file is half written.
func (r *run) moveDiscovery(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	moves := 1 + random.IntN(3)
	for range moves {
		r.move(gateway, random.IntN(3) == 0)
		sleep(ctx, randomDuration(random, time.Millisecond, 300*time.Millisecond))
	}
}

// move makes the gateway poll the discovery service at its other address; connections to the old one are reset a little
// later. With halfWritten, the gateway receives SIGHUP while its configuration file is half written.
func (r *run) move(gateway *gatewayProcess, halfWritten bool) {
	old, current := gateway.moveDiscovery()
	endMove := gateway.beginDiscoveryMove()
	current.SetFault(faultproxy.Fault{})
	var err error
	if halfWritten {
		err = gateway.configure(func() {
			gateway.signal(syscall.SIGHUP)
			time.Sleep(writeInterruption)
		})
	} else if err = gateway.configure(nil); err == nil {
		gateway.signal(syscall.SIGHUP)
	}
	if err != nil {
		r.logf("%s: %v", gateway.name, err)
	}
	time.AfterFunc(oldDiscoveryLifetime, old.Reset)
	time.AfterFunc(moveNotificationDelay, endMove)
}

// stopUnderReloads shuts a gateway down with several interleaved SIGHUPs and SIGTERMs, and starts it again.
func (r *run) stopUnderReloads(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	gateway.expectStop()
	r.move(gateway, random.IntN(2) == 0)
	signalled := time.Now()
	gateway.signal(syscall.SIGTERM)
	r.move(gateway, random.IntN(2) == 0)
	gateway.signal(syscall.SIGHUP)
	gateway.signal(syscall.SIGTERM)
	r.stopGatewaySince(ctx, gateway, random, signalled)
}

// disturbDiscovery makes a gateway's connections to the discovery service hang, be slow, end within a response or be
// reset.
func (r *run) disturbDiscovery(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	endDelay := gateway.beginDiscoveryDelay()
	proxy := gateway.currentDiscovery()
	fault := faultproxy.Fault{}
	switch random.IntN(4) {
	case 0:
		fault.Blackhole = true
	case 1:
		fault.Delay = randomDuration(random, 200*time.Millisecond, 1500*time.Millisecond)
	case 2:
		fault.CloseAfterBytes = 1 + random.IntN(600)
	}
	proxy.SetFault(fault)
	proxy.Reset()
	sleep(ctx, randomDuration(random, 300*time.Millisecond, 4*time.Second))
	proxy.SetFault(faultproxy.Fault{})
	proxy.Reset()
	time.AfterFunc(discoveryRecovery, endDelay)
}
