package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// minWorkers is the minimum number of workers that a fault leaves running.
const minWorkers = 2

// clockSkews are the offsets of which a random one is added to the published start time of a new worker. To the
// gateways, it looks like a step of their own wall clock relative to that of the discovery service.
var clockSkews = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

func (r *run) nextWorkerName() string {
	r.lastWorkerNumber++
	return fmt.Sprintf("w%d", r.lastWorkerNumber)
}

// newWorker starts a worker that reports to the run's checker.
func (r *run) newWorker(name, addr string, zone int, startedAt time.Time, seed uint64) (*worker, error) {
	w, err := newWorker(r.checker, name, addr, zone, startedAt, seed)
	if err != nil {
		return nil, err
	}
	w.sender, w.drainingAnswersQueries = r.gatewayOf, r.options.DrainingAnswersQueries
	return w, nil
}

// endpoints returns the current endpoint list and its position.
func (r *run) endpoints() (endpoints []discovery.Endpoint, position int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		endpoints = append(endpoints, w.endpoint)
	}
	return endpoints, r.discovery.Counts().Position
}

// listedWorkers returns the workers on the endpoint list.
func (r *run) listedWorkers() []*worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.workers)
}

// randomWorker returns a random worker of the endpoint list.
func (r *run) randomWorker(random *rand.Rand) *worker {
	workers := r.listedWorkers()
	return workers[random.IntN(len(workers))]
}

// randomWorkers returns up to count random workers, ordered by the numbers in their names. At least minWorkers are
// always left out.
func (r *run) randomWorkers(random *rand.Rand, count int) (selected []*worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range min(count, len(r.workers)-minWorkers) {
		selected = append(selected, r.workers[random.IntN(len(r.workers))])
	}
	slices.SortFunc(selected, func(a, b *worker) int { return int(a.number()) - int(b.number()) })
	return slices.Compact(selected)
}

// publishState publishes a new state of workers; removed ones leave the endpoint list.
func (r *run) publishState(workers []*worker, state discovery.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var endpoints []discovery.Endpoint
	for _, w := range workers {
		w.endpoint.State = state
		endpoints = append(endpoints, w.endpoint)
		if state == discovery.Removed {
			r.workers = slices.DeleteFunc(r.workers, func(listed *worker) bool { return listed == w })
		}
	}
	_, at := r.discovery.Publish(endpoints)
	for _, w := range workers {
		w.markDraining(at)
	}
}

// publishNew publishes a worker that has been started.
func (r *run) publishNew(w *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
	r.discovery.Publish([]discovery.Endpoint{w.endpoint})
}

// addWorker starts a worker and publishes it. If name or addr is empty, a new one is chosen. A cold worker has just
// started, any other one long ago.
func (r *run) addWorker(random *rand.Rand, name, addr string, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		name = r.nextWorkerName()
	}
	startedAt := time.Time{}
	if cold {
		startedAt = time.Now()
	}
	w, err := r.newWorker(name, addr, random.IntN(zones), startedAt, random.Uint64())
	if err != nil { // the address may be in use
		w, err = r.newWorker(name, "", random.IntN(zones), startedAt, random.Uint64())
	}
	if err != nil {
		r.logf("%v", err)
		return
	}
	if cold {
		skew := clockSkews[random.IntN(len(clockSkews))]
		w.endpoint.StartedUnixMilli = startedAt.Add(skew).UnixMilli()
	}
	r.workers = append(r.workers, w)
	r.discovery.Publish([]discovery.Endpoint{w.endpoint})
}
