package core

import (
	"fmt"
	"time"

	"lupinpond/scheduler"
)

// Op names a fact told to a core.
type Op uint8

// The facts.
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
)

// Input is one fact as it was told: what a recording holds. Fields that the fact does not have are zero.
type Input struct {
	Op          Op                    `cbor:"1,keyasint"`
	Now         time.Duration         `cbor:"2,keyasint"`
	ID          string                `cbor:"3,keyasint,omitempty"`
	Attempt     int                   `cbor:"4,keyasint,omitempty"`
	Complete    bool                  `cbor:"5,keyasint,omitempty"`
	Worker      string                `cbor:"6,keyasint,omitempty"`
	Members     []scheduler.Member    `cbor:"7,keyasint,omitempty"`
	Request     *scheduler.Request    `cbor:"8,keyasint,omitempty"`
	Outcome     scheduler.Outcome     `cbor:"9,keyasint,omitempty"`
	LoadRequest scheduler.LoadRequest `cbor:"10,keyasint,omitempty"`
	Deadline    time.Duration         `cbor:"11,keyasint,omitempty"`
}

// Record has every fact from now on given to note before it takes effect; nil ends it.
func (c *Core) Record(note func(Input)) { c.recorder = note }

func (c *Core) record(e Input) {
	if c.recorder != nil {
		c.recorder(e)
	}
}

// requestFacts replicas what is known of a request when it comes, without what the module keeps in it.
func requestFacts(e *scheduler.Request) *scheduler.Request {
	return &scheduler.Request{ID: e.ID, Type: e.Type, Tenant: e.Tenant, Function: e.Function, TimeLeft: e.TimeLeft,
		Concurrency: e.Concurrency, Memory: e.Memory, LoadTime: e.LoadTime, Retry: e.Retry}
}

// Apply tells one recorded fact. An entry that no core can have recorded is an error, and nothing is done.
func (c *Core) Apply(e Input) error {
	if e.Now < 0 {
		return fmt.Errorf("a fact at %v: times are at least 0", e.Now)
	}
	switch e.Op {
	case OpUpdateMembership:
		if e.Complete {
			c.ReplaceMembership(e.Now, e.Members)
		} else {
			c.UpdateMembership(e.Now, e.Members)
		}
	case OpWatchFailed:
		c.WatchFailed(e.Now)
	case OpSubmit:
		if e.Request == nil {
			return fmt.Errorf("an event came at %v, but the entry holds none", e.Now)
		}
		return c.Submit(e.Now, requestFacts(e.Request))
	case OpCompleteAttempt:
		c.CompleteAttempt(e.Now, e.ID, e.Attempt, e.Outcome)
	case OpClientDisconnected:
		c.ClientDisconnected(e.Now, e.ID)
	case OpProbeCompleted:
		c.ProbeCompleted(e.Now, e.Worker, e.Outcome.Result, e.Outcome.Report, e.Outcome.Duration)
	case OpLoadCompleted:
		c.LoadCompleted(e.Now, e.LoadRequest, e.Outcome.Result, e.Outcome.Duration)
	case OpTimerFired:
		c.TimerFired(e.Now)
	case OpProcessDue:
		c.ProcessDue(e.Now)
	case OpShutdownBy:
		c.ShutdownBy(e.Now, e.Deadline)
	default:
		return fmt.Errorf("unknown fact %d at %v", e.Op, e.Now)
	}
	return nil
}
