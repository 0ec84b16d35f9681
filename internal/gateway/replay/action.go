package replay

import (
	"fmt"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// The verbs that identify actions in recordings. They are part of the stored format and must not change.
const (
	verbSend        = "launch"
	verbComplete    = "handle"
	verbReject      = "defer"
	verbFail        = "dead-letter"
	verbCancel      = "withdraw"
	verbRequestLoad = "order"
	verbProbe       = "probe"
	verbSubscribe   = "ask"
	verbSetTimer    = "wake"
	verbClosed      = "ended"
)

// Action is one call of a core.Actor method in the form stored in recordings. Fields that its verb does not use are
// zero.
type Action struct {
	Verb        string                `cbor:"1,keyasint"`
	ID          string                `cbor:"2,keyasint,omitempty"`
	Attempt     int                   `cbor:"3,keyasint,omitempty"`
	Worker      string                `cbor:"4,keyasint,omitempty"`
	Delay       time.Duration         `cbor:"5,keyasint,omitempty"`
	MayHaveRun  bool                  `cbor:"6,keyasint,omitempty"`
	LoadRequest scheduler.LoadRequest `cbor:"7,keyasint,omitempty"`
	CloseReason core.CloseReason      `cbor:"8,keyasint,omitempty"`
}

// String returns the action in the form in which replay tools and errors show it.
func (a Action) String() string {
	switch a.Verb {
	case verbSend, verbCancel:
		return fmt.Sprintf("%s %s attempt %d at %s", a.Verb, a.ID, a.Attempt, a.Worker)
	case verbReject:
		return fmt.Sprintf("%s %s retry after %v", a.Verb, a.ID, a.Delay)
	case verbFail:
		return fmt.Sprintf("%s %s may have run %v", a.Verb, a.ID, a.MayHaveRun)
	case verbRequestLoad:
		load := a.LoadRequest
		return fmt.Sprintf("%s %d replicas of %d at %s", a.Verb, load.Replicas, load.Function, load.Worker)
	case verbSetTimer:
		return fmt.Sprintf("%s in %v", a.Verb, a.Delay)
	}
	return fmt.Sprintf("%s %s%s", a.Verb, a.ID, a.Worker)
}

// recordingActor is a core.Actor that records each action and passes it on to another actor, if there is one.
type recordingActor struct {
	record func(Action)
	actor  core.Actor // may be nil
}

// perform records an action and calls pass with the other actor, if there is one.
func (r recordingActor) perform(action Action, pass func(core.Actor)) {
	r.record(action)
	if r.actor != nil {
		pass(r.actor)
	}
}

func (r recordingActor) Send(request *scheduler.Request, attempt int, worker string) {
	r.perform(Action{Verb: verbSend, ID: request.ID, Attempt: attempt, Worker: worker},
		func(a core.Actor) { a.Send(request, attempt, worker) })
}

func (r recordingActor) Complete(request *scheduler.Request, attempt int) {
	r.perform(Action{Verb: verbComplete, ID: request.ID, Attempt: attempt},
		func(a core.Actor) { a.Complete(request, attempt) })
}

func (r recordingActor) Reject(request *scheduler.Request, retryAfter time.Duration, mayHaveRun bool) {
	r.perform(Action{Verb: verbReject, ID: request.ID, Delay: retryAfter, MayHaveRun: mayHaveRun},
		func(a core.Actor) { a.Reject(request, retryAfter, mayHaveRun) })
}

func (r recordingActor) Fail(request *scheduler.Request, attempts int, mayHaveRun bool) {
	r.perform(Action{Verb: verbFail, ID: request.ID, Attempt: attempts, MayHaveRun: mayHaveRun},
		func(a core.Actor) { a.Fail(request, attempts, mayHaveRun) })
}

func (r recordingActor) Cancel(request *scheduler.Request, attempt int, worker string) {
	r.perform(Action{Verb: verbCancel, ID: request.ID, Attempt: attempt, Worker: worker},
		func(a core.Actor) { a.Cancel(request, attempt, worker) })
}

func (r recordingActor) RequestLoad(load scheduler.LoadRequest) {
	r.perform(Action{Verb: verbRequestLoad, LoadRequest: load}, func(a core.Actor) { a.RequestLoad(load) })
}

func (r recordingActor) Probe(worker string) {
	r.perform(Action{Verb: verbProbe, Worker: worker}, func(a core.Actor) { a.Probe(worker) })
}

func (r recordingActor) Subscribe() {
	r.perform(Action{Verb: verbSubscribe}, core.Actor.Subscribe)
}

func (r recordingActor) SetTimer(after time.Duration) {
	r.perform(Action{Verb: verbSetTimer, Delay: after}, func(a core.Actor) { a.SetTimer(after) })
}

func (r recordingActor) Closed(request *scheduler.Request, attempts int, reason core.CloseReason) {
	r.perform(Action{Verb: verbClosed, ID: request.ID, Attempt: attempts, CloseReason: reason},
		func(a core.Actor) { a.Closed(request, attempts, reason) })
}
