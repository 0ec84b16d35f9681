package emulator

import (
	"time"

	"lupinpond/internal/workerrpc"
)

// replicaSet is the replicas of one function at a worker.
type replicaSet struct {
	function  Function
	replicas  int
	loading   int
	busy      int // requests that run
	idleSince time.Time
	queue     []*job
}

// free is how many more requests the set can run.
func (s *replicaSet) free() int { return s.replicas*s.function.Concurrency - s.busy }

// replicaSet gives the set of a function; the lock is held.
func (w *Worker) replicaSet(function Function) *replicaSet {
	set := w.replicas[function.Name]
	if set == nil {
		set = &replicaSet{function: function}
		w.replicas[function.Name] = set
	}
	return set
}

// load begins a load; done, if given, hears how it ended. It returns false where there is no memory. The lock is held.
func (w *Worker) load(set *replicaSet, done func(workerrpc.Code)) bool {
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
			w.loadFailed(set)
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

// loadFailed gives up a load, and with the last one what waits for it; the lock is held.
func (w *Worker) loadFailed(set *replicaSet) {
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

// unload drops replicas; the lock is held.
func (w *Worker) unload(set *replicaSet, count int) {
	set.replicas -= count
	w.memory -= int64(count) * set.function.Memory
}

// evictIdle drops the longest idle replicas until there is memory; false: there can't be. The lock is held.
func (w *Worker) evictIdle(need int64) bool {
	for w.memory+need > w.model.Memory {
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
	loaded := func(loadCode workerrpc.Code) { // the lock is held
		pending--
		if loadCode != workerrpc.CodeOK {
			code = workerrpc.CodeFailed
		}
		if pending == 0 {
			reply(&workerrpc.LoadResult{Code: code, Replicas: set.replicas})
		}
	}
	for set.replicas+set.loading < request.Replicas && w.load(set, loaded) {
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
