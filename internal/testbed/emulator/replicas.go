package emulator

import (
	"time"

	"lupinpond/internal/workerrpc"
)

// replicaSet is the set of a function's replicas at a worker, with the requests that run on them or wait for them.
type replicaSet struct {
	function  Function
	replicas  int
	loading   int
	busy      int // number of running requests
	idleSince time.Time
	queue     []*job
}

// free returns the number of additional requests that the set can run.
func (s *replicaSet) free() int { return s.replicas*s.function.Concurrency - s.busy }

// replicaSet returns the set of a function, and creates it if needed; w.mu must be held.
func (w *Worker) replicaSet(function Function) *replicaSet {
	set := w.replicas[function.Name]
	if set == nil {
		set = &replicaSet{function: function}
		w.replicas[function.Name] = set
	}
	return set
}

// startLoad starts to load a replica, and returns false if there is not enough memory even without the idle replicas,
// which it evicts. done, unless nil, is called with the result of the load, while w.mu is held; it isn't called if the
// incarnation ends first. w.mu must be held.
func (w *Worker) startLoad(set *replicaSet, done func(workerrpc.Code)) bool {
	if !w.evictIdle(set.function.Memory) {
		return false
	}
	w.memory += set.function.Memory
	set.loading++
	incarnation := w.incarnation
	duration, failed := w.store.BeginFetch(set.function.LoadTime)
	failed = failed || w.faults.FailLoads
	time.AfterFunc(duration, func() {
		w.store.EndFetch()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != incarnation {
			return
		}
		set.loading--
		code := workerrpc.CodeOK
		if failed {
			code = workerrpc.CodeFailed
			w.handleLoadFailure(set)
		} else {
			set.replicas++
			set.idleSince = time.Now()
			w.dispatch(set)
		}
		if done != nil {
			done(code)
		}
	})
	return true
}

// handleLoadFailure frees the memory of a failed load. If the set has no replica and no other load in progress, its
// queued requests fail. w.mu must be held.
func (w *Worker) handleLoadFailure(set *replicaSet) {
	w.memory -= set.function.Memory
	if set.replicas > 0 || set.loading > 0 {
		return
	}
	for _, job := range set.queue {
		job.replicaState = workerrpc.ReplicaLoadFailed
		w.complete(job, workerrpc.AttemptResult{Code: workerrpc.CodeFailed, Reason: "load failed", CPUTime: job.cpuTime})
	}
	w.waiting -= len(set.queue)
	set.queue = nil
}

// unload removes replicas of a set; w.mu must be held.
func (w *Worker) unload(set *replicaSet, count int) {
	set.replicas -= count
	w.memory -= int64(count) * set.function.Memory
}

// evictIdle removes the replicas that have been idle the longest until the required memory is free. It returns false if
// that isn't possible. w.mu must be held.
func (w *Worker) evictIdle(required int64) bool {
	for w.memory+required > w.model.Memory {
		var oldest *replicaSet
		for _, set := range w.replicas {
			idle := set.free() >= set.function.Concurrency && len(set.queue) == 0
			if idle && (oldest == nil || set.idleSince.Before(oldest.idleSince)) {
				oldest = set
			}
		}
		if oldest == nil {
			return false
		}
		w.unload(oldest, 1)
	}
	return true
}

// HandleLoadRequest loads replicas up to the requested count.
func (s *session) HandleLoadRequest(_ string, request *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	w := s.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != s.incarnation || w.faults.Hang {
		return
	}
	function, known := w.functions[request.Function]
	if !known {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotFound, Reason: "no such function"})
		return
	}
	set := w.replicaSet(function)
	pending, code := 0, workerrpc.CodeOK
	loaded := func(loadCode workerrpc.Code) { // called with w.mu held
		pending--
		if loadCode != workerrpc.CodeOK {
			code = workerrpc.CodeFailed
		}
		if pending == 0 {
			reply(&workerrpc.LoadResult{Code: code, Replicas: set.replicas})
		}
	}
	for set.replicas+set.loading < request.Replicas && w.startLoad(set, loaded) {
		pending++
	}
	switch {
	case pending > 0:
	case set.replicas+set.loading < request.Replicas:
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeOverloaded, Replicas: set.replicas, Reason: "no memory"})
	default:
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: set.replicas})
	}
}
