package worker

import (
	"context"
	"errors"
	"time"

	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/worker/runner"
	"lupinpond/internal/workerrpc"
)

// claimTimeoutShare bounds the wait for the claim of an idempotency key to Attempt.TimeLeft * claimTimeoutShare. The
// remaining time is left for running the request.
const claimTimeoutShare = 0.25

// Reasons in results. They are sent to gateways, so their texts must not change.
const (
	reasonDraining      = "draining"
	reasonFull          = "full"
	reasonFault         = "told to fail"
	reasonUnknown       = "not here"
	reasonTooLarge      = "its package needs more memory than this worker has"
	reasonLoadFailed    = "load failed"
	reasonExpired       = "its time was up before it could begin"
	reasonWindowOver    = "the window of its key was over before it could begin"
	reasonReplicaExited = "its copy ended"
	reasonNotStarted    = "withdrawn before its start"
	reasonCancelled     = "withdrawn"
	reasonDuplicate     = "a repeat inside its window"
	reasonMayHaveRun    = "a repeat of one that may have run"
	reasonNoDecision    = "it is not known whether it is a repeat"
	reasonUnloadable    = "not here, or too big for this worker"
	reasonNotLoaded     = "no room, or a load failed"
)

// call is an admitted attempt whose result has not been sent.
type call struct {
	id              uint64
	attempt         *workerrpc.Attempt
	reply           func(*workerrpc.AttemptResult)
	replicaState    workerrpc.ReplicaState
	concurrentCalls int           // calls waiting for its function plus the function's busy replicas, at admission
	startBy         time.Duration // latest time at which it may start, on the worker's clock; 0 if there is no limit
}

// mayStart reports whether a call may start at the given time. A retry may start only within the window of its key:
// after that it would not be recognised as a duplicate.
func (c *call) mayStart(now time.Duration) bool { return c.startBy == 0 || now < c.startBy }

// callTable holds the calls that are waiting or running.
type callTable struct {
	byID   map[uint64]*call
	lastID uint64
}

// HandleAttempt admits or rejects an attempt. It returns a function that cancels the attempt, or nil if it was
// rejected.
func (w *Worker) HandleAttempt(
	_ string, attempt *workerrpc.Attempt, reply func(*workerrpc.AttemptResult),
) (cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Hang {
		reply = func(*workerrpc.AttemptResult) {}
	}
	c := w.newCall(attempt, reply)
	if code, reason := w.admit(c); code != workerrpc.CodeOK {
		reply(&workerrpc.AttemptResult{Code: code, Reason: reason, Report: w.loadReport()})
		return nil
	}
	w.calls.byID[c.id] = c
	w.recordAdmission(c)
	w.advance()
	return func() { w.cancel(c) }
}

// newCall returns a call for an attempt that has not been admitted yet. The lock must be held.
func (w *Worker) newCall(attempt *workerrpc.Attempt, reply func(*workerrpc.AttemptResult)) *call {
	counts := w.admission.Counts(attempt.Function)
	state := workerrpc.ReplicaWarm
	switch {
	case counts.Warm > 0:
	case counts.Loading > 0:
		state = workerrpc.ReplicaLoadAwaited
	default:
		state = workerrpc.ReplicaLoadStarted
	}
	w.calls.lastID++
	c := &call{
		id:              w.calls.lastID,
		attempt:         attempt,
		reply:           reply,
		replicaState:    state,
		concurrentCalls: counts.Waiting + counts.Busy,
	}
	if attempt.StartWithin > 0 {
		c.startBy = w.now() + attempt.StartWithin
	}
	return c
}

