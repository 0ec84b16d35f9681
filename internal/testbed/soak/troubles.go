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

// trouble is one kind of what may go wrong. It returns once it is over.
type trouble struct {
	name   string
	weight int
	play   func(r *run, ctx context.Context, random *rand.Rand)
}

// troubles are all kinds.
func troubles() []trouble {
	return []trouble{
		{"stop", 3, atFront((*run).plannedStop)},
		{"kill", 2, atFront((*run).killFront)},
		{"pause", 4, atFront((*run).pauseFront)},
		{"stutter", 2, atFront((*run).stutterFront)},
		{"move the list", 3, atFront((*run).moveList)},
		{"stop under reloads", 2, atFront((*run).stopUnderReloads)},
		{"list service", 4, atFront((*run).listTrouble)},
		{"replace a worker", 4, (*run).replaceWorker},
		{"replace many workers", 1, (*run).replaceMany},
		{"drain under a pause", 2, atFront((*run).drainUnderPause)},
		{"worker misbehaves", 5, (*run).workerMisbehaves},
		{"worker connections", 3, (*run).workerConnections},
		{"late connections", 3, (*run).lateConnections},
		{"client network", 3, atFront((*run).clientNetwork)},
		{"idle clients", 2, atFront((*run).idleClients)},
		{"bad clients", 3, atFront((*run).badClients)},
		{"slow readers", 2, atFront((*run).slowReaders)},
	}
}

// atFront plays a trouble at a front end that no other trouble has in hand, if there is one.
func atFront(play func(r *run, ctx context.Context, f *front, random *rand.Rand)) func(*run, context.Context, *rand.Rand) {
	return func(r *run, ctx context.Context, random *rand.Rand) {
		if f := r.free(random); f != nil {
			defer f.release()
			play(r, ctx, f, random)
		}
	}
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// free draws a front end that no other trouble has in hand, and takes it; nil: there is none.
func (r *run) free(random *rand.Rand) *front {
	for range len(r.fronts) {
		if f := r.fronts[random.IntN(len(r.fronts))]; f.takes() && f.claim() {
			r.say("  at %s", f.name)
			return f
		}
	}
	return nil
}

// restart starts a front end again, and ends what excuses it once it is ready.
func (r *run) restart(ctx context.Context, f *front, excused func()) {
	if err := f.start(ctx); err != nil && ctx.Err() == nil {
		r.ledger.Violated(NotReady, f.name, "", "%v", err)
	}
	excused()
}

// plannedStop ends a front end as planned: it sends SIGTERM, goes on sending requests for some time, and starts the front end again
// once it has ended.
func (r *run) plannedStop(ctx context.Context, f *front, random *rand.Rand) {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.signal(syscall.SIGTERM)
	time.Sleep(between(random, 200*time.Millisecond, 400*time.Millisecond))
	f.rest()
	if !f.stop(syscall.SIGTERM, max(longest, 3*time.Second)+700*time.Millisecond) {
		r.say("%s did not end by itself", f.name)
	}
	restarted := f.lateList("restart")
	r.restart(ctx, f, restarted)
}

// killFront kills a front end and starts it again.
func (r *run) killFront(ctx context.Context, f *front, random *rand.Rand) {
	over := f.excuse("killed")
	f.rest()
	f.stop(syscall.SIGKILL, time.Second)
	f.clients.Reset() // as the machine does; the proxy may not have noticed
	restarted := f.lateList("restart")
	r.restart(ctx, f, func() { over(); restarted() })
}

// pauseFront has a front end stand still.
func (r *run) pauseFront(ctx context.Context, f *front, random *rand.Rand) {
	r.pause(ctx, f, between(random, 120*time.Millisecond, 1500*time.Millisecond))
}

// pause has a front end stand still for a time. What it answers late is excused, nothing else is.
func (r *run) pause(ctx context.Context, f *front, d time.Duration) {
	over := f.excuse("paused")
	f.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	f.signal(syscall.SIGCONT)
	over()
}

// stutterFront has a front end stand still for moments that are too short to be noticed as a pause, one after the other.
func (r *run) stutterFront(ctx context.Context, f *front, random *rand.Rand) {
	for range 10 {
		r.pause(ctx, f, between(random, 20*time.Millisecond, 90*time.Millisecond))
		sleep(ctx, between(random, 5*time.Millisecond, 100*time.Millisecond))
	}
}

// moveList moves the list service's address in a front end's configuration: once, in quick succession, there and back, and in a file
// that is being written as the signal comes.
func (r *run) moveList(ctx context.Context, f *front, random *rand.Rand) {
	moves := 1 + random.IntN(3)
	for range moves {
		r.move(ctx, f, random.IntN(3) == 0)
		sleep(ctx, between(random, time.Millisecond, 300*time.Millisecond))
	}
}

// move has the front end follow the list at its other address; the one before ends a little later.
func (r *run) move(ctx context.Context, f *front, torn bool) {
	f.mu.Lock()
	old := f.journal
	f.journal = f.ways[0]
	if old == f.journal {
		f.journal = f.ways[1]
	}
	f.mu.Unlock()
	late := f.lateList("moved")
	f.journal.Set(faultproxy.Fault{})
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
		r.say("%s: %v", f.name, err)
	}
	time.AfterFunc(300*time.Millisecond, func() { old.Reset() })
	time.AfterFunc(movedWithin, late)
}

