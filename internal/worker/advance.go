package worker

import (
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/workerrpc"
)

// loadRequest is a load request of a gateway whose result has not been sent.
type loadRequest struct {
	function string
	replicas int
	reply    func(*workerrpc.LoadResult)
}

// HandleLoadRequest requests replicas of a function from admission, or rejects the request. If it is not rejected,
// reply is called once the loads have ended.
func (w *Worker) HandleLoadRequest(_ string, request *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Hang {
		reply = func(*workerrpc.LoadResult) {}
	}
	if w.state != serving {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotStarted, Reason: reasonDraining})
		return
	}
	_, decision := w.admission.RequestReplicas(request.Function, request.Replicas)
	if decision != admission.Admitted {
		reply(&workerrpc.LoadResult{Code: workerrpc.CodeNotFound, Reason: reasonUnloadable})
		return
	}
	w.loadRequests = append(w.loadRequests, &loadRequest{request.Function, request.Replicas, reply})
	w.advance()
}

// onWake is called when wakeTimer fires, at the latest when admission.Actions.WakeAfter has passed.
func (w *Worker) onWake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// advance carries out the actions that admission returns for the current time. The lock must be held.
func (w *Worker) advance() {
	if w.state == closed {
		return
	}
	actions := w.admission.Advance(w.now())
	for _, dropped := range actions.Dropped {
		w.drop(dropped)
	}
	for _, id := range actions.Unloads {
		if target := w.runningReplica(id); target != nil {
			target.unloading = true
			target.process.Stop(nil)
		}
	}
	for _, load := range actions.Loads {
		w.startLoad(load)
	}
	for _, run := range actions.Runs {
		w.startCall(run)
	}
	w.answerLoadRequests()
	if actions.WakeAfter > 0 {
		w.wakeTimer.Reset(actions.WakeAfter)
	}
}

// drop sends the result of a call that was admitted but dropped before it started. The lock must be held.
func (w *Worker) drop(dropped admission.DroppedCall) {
	c := w.calls.byID[dropped.CallID]
	if c == nil {
		return
	}
	if dropped.Reason == admission.LoadFailed {
		w.respond(c, &workerrpc.AttemptResult{
			Code:         workerrpc.CodeNotFound,
			ReplicaState: workerrpc.ReplicaLoadFailed,
			Reason:       reasonLoadFailed,
		})
		return
	}
	if !c.mayStart(w.now()) {
		w.respond(c, windowOver())
		return
	}
	w.respond(c, &workerrpc.AttemptResult{
		Code:   workerrpc.CodeNotStarted,
		Reason: reasonExpired,
	})
}

// answerLoadRequests sends the results of the load requests whose loads have ended. The lock must be held.
func (w *Worker) answerLoadRequests() {
	open := w.loadRequests[:0]
	for _, request := range w.loadRequests {
		counts := w.admission.Counts(request.function)
		switch {
		case counts.Warm >= request.replicas:
			request.reply(&workerrpc.LoadResult{Code: workerrpc.CodeOK, Replicas: counts.Warm})
		case counts.Loading+counts.Requested == 0:
			request.reply(&workerrpc.LoadResult{
				Code:     workerrpc.CodeOverloaded,
				Replicas: counts.Warm,
				Reason:   reasonNotLoaded,
			})
		default:
			open = append(open, request)
		}
	}
	w.loadRequests = open
}