// admit decides whether a call is admitted. It returns CodeOK if it is, otherwise the code and the reason of the
// rejection. The lock must be held.
func (w *Worker) admit(c *call) (code workerrpc.Code, reason string) {
	switch {
	case w.state != serving:
		return workerrpc.CodeNotStarted, reasonDraining
	case w.faults.FailRequests:
		return workerrpc.CodeFailed, reasonFault
	case w.faults.RejectTenant != "" && w.faults.RejectTenant == c.attempt.Tenant:
		return workerrpc.CodeOverloaded, reasonFull
	}
	now := w.now()
	deadline := now + c.attempt.TimeLeft
	if c.startBy > 0 {
		deadline = min(deadline, c.startBy)
	}
	decision := w.admission.Admit(now, admission.Call{
		ID:       c.id,
		Function: c.attempt.Function,
		Tenant:   c.attempt.Tenant,
		Deadline: deadline,
	})
	switch decision {
	case admission.Full:
		return workerrpc.CodeOverloaded, reasonFull
	case admission.Missing:
		return workerrpc.CodeNotFound, reasonUnknown
	case admission.TooLarge:
		return workerrpc.CodeNotFound, reasonTooLarge
	}
	return workerrpc.CodeOK, ""
}

// recordAdmission updates the cold start rate with an admitted call and journals the call if it depends on a load. The
// lock must be held.
func (w *Worker) recordAdmission(c *call) {
	cold := c.replicaState != workerrpc.ReplicaWarm
	if w.coldStarts.add(cold) {
		elapsed := w.now()
		w.options.Log.Info("worker warmed up", "after", elapsed)
		if err := w.journal.append(journalRecord{Kind: recordWarmedUp, Duration: elapsed}); err != nil {
			// The next incarnation reports the warm-up time of an earlier incarnation, or none.
			w.options.Log.Error("journal warm-up failed", "err", err)
		}
	}
	if cold {
		err := w.journal.append(journalRecord{
			Kind:      recordAdmitted,
			Function:  c.attempt.Function,
			RequestID: c.attempt.RequestID,
		})
		if err != nil {
			// If the worker crashes during the load, gateways must assume that the request may have run.
			w.options.Log.Error("journal admitted request failed", "err", err)
		}
	}
}

// cancel cancels a call on behalf of its gateway.
func (w *Worker) cancel(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls.byID[c.id] == nil {
		return
	}
	if w.admission.Withdraw(c.attempt.Function, c.id) {
		w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: reasonNotStarted})
		return
	}
	// The call is running. It is not stopped, but the gateway is answered without waiting for its result.
	w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeCancelled, Reason: reasonCancelled})
}

// respond sends the result of a call to its gateway. Later results of the same call are ignored. The lock must be held.
func (w *Worker) respond(c *call, result *workerrpc.AttemptResult) {
	if w.calls.byID[c.id] == nil {
		return
	}
	delete(w.calls.byID, c.id)
	if result.ReplicaState == workerrpc.ReplicaStateUnknown {
		result.ReplicaState = c.replicaState
	}
	result.ConcurrentRequests = c.concurrentCalls
	result.Report = w.loadReport()
	if c.replicaState != workerrpc.ReplicaWarm {
		if err := w.journal.append(journalRecord{Kind: recordAnswered, RequestID: c.attempt.RequestID}); err != nil {
			w.options.Log.Error("journal answered request failed", "err", err)
		}
	}
	c.reply(result)
}

// startCall passes a call to its replica. If the call has an idempotency key, the key is claimed first. The lock must
// be held.
func (w *Worker) startCall(run admission.Run) {
	c := w.calls.byID[run.CallID]
	target := w.runningReplica(run.ReplicaID)
	if c == nil || target == nil { // the call was cancelled or the replica has exited
		w.abandonRun(run)
		if c != nil {
			w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: reasonReplicaExited})
		}
		return
	}
	if c.attempt.IdempotencyKey == "" {
		w.execute(run, c, target, "")
		return
	}
	w.background.Go(func() { w.claimAndExecute(run, c) })
}

// abandonRun frees the slot of a call that cannot be started. It calls advance through the timer, not directly, because
// advance may be the caller and still be processing its list of actions. The lock must be held.
func (w *Worker) abandonRun(run admission.Run) {
	w.admission.CallEnded(w.now(), run.CallID)
	w.wakeTimer.Reset(0)
}