// stopUnderReloads has SIGHUP and SIGTERM come in any order, and twice.
func (r *run) stopUnderReloads(ctx context.Context, f *front, random *rand.Rand) {
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

// listTrouble has a front end's way to the list service hang, be slow, cut answers or reset connections.
func (r *run) listTrouble(ctx context.Context, f *front, random *rand.Rand) {
	over := f.lateList("list service")
	f.mu.Lock()
	way := f.journal
	f.mu.Unlock()
	fault := faultproxy.Fault{}
	switch random.IntN(4) {
	case 0:
		fault.Hold = true
	case 1:
		fault.Delay = between(random, 200*time.Millisecond, 1500*time.Millisecond)
	case 2:
		fault.Cut = 1 + random.IntN(600)
	}
	way.Set(fault)
	way.Reset()
	sleep(ctx, between(random, 300*time.Millisecond, 4*time.Second))
	way.Set(faultproxy.Fault{})
	way.Reset()
	time.AfterFunc(2*time.Second, over)
}

// replaceWorker drains a worker and has another one come, at its address or another.
func (r *run) replaceWorker(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, 1)
}

// replaceMany replaces a third of the workers at once.
func (r *run) replaceMany(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, len(r.fleet())/3)
}

// drainUnderPause has a worker drain while a front end stands still.
func (r *run) drainUnderPause(ctx context.Context, f *front, random *rand.Rand) {
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		r.pause(ctx, f, between(random, 700*time.Millisecond, 1500*time.Millisecond))
	}()
	time.Sleep(50 * time.Millisecond)
	r.replace(ctx, rand.New(rand.NewPCG(random.Uint64(), 0)), 2)
	<-paused
}

// replace drains workers, lets them finish, and starts others.
func (r *run) replace(ctx context.Context, random *rand.Rand, n int) {
	old := r.take(random, n)
	r.tell(old, discovery.Draining)
	sleep(ctx, between(random, 0, 900*time.Millisecond))
	r.tell(old, discovery.Removed)
	same := random.IntN(2) == 0
	for _, w := range old {
		w.die()
	}
	sleep(ctx, between(random, time.Millisecond, 300*time.Millisecond))
	for _, w := range old {
		addr, name := "", ""
		if same {
			addr = w.line.Addr
		}
		if same && random.IntN(2) == 0 {
			name = w.line.Name
		}
		r.add(random, name, addr, random.IntN(4) != 0)
	}
}

