package core

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// Op identifies the operation of an input. Recordings store its number, so numbers must not change.
type Op uint8

// The operations, one for each method of Core that processes an input. ReplaceMembership is recorded as
// OpUpdateMembership with Input.Complete set.
const (
	OpUpdateMembership Op = iota + 1
	OpWatchFailed
	OpSubmit
	OpCompleteAttempt
	OpClientDisconnected
	OpProbeCompleted
	OpLoadCompleted
	OpTimerFired
	OpProcessDue
	OpShutdownBy
	OpSetWatchLease
)

// Input is one input of a core in the form stored in recordings. Fields that its operation does not use are zero.
type Input struct {
	Op          Op                    `cbor:"1,keyasint"`
	Now         time.Duration         `cbor:"2,keyasint"`
	ID          string                `cbor:"3,keyasint,omitempty"`
	Attempt     int                   `cbor:"4,keyasint,omitempty"`
	Complete    bool                  `cbor:"5,keyasint,omitempty"` // Members is the complete registry
	Worker      string                `cbor:"6,keyasint,omitempty"`
	Members     []scheduler.Member    `cbor:"7,keyasint,omitempty"`
	Request     *scheduler.Request    `cbor:"8,keyasint,omitempty"`
	Outcome     scheduler.Outcome     `cbor:"9,keyasint,omitempty"`
	LoadRequest scheduler.LoadRequest `cbor:"10,keyasint,omitempty"`
	Deadline    time.Duration         `cbor:"11,keyasint,omitempty"`
}

// InvalidInputError reports an input that a core cannot have recorded.
type InvalidInputError struct {
	Op     Op
	Now    time.Duration
	Reason string
}

func (e *InvalidInputError) Error() string {
	return fmt.Sprintf("apply input %d at %v: %s", e.Op, e.Now, e.Reason)
}

// Record sets the function that is called with every subsequent input before it is processed. A nil recorder stops
// recording.
func (c *Core) Record(recorder func(Input)) { c.recorder = recorder }

func (c *Core) record(input Input) {
	if c.recorder != nil {
		c.recorder(input)
	}
}

// requestInput returns a copy of the request with only the fields that are set at submission, without the scheduler's
// internal state.
func requestInput(request *scheduler.Request) *scheduler.Request {
	return &scheduler.Request{
		ID:          request.ID,
		Type:        request.Type,
		Tenant:      request.Tenant,
		Function:    request.Function,
		TimeLeft:    request.TimeLeft,
		Concurrency: request.Concurrency,
		Memory:      request.Memory,
		LoadTime:    request.LoadTime,
		Retry:       request.Retry,
	}
}

// Apply processes a recorded input. An input with a negative time, with an unknown operation or without the request of
// a submission has no effect and returns an InvalidInputError. A submission with the ID of an open request returns
// ErrDuplicate.
func (c *Core) Apply(input Input) error {
	if input.Now < 0 {
		return &InvalidInputError{input.Op, input.Now, "time is negative"}
	}
	switch input.Op {
	case OpUpdateMembership:
		if input.Complete {
			c.ReplaceMembership(input.Now, input.Members)
		} else {
			c.UpdateMembership(input.Now, input.Members)
		}
	case OpWatchFailed:
		c.WatchFailed(input.Now)
	case OpSubmit:
		if input.Request == nil {
			return &InvalidInputError{input.Op, input.Now, "request is missing"}
		}
		return c.Submit(input.Now, requestInput(input.Request))
	case OpCompleteAttempt:
		c.CompleteAttempt(input.Now, input.ID, input.Attempt, input.Outcome)
	case OpClientDisconnected:
		c.ClientDisconnected(input.Now, input.ID)
	case OpProbeCompleted:
		outcome := input.Outcome
		c.ProbeCompleted(input.Now, input.Worker, outcome.Result, outcome.Report, outcome.Duration)
	case OpLoadCompleted:
		c.LoadCompleted(input.Now, input.LoadRequest, input.Outcome.Result, input.Outcome.Duration)
	case OpTimerFired:
		c.TimerFired(input.Now)
	case OpProcessDue:
		c.ProcessDue(input.Now)
	case OpShutdownBy:
		c.ShutdownBy(input.Now, input.Deadline)
	case OpSetWatchLease:
		c.SetWatchLease(input.Now, input.Deadline)
	default:
		return &InvalidInputError{input.Op, input.Now, "unknown operation"}
	}
	return nil
}
