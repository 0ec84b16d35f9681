package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/faultproxy"
)

// fault is one kind of what may go wrong. It returns once it is over.
type fault struct {
	name   string
	weight int
	inject func(r *run, ctx context.Context, random *rand.Rand)
}

// faultKinds are all kinds.
func faultKinds() []fault {
	return []fault{
		{"stop", 3, atGateway((*run).plannedStop)},
		{"kill", 2, atGateway((*run).crashGateway)},
		{"pause", 4, atGateway((*run).pauseGateway)},
		{"stutter", 2, atGateway((*run).stutterGateway)},
		{"move the list", 3, atGateway((*run).moveDiscovery)},
		{"stop under reloads", 2, atGateway((*run).stopUnderReloads)},
		{"list service", 4, atGateway((*run).discoveryFault)},
		{"replace a worker", 4, (*run).replaceWorker},
		{"replace many workers", 1, (*run).replaceMany},
		{"drain under a pause", 2, atGateway((*run).drainUnderPause)},
		{"worker misbehaves", 5, (*run).misbehavingWorker},
		{"worker connections", 3, (*run).workerConnections},
		{"late connections", 3, (*run).lateConnections},
		{"client network", 3, atGateway((*run).clientNetwork)},
		{"idle clients", 2, atGateway((*run).idleClients)},
		{"bad clients", 3, atGateway((*run).badClients)},
		{"slow readers", 2, atGateway((*run).slowReaders)},
	}
}

// atGateway plays a trouble at a front end that no other trouble has in hand, if there is one.
func atGateway(play func(r *run, ctx context.Context, f *gatewayProcess, random *rand.Rand)) func(*run, context.Context, *rand.Rand) {
	return func(r *run, ctx context.Context, random *rand.Rand) {
		if f := r.claimGateway(random); f != nil {
			defer f.release()
			play(r, ctx, f, random)
		}
	}
}

// drawDuration draws a time.
func drawDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// claimGateway draws a front end that no other trouble has in hand, and takes it; nil: there is none.
func (r *run) claimGateway(random *rand.Rand) *gatewayProcess {
	for range len(r.gateways) {
		if f := r.gateways[random.IntN(len(r.gateways))]; f.isAccepting() && f.claim() {
			r.logf("  at %s", f.name)
			return f
		}
	}
	return nil
}

// restart starts a front end again, and ends what excuses it once it is ready.
func (r *run) restart(ctx context.Context, f *gatewayProcess, excused func()) {
	if err := f.start(ctx); err != nil && ctx.Err() == nil {
		r.checker.Violated(NotReady, f.name, "", "%v", err)
	}
	excused()
}

// plannedStop ends a front end as planned: it sends SIGTERM, goes on sending requests for some time, and starts the front end again
// once it has ended.
func (r *run) plannedStop(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.signal(syscall.SIGTERM)
	time.Sleep(drawDuration(random, 200*time.Millisecond, 400*time.Millisecond))
	f.stopAccepting()
	if !f.stop(syscall.SIGTERM, max(maxWait, 3*time.Second)+700*time.Millisecond) {
		r.logf("%s did not end by itself", f.name)
	}
	restarted := f.delayDiscovery("restart")
	r.restart(ctx, f, restarted)
}

// crashGateway kills a front end and starts it again.
func (r *run) crashGateway(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	over := f.excuseLoss("killed")
	f.stopAccepting()
	f.stop(syscall.SIGKILL, time.Second)
	f.clientProxy.Reset() // as the machine does; the proxy may not have noticed
	restarted := f.delayDiscovery("restart")
	r.restart(ctx, f, func() { over(); restarted() })
}

// pauseGateway has a front end stand still.
func (r *run) pauseGateway(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	r.pause(ctx, f, drawDuration(random, 120*time.Millisecond, 1500*time.Millisecond))
}

// pause has a front end stand still for a time. What it answers late is excused, nothing else is.
func (r *run) pause(ctx context.Context, f *gatewayProcess, d time.Duration) {
	over := f.excuseLoss("paused")
	f.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	f.signal(syscall.SIGCONT)
	over()
}