// claimAndExecute claims the idempotency key of a request and runs the request unless it is a duplicate.
func (w *Worker) claimAndExecute(run admission.Run, c *call) {
	key := scopedKey(c.attempt)
	timeout := time.Duration(claimTimeoutShare * float64(c.attempt.TimeLeft))
	if c.startBy > 0 {
		timeout = min(timeout, c.startBy-w.now())
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	claim, decision, response := w.claims.Claim(ctx, key, c.attempt.DedupWindow)
	cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	result := notExecuted(decision, response)
	if decision == idempotency.DecisionExecute {
		target, mayStart := w.runningReplica(run.ReplicaID), c.mayStart(w.now())
		if target != nil && mayStart && w.calls.byID[c.id] != nil {
			w.execute(run, c, target, claim)
			return
		}
		w.claims.Release(key, claim) // the call was cancelled, the replica has exited, or the claim took too long
		if !mayStart {
			result = windowOver()
		}
	}
	w.admission.CallEnded(w.now(), run.CallID)
	w.respond(c, result)
	w.advance()
}

// windowOver returns the result of a retry that could not start within the window of its key.
func windowOver() *workerrpc.AttemptResult {
	return &workerrpc.AttemptResult{Code: workerrpc.CodeOverloaded, Reason: reasonWindowOver}
}

// notExecuted returns the result of a request with an idempotency key that is not run. decision is that of its claim;
// for DecisionExecute, the replica exited or the call was cancelled after the claim.
func notExecuted(decision idempotency.Decision, response []byte) *workerrpc.AttemptResult {
	switch decision {
	case idempotency.DecisionCompleted:
		return &workerrpc.AttemptResult{
			Code:         workerrpc.CodeOK,
			Deduplicated: true,
			Body:         response,
			Reason:       reasonDuplicate,
		}
	case idempotency.DecisionDuplicate:
		return &workerrpc.AttemptResult{
			Code:         workerrpc.CodeFailed,
			Deduplicated: true,
			Reason:       reasonMayHaveRun,
		}
	case idempotency.DecisionExecute:
		return &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: reasonReplicaExited}
	default:
		return &workerrpc.AttemptResult{
			Code:   workerrpc.CodeNotStarted,
			Reason: reasonNoDecision,
		}
	}
}

// scopedKey returns the idempotency key of an attempt, made unique among all request types and tenants.
func scopedKey(attempt *workerrpc.Attempt) string {
	return attempt.Type + "\n" + attempt.Tenant + "\n" + attempt.IdempotencyKey
}

// execute passes a call to a replica. claim is empty for a call without an idempotency key. The lock must be held.
func (w *Worker) execute(run admission.Run, c *call, target *replica, claim string) {
	attempt := c.attempt
	if c.replicaState != workerrpc.ReplicaWarm {
		// A request must not run unless it is journaled as started.
		if err := w.journal.append(journalRecord{Kind: recordStarted, RequestID: attempt.RequestID}); err != nil {
			if claim != "" {
				w.claims.Release(scopedKey(attempt), claim)
			}
			w.abandonRun(run)
			w.respond(c, &workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: err.Error()})
			return
		}
	}
	slowFactor := w.faults.SlowFactor
	w.background.Add(1)
	target.process.Call(attempt.Body, attempt.TimeLeft, func(result runner.Result) {
		defer w.background.Done()
		if slowFactor > 1 {
			time.Sleep(time.Duration(float64(result.Duration) * (slowFactor - 1)))
		}
		w.completeCall(run, c, claim, result)
	})
}

// completeCall handles the outcome of a call that was passed to a replica.
func (w *Worker) completeCall(run admission.Run, c *call, claim string, outcome runner.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admission.CallEnded(w.now(), run.CallID)
	if runner.EndsReplica(outcome.Err) { // before responding, so that no later call is assigned to the replica
		w.removeReplica(run.ReplicaID)
	}
	result := &workerrpc.AttemptResult{Code: workerrpc.CodeOK, Body: outcome.Body, CPUTime: outcome.Duration}
	if outcome.Err != nil {
		result.Code, result.Reason = workerrpc.CodeFailed, outcome.Err.Error()
	}
	if errors.Is(outcome.Err, runner.ErrNotStarted) {
		result.Code = workerrpc.CodeNotStarted
	}
	if claim != "" {
		switch result.Code {
		case workerrpc.CodeOK:
			w.claims.Complete(scopedKey(c.attempt), claim, result.Body)
		case workerrpc.CodeNotStarted:
			w.claims.Release(scopedKey(c.attempt), claim)
		}
	}
	w.respond(c, result)
	w.advance()
}