// workerMisbehaves has a worker be slow, hang, fail, refuse, spoil its answers or answer twice.
func (r *run) workerMisbehaves(ctx context.Context, random *rand.Rand) {
	workers := r.fleet()
	w := workers[random.IntN(len(workers))]
	moods := []mood{{mute: true}, {slow: between(random, 100*time.Millisecond, 2*time.Second)}, {fails: true}, {refuses: true},
		{spoils: true}, {twice: true}, {breaks: true}}
	w.set(moods[random.IntN(len(moods))])
	sleep(ctx, between(random, 300*time.Millisecond, 3*time.Second))
	w.set(mood{})
}

// workerConnections resets the connections of a worker, some more than once.
func (r *run) workerConnections(ctx context.Context, random *rand.Rand) {
	workers := r.fleet()
	w := workers[random.IntN(len(workers))]
	for range 1 + random.IntN(3) {
		w.resetAll()
		sleep(ctx, between(random, time.Millisecond, 200*time.Millisecond))
	}
}

// lateConnections has connections to a worker come up late, or not in time.
func (r *run) lateConnections(ctx context.Context, random *rand.Rand) {
	workers := r.fleet()
	w := workers[random.IntN(len(workers))]
	w.hold(true)
	w.resetAll()
	sleep(ctx, between(random, 100*time.Millisecond, 1500*time.Millisecond))
	w.hold(false)
}

// clientNetwork has what passes between a front end and its clients stand still, come late, or be reset.
func (r *run) clientNetwork(ctx context.Context, f *front, random *rand.Rand) {
	over, arrived := f.excuse("client network"), f.lateNetwork("client network")
	switch random.IntN(3) {
	case 0:
		f.clients.Set(faultproxy.Fault{Hold: true})
	case 1:
		f.clients.Set(faultproxy.Fault{Delay: between(random, 5*time.Millisecond, 300*time.Millisecond)})
	case 2:
		f.clients.Reset()
	}
	sleep(ctx, between(random, 100*time.Millisecond, 1500*time.Millisecond))
	f.clients.Set(faultproxy.Fault{})
	time.AfterFunc(time.Second, func() { over(); arrived() })
}

// idleClients has connections come that ask whether the front end is alive and then rest, more than it can hold.
func (r *run) idleClients(ctx context.Context, f *front, random *rand.Rand) {
	var conns []net.Conn
	for range sockets {
		conn, err := net.DialTimeout("tcp", f.listen, dialLimit)
		if err != nil {
			break
		}
		conns = append(conns, conn)
		if random.IntN(2) == 0 {
			_, _ = conn.Write(aliveFrame()) // it may have been closed
		}
	}
	sleep(ctx, between(random, 200*time.Millisecond, 2*time.Second))
	for _, conn := range conns {
		conn.Close()
	}
}

// badClients sends what can't be read, stops in the middle, and closes under what it has asked.
func (r *run) badClients(ctx context.Context, f *front, random *rand.Rand) {
	for range 20 {
		conn, err := net.DialTimeout("tcp", f.listen, dialLimit)
		if err != nil {
			return
		}
		r.ledger.count(func(s *Sums) { s.BadClients++ })
		go badClient(ctx, conn, rand.New(rand.NewPCG(random.Uint64(), 1)))
		sleep(ctx, between(random, time.Millisecond, 30*time.Millisecond))
	}
}

// badClient plays one bad client.
func badClient(ctx context.Context, conn net.Conn, random *rand.Rand) {
	defer conn.Close()
	frame := aliveFrame()
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
			frame = append(frame, aliveFrame()...)
		}
	}
	_, _ = conn.Write(frame) // it may have been closed
	sleep(ctx, between(random, time.Millisecond, 1500*time.Millisecond))
}

// slowReaders has the answers of a front end pass to its clients a little at a time.
func (r *run) slowReaders(ctx context.Context, f *front, random *rand.Rand) {
	over, arrived := f.excuse("slow readers"), f.lateNetwork("slow readers")
	f.clients.Set(faultproxy.Fault{Delay: between(random, 20*time.Millisecond, 120*time.Millisecond)})
	sleep(ctx, between(random, 200*time.Millisecond, 1500*time.Millisecond))
	f.clients.Set(faultproxy.Fault{})
	time.AfterFunc(time.Second, func() { over(); arrived() })
}