// stutterGateway has a front end stand still for moments that are too short to be noticed as a pause, one after the other.
func (r *run) stutterGateway(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	for range 10 {
		r.pause(ctx, f, drawDuration(random, 20*time.Millisecond, 90*time.Millisecond))
		sleep(ctx, drawDuration(random, 5*time.Millisecond, 100*time.Millisecond))
	}
}

// moveDiscovery moves the list service's address in a front end's configuration: once, in quick succession, there and back, and in a file
// that is being written as the signal comes.
func (r *run) moveDiscovery(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	moves := 1 + random.IntN(3)
	for range moves {
		r.move(ctx, f, random.IntN(3) == 0)
		sleep(ctx, drawDuration(random, time.Millisecond, 300*time.Millisecond))
	}
}

// move has the front end follow the list at its other address; the one before ends a little later.
func (r *run) move(ctx context.Context, f *gatewayProcess, torn bool) {
	f.mu.Lock()
	old := f.discoveryProxy
	f.discoveryProxy = f.discoveryProxies[0]
	if old == f.discoveryProxy {
		f.discoveryProxy = f.discoveryProxies[1]
	}
	f.mu.Unlock()
	late := f.delayDiscovery("moved")
	f.discoveryProxy.SetFault(faultproxy.Fault{})
	var err error
	if torn {
		err = f.configure(func() {
			f.signal(syscall.SIGHUP)
			time.Sleep(30 * time.Millisecond)
		})
	} else if err = f.configure(nil); err == nil {
		f.signal(syscall.SIGHUP)
	}
	if err != nil {
		r.logf("%s: %v", f.name, err)
	}
	time.AfterFunc(300*time.Millisecond, func() { old.Reset() })
	time.AfterFunc(moveNotificationDelay, late)
}

// stopUnderReloads has SIGHUP and SIGTERM come in any order, and twice.
func (r *run) stopUnderReloads(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	r.move(ctx, f, random.IntN(2) == 0)
	f.signal(syscall.SIGTERM)
	r.move(ctx, f, random.IntN(2) == 0)
	f.signal(syscall.SIGHUP)
	f.signal(syscall.SIGTERM)
	r.plannedStop(ctx, f, random)
}

// discoveryFault has a front end's way to the list service hang, be slow, cut answers or reset connections.
func (r *run) discoveryFault(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	over := f.delayDiscovery("list service")
	f.mu.Lock()
	way := f.discoveryProxy
	f.mu.Unlock()
	fault := faultproxy.Fault{}
	switch random.IntN(4) {
	case 0:
		fault.Blackhole = true
	case 1:
		fault.Delay = drawDuration(random, 200*time.Millisecond, 1500*time.Millisecond)
	case 2:
		fault.CloseAfterBytes = 1 + random.IntN(600)
	}
	way.SetFault(fault)
	way.Reset()
	sleep(ctx, drawDuration(random, 300*time.Millisecond, 4*time.Second))
	way.SetFault(faultproxy.Fault{})
	way.Reset()
	time.AfterFunc(2*time.Second, over)
}

// replaceWorker drains a worker and has another one come, at its address or another.
func (r *run) replaceWorker(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, 1)
}

// replaceMany replaces a third of the workers at once.
func (r *run) replaceMany(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, len(r.listedWorkers())/3)
}

// drainUnderPause has a worker drain while a front end stands still.
func (r *run) drainUnderPause(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		r.pause(ctx, f, drawDuration(random, 700*time.Millisecond, 1500*time.Millisecond))
	}()
	time.Sleep(50 * time.Millisecond)
	r.replace(ctx, rand.New(rand.NewPCG(random.Uint64(), 0)), 2)
	<-paused
}

// replace drains workers, lets them finish, and starts others.
func (r *run) replace(ctx context.Context, random *rand.Rand, n int) {
	old := r.drawWorkers(random, n)
	r.publishState(old, discovery.Draining)
	sleep(ctx, drawDuration(random, 0, 900*time.Millisecond))
	r.publishState(old, discovery.Removed)
	same := random.IntN(2) == 0
	for _, w := range old {
		w.crash()
	}
	sleep(ctx, drawDuration(random, time.Millisecond, 300*time.Millisecond))
	for _, w := range old {
		addr, name := "", ""
		if same {
			addr = w.endpoint.Addr
		}
		if same && random.IntN(2) == 0 {
			name = w.endpoint.Name
		}
		r.addWorker(random, name, addr, random.IntN(4) != 0)
	}
}

