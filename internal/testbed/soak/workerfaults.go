package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// pauseLead is how long a gateway stands still before workers drain under its pause.
const pauseLead = 50 * time.Millisecond

// replaceWorker drains a worker and has another one come, at its address or another.
func (r *run) replaceWorker(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, 1)
}

// replaceMany replaces a third of the workers at once.
func (r *run) replaceMany(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, len(r.listedWorkers())/3)
}

// drainUnderPause has workers drain while a gateway stands still.
func (r *run) drainUnderPause(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		r.pause(ctx, gateway, drawDuration(random, 700*time.Millisecond, 1500*time.Millisecond))
	}()
	time.Sleep(pauseLead)
	r.replace(ctx, rand.New(rand.NewPCG(random.Uint64(), 0)), 2)
	<-paused
}

// replace drains workers, lets them finish, and starts others.
func (r *run) replace(ctx context.Context, random *rand.Rand, count int) {
	replaced := r.drawWorkers(random, count)
	r.publishState(replaced, discovery.Draining)
	sleep(ctx, drawDuration(random, 0, 900*time.Millisecond))
	r.publishState(replaced, discovery.Removed)
	sameAddr := random.IntN(2) == 0
	for _, w := range replaced {
		w.crash()
	}
	sleep(ctx, drawDuration(random, time.Millisecond, 300*time.Millisecond))
	for _, w := range replaced {
		addr, name := "", ""
		if sameAddr {
			addr = w.endpoint.Addr
		}
		if sameAddr && random.IntN(2) == 0 {
			name = w.endpoint.Name
		}
		r.addWorker(random, name, addr, random.IntN(4) != 0)
	}
}

// misbehavingWorker has a worker be slow, hang, fail, reject, corrupt its responses or respond twice.
func (r *run) misbehavingWorker(ctx context.Context, random *rand.Rand) {
	w := r.drawWorker(random)
	kinds := []misbehavior{
		{silent: true},
		{extraDelay: drawDuration(random, 100*time.Millisecond, 2*time.Second)},
		{fails: true},
		{rejects: true},
		{corrupts: true},
		{duplicates: true},
		{resets: true},
	}
	w.setMisbehavior(kinds[random.IntN(len(kinds))])
	sleep(ctx, drawDuration(random, 300*time.Millisecond, 3*time.Second))
	w.setMisbehavior(misbehavior{})
}

// workerConnections resets the connections of a worker, some more than once.
func (r *run) workerConnections(ctx context.Context, random *rand.Rand) {
	w := r.drawWorker(random)
	for range 1 + random.IntN(3) {
		w.resetAll()
		sleep(ctx, drawDuration(random, time.Millisecond, 200*time.Millisecond))
	}
}

// lateConnections has connections to a worker come up late, or not in time.
func (r *run) lateConnections(ctx context.Context, random *rand.Rand) {
	w := r.drawWorker(random)
	w.pauseAccept()
	w.resetAll()
	sleep(ctx, drawDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	w.resumeAccept()
}
