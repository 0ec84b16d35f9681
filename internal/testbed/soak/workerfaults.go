package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// takeOverDelay is the time after which gateways are told that another worker is at the address of one that has gone.
const takeOverDelay = 500 * time.Millisecond

// pauseLead is the time between the start of a gateway's pause and the start of the drains in it.
const pauseLead = 50 * time.Millisecond

// replaceWorker drains a worker and starts a new one, at the same or another address.
func (r *run) replaceWorker(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, 1)
}

// replaceMany replaces a third of the workers at once.
func (r *run) replaceMany(ctx context.Context, random *rand.Rand) {
	r.replace(ctx, random, len(r.listedWorkers())/3)
}

// drainUnderPause drains workers while a gateway is suspended.
func (r *run) drainUnderPause(ctx context.Context, gateway *gatewayProcess, random *rand.Rand) {
	paused := make(chan struct{})
	go func() {
		defer close(paused)
		r.pause(ctx, gateway, randomDuration(random, 700*time.Millisecond, 1500*time.Millisecond))
	}()
	time.Sleep(pauseLead)
	r.replace(ctx, rand.New(rand.NewPCG(random.Uint64(), 0)), 2)
	<-paused
}

// replace drains workers, ends them after a random time, and starts new ones.
func (r *run) replace(ctx context.Context, random *rand.Rand, count int) {
	replaced := r.randomWorkers(random, count)
	r.publishState(replaced, discovery.Draining)
	sleep(ctx, randomDuration(random, 0, 900*time.Millisecond))
	r.publishState(replaced, discovery.Removed)
	sameAddr := random.IntN(2) == 0
	for _, w := range replaced {
		w.crash()
	}
	sleep(ctx, randomDuration(random, time.Millisecond, 300*time.Millisecond))
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

// takeOverAddress makes a worker fall silent with its connections open, starts another one at its address at once, and
// publishes both some time later.
func (r *run) takeOverAddress(ctx context.Context, random *rand.Rand) {
	silenced := r.randomWorkers(random, 1)
	if len(silenced) == 0 {
		return
	}
	old := silenced[0]
	old.vanish()
	r.mu.Lock()
	name := r.nextWorkerName()
	r.mu.Unlock()
	successor, err := r.newWorker(name, old.endpoint.Addr, random.IntN(zones), time.Time{}, random.Uint64())
	if err != nil {
		r.logf("%v", err) // the address may be in use
	}
	sleep(ctx, takeOverDelay)
	r.publishState(silenced, discovery.Removed)
	if successor != nil {
		r.publishNew(successor)
	}
	sleep(ctx, randomDuration(random, 0, 2*time.Second))
	old.crash()
}

// makeWorkerMisbehave makes a worker hang, be slow, fail or reject requests, corrupt or duplicate its answers, or reset
// connections for a random time.
func (r *run) makeWorkerMisbehave(ctx context.Context, random *rand.Rand) {
	w := r.randomWorker(random)
	kinds := []misbehavior{
		{silent: true},
		{extraDelay: randomDuration(random, 100*time.Millisecond, 2*time.Second)},
		{fails: true},
		{rejects: true},
		{corrupts: true},
		{duplicates: true},
		{resets: true},
	}
	w.setMisbehavior(kinds[random.IntN(len(kinds))])
	sleep(ctx, randomDuration(random, 300*time.Millisecond, 3*time.Second))
	w.setMisbehavior(misbehavior{})
}

// resetWorkerConnections resets the connections of a worker one to three times.
func (r *run) resetWorkerConnections(ctx context.Context, random *rand.Rand) {
	w := r.randomWorker(random)
	for range 1 + random.IntN(3) {
		w.resetConns()
		sleep(ctx, randomDuration(random, time.Millisecond, 200*time.Millisecond))
	}
}

// delayWorkerConnections resets the connections of a worker, and makes new ones be established late or time out.
func (r *run) delayWorkerConnections(ctx context.Context, random *rand.Rand) {
	w := r.randomWorker(random)
	w.pauseAccept()
	w.resetConns()
	sleep(ctx, randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	w.resumeAccept()
}