// misbehavingWorker has a worker be slow, hang, fail, refuse, spoil its answers or answer twice.
func (r *run) misbehavingWorker(ctx context.Context, random *rand.Rand) {
	workers := r.listedWorkers()
	w := workers[random.IntN(len(workers))]
	moods := []misbehavior{{silent: true}, {extraDelay: drawDuration(random, 100*time.Millisecond, 2*time.Second)}, {fails: true}, {refuses: true},
		{corrupts: true}, {duplicates: true}, {resets: true}}
	w.setMisbehavior(moods[random.IntN(len(moods))])
	sleep(ctx, drawDuration(random, 300*time.Millisecond, 3*time.Second))
	w.setMisbehavior(misbehavior{})
}

// workerConnections resets the connections of a worker, some more than once.
func (r *run) workerConnections(ctx context.Context, random *rand.Rand) {
	workers := r.listedWorkers()
	w := workers[random.IntN(len(workers))]
	for range 1 + random.IntN(3) {
		w.resetAll()
		sleep(ctx, drawDuration(random, time.Millisecond, 200*time.Millisecond))
	}
}

// lateConnections has connections to a worker come up late, or not in time.
func (r *run) lateConnections(ctx context.Context, random *rand.Rand) {
	workers := r.listedWorkers()
	w := workers[random.IntN(len(workers))]
	w.pauseAccept(true)
	w.resetAll()
	sleep(ctx, drawDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	w.pauseAccept(false)
}

// clientNetwork has what passes between a front end and its clients stand still, come late, or be reset.
func (r *run) clientNetwork(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	over, arrived := f.excuseLoss("client network"), f.delayNetwork("client network")
	switch random.IntN(3) {
	case 0:
		f.clientProxy.SetFault(faultproxy.Fault{Blackhole: true})
	case 1:
		f.clientProxy.SetFault(faultproxy.Fault{Delay: drawDuration(random, 5*time.Millisecond, 300*time.Millisecond)})
	case 2:
		f.clientProxy.Reset()
	}
	sleep(ctx, drawDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	f.clientProxy.SetFault(faultproxy.Fault{})
	time.AfterFunc(time.Second, func() { over(); arrived() })
}

// idleClients has connections come that ask whether the front end is alive and then rest, more than it can hold.
func (r *run) idleClients(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	var conns []net.Conn
	for range maxSockets {
		conn, err := net.DialTimeout("tcp", f.listen, dialTimeout)
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

// badClients sends what can't be read, stops in the middle, and closes under what it has asked.
func (r *run) badClients(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	for range 20 {
		conn, err := net.DialTimeout("tcp", f.listen, dialTimeout)
		if err != nil {
			return
		}
		r.checker.count(func(s *Counts) { s.BadClients++ })
		go badClient(ctx, conn, rand.New(rand.NewPCG(random.Uint64(), 1)))
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
		frame = []byte(fmt.Sprintf("GET / HTTP/1.1\r\nHost: %x\r\n\r\n", random.Uint64()))
	case 4:
		for range 40 {
			frame = append(frame, healthCheckFrame()...)
		}
	}
	_, _ = conn.Write(frame) // it may have been closed
	sleep(ctx, drawDuration(random, time.Millisecond, 1500*time.Millisecond))
}

// slowReaders has the answers of a front end pass to its clients a little at a time.
func (r *run) slowReaders(ctx context.Context, f *gatewayProcess, random *rand.Rand) {
	over, arrived := f.excuseLoss("slow readers"), f.delayNetwork("slow readers")
	f.clientProxy.SetFault(faultproxy.Fault{Delay: drawDuration(random, 20*time.Millisecond, 120*time.Millisecond)})
	sleep(ctx, drawDuration(random, 200*time.Millisecond, 1500*time.Millisecond))
	f.clientProxy.SetFault(faultproxy.Fault{})
	time.AfterFunc(time.Second, func() { over(); arrived() })
}
