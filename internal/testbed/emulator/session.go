package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lupinpond/internal/workerrpc"
)

const (
	// cpuTimeSteps is the number of quantiles into which the exponential distribution of CPU times is divided.
	cpuTimeSteps = 10000
	// maxCPUTimeStep truncates the tail of the distribution: no request takes more than three times the mean.
	maxCPUTimeStep = 9500
)

// session handles the connections of one incarnation of a worker, from a start to the next stop.
type session struct {
	worker      *Worker
	incarnation int
}

// job is an attempt that a worker runs or has queued.
type job struct {
	attempt            *workerrpc.Attempt
	reply              func(*workerrpc.AttemptResult)
	incarnation        int
	replicaState       workerrpc.ReplicaState
	concurrentRequests int
	cpuTime            time.Duration
	timer              *time.Timer // ends the execution; nil: not started
	finished           bool
}

// LoadReport returns the worker's load.
func (s *session) LoadReport() *workerrpc.LoadReport {
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	return s.worker.loadReport()
}

// HandleAttempt runs, queues or rejects an attempt, and returns a function that cancels it; nil: it can't be cancelled.
func (s *session) HandleAttempt(_ string, attempt *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) func() {
	w := s.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != s.incarnation {
		return nil
	}
	function, known := w.functions[attempt.Function]
	cpuTime := w.randomCPUTime(function)
	if w.crashIfOverloaded(cpuTime) { // rejected attempts count as load too
		return nil
	}
	reject := func(code workerrpc.Code, reason string) {
		reply(&workerrpc.AttemptResult{Code: code, Reason: reason, Report: w.loadReport()})
	}
	switch {
	case !known:
		reject(workerrpc.CodeNotFound, "no such function")
		return nil
	case w.faults.Hang:
		w.executions.record(attempt)
		return nil
	case w.faults.FailRequests:
		w.executions.record(attempt)
		reply(&workerrpc.AttemptResult{Code: workerrpc.CodeFailed, Reason: "error", Report: w.loadReport(),
			CPUTime: time.Microsecond})
		return nil
	case w.faults.RejectTenant != "" && w.faults.RejectTenant == attempt.Tenant, w.waiting >= w.model.QueueLimit:
		reject(workerrpc.CodeOverloaded, "full")
		return nil
	}
	set := w.replicaSet(function)
	concurrent := set.busy + len(set.queue)
	state, code, reason := w.ensureLoading(set)
	if code != workerrpc.CodeOK {
		reject(code, reason)
		return nil
	}
	j := &job{attempt: attempt, reply: reply, incarnation: w.incarnation, replicaState: state,
		concurrentRequests: concurrent, cpuTime: cpuTime}
	set.queue = append(set.queue, j)
	w.waiting++
	w.dispatch(set)
	return func() { w.cancelJob(set, j) }
}

// randomCPUTime returns a random CPU time for a request of a function; w.mu must be held.
func (w *Worker) randomCPUTime(function Function) time.Duration {
	quantile := float64(w.random.IntN(maxCPUTimeStep)) / cpuTimeSteps
	return time.Duration(float64(function.MeanCPUTime) * -math.Log(1-quantile))
}

// ensureLoading starts a load if there is no replica, none is being loaded, and the model loads on a miss. A code other
// than OK means that the request must be rejected, with the returned reason. w.mu must be held.
func (w *Worker) ensureLoading(set *replicaSet) (state workerrpc.ReplicaState, code workerrpc.Code, reason string) {
	switch {
	case set.replicas > 0:
		return workerrpc.ReplicaWarm, workerrpc.CodeOK, ""
	case set.loading > 0:
		return workerrpc.ReplicaLoadAwaited, workerrpc.CodeOK, ""
	case !w.model.LoadOnMiss:
		return 0, workerrpc.CodeNotFound, "not loaded"
	case !w.startLoad(set, nil):
		return 0, workerrpc.CodeOverloaded, "no memory"
	}
	return workerrpc.ReplicaLoadStarted, workerrpc.CodeOK, ""
}

// dispatch runs queued requests while replicas have free capacity. If the set has no request, running or queued, and
// has been idle for longer than ReplicaIdleTimeout, its replicas are unloaded. w.mu must be held.
func (w *Worker) dispatch(set *replicaSet) {
	unused := set.replicas > 0 && set.busy == 0 && len(set.queue) == 0
	if unused && time.Since(set.idleSince) > w.model.ReplicaIdleTimeout {
		w.unload(set, set.replicas)
	}
	for len(set.queue) > 0 && set.free() > 0 {
		j := set.queue[0]
		set.queue = set.queue[1:]
		w.waiting--
		if group := w.groups[j.attempt.Type]; group != nil && !group.claim(j.attempt) {
			w.complete(j, workerrpc.AttemptResult{Code: workerrpc.CodeOK, Reason: "repeat", Deduplicated: true})
			continue
		}
		w.run(set, j)
	}
}

// run starts the execution of a request. Its duration depends on the cores available and the requests running at its
// start. w.mu must be held.
func (w *Worker) run(set *replicaSet, j *job) {
	set.busy++
	w.running++
	w.executions.record(j.attempt)
	cores := w.model.Cores * w.model.capacityShare(time.Since(w.started))
	duration := time.Duration(float64(j.cpuTime) * max(1, float64(w.running)/cores))
	if w.faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * w.faults.SlowFactor)
	}
	j.timer = time.AfterFunc(duration, func() { w.finish(set, j) })
}

func (w *Worker) finish(set *replicaSet, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != j.incarnation || j.finished {
		return
	}
	set.busy--
	w.running--
	set.idleSince = time.Now()
	w.complete(j, workerrpc.AttemptResult{Code: workerrpc.CodeOK, CPUTime: j.cpuTime,
		Body: fmt.Appendf(nil, "%s handled %s", w.name, j.attempt.ClientRequestID)})
	w.dispatch(set)
}

// complete sends the result of a job; w.mu must be held.
func (w *Worker) complete(j *job, result workerrpc.AttemptResult) {
	j.finished = true
	result.ReplicaState, result.ConcurrentRequests, result.Report = j.replicaState, j.concurrentRequests, w.loadReport()
	j.reply(&result)
}

// cancelJob ends a job that its gateway has cancelled.
func (w *Worker) cancelJob(set *replicaSet, cancelled *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != cancelled.incarnation || cancelled.finished {
		return
	}
	result := workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "withdrawn before its start",
		CPUTime: cancelled.cpuTime}
	if cancelled.timer != nil {
		cancelled.timer.Stop()
		set.busy--
		w.running--
		result.Code, result.Reason = workerrpc.CodeCancelled, "withdrawn"
	} else if i := slices.Index(set.queue, cancelled); i >= 0 {
		set.queue = slices.Delete(set.queue, i, i+1)
		w.waiting--
	}
	w.complete(cancelled, result)
	w.dispatch(set)
}
