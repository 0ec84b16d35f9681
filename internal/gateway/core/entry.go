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
	OpListed Op = iota + 1
	OpListFailed
	OpCame
	OpOutcome
	OpLeft
	OpProbed
	OpLoaded
	OpWoke
	OpSettle
	OpEndBy
)

// Entry is one fact as it was told: what a recording holds. Fields that the fact does not have are zero.
type Entry struct {
	Op      Op                    `cbor:"1,keyasint"`
	Now     time.Duration         `cbor:"2,keyasint"`
	ID      string                `cbor:"3,keyasint,omitempty"`
	Launch  int                   `cbor:"4,keyasint,omitempty"`
	Flag    bool                  `cbor:"5,keyasint,omitempty"`
	Worker  string                `cbor:"6,keyasint,omitempty"`
	News    []scheduler.Member    `cbor:"7,keyasint,omitempty"`
	Event   *scheduler.Request    `cbor:"8,keyasint,omitempty"`
	Outcome scheduler.Outcome     `cbor:"9,keyasint,omitempty"`
	Order   scheduler.LoadRequest `cbor:"10,keyasint,omitempty"`
	By      time.Duration         `cbor:"11,keyasint,omitempty"`
}

// Record has every fact from now on given to note before it takes effect; nil ends it.
func (c *Core) Record(note func(Entry)) { c.note = note }

func (c *Core) record(e Entry) {
	if c.note != nil {
		c.note(e)
	}
}

// facts replicas what is known of a request when it comes, without what the module keeps in it.
func facts(e *scheduler.Request) *scheduler.Request {
	return &scheduler.Request{ID: e.ID, Type: e.Type, Tenant: e.Tenant, Function: e.Function, TimeLeft: e.TimeLeft,
		Concurrency: e.Concurrency, Memory: e.Memory, LoadTime: e.LoadTime, Retry: e.Retry}
}

// Feed tells one recorded fact. An entry that no core can have recorded is an error, and nothing is done.
func (c *Core) Feed(e Entry) error {
	if e.Now < 0 {
		return fmt.Errorf("a fact at %v: times are at least 0", e.Now)
	}
	switch e.Op {
	case OpListed:
		c.UpdateMembership(e.Now, e.Flag, e.News)
	case OpListFailed:
		c.WatchFailed(e.Now)
	case OpCame:
		if e.Event == nil {
			return fmt.Errorf("an event came at %v, but the entry holds none", e.Now)
		}
		return c.Submit(e.Now, facts(e.Event))
	case OpOutcome:
		c.Outcome(e.Now, e.ID, e.Launch, e.Outcome)
	case OpLeft:
		c.ClientGone(e.Now, e.ID)
	case OpProbed:
		c.Probed(e.Now, e.Worker, e.Outcome.Result, e.Outcome.Load, e.Outcome.Took)
	case OpLoaded:
		c.Loaded(e.Now, e.Order, e.Outcome.Result, e.Outcome.Took)
	case OpWoke:
		c.Woke(e.Now)
	case OpSettle:
		c.Settle(e.Now)
	case OpEndBy:
		c.EndBy(e.Now, e.By)
	default:
		return fmt.Errorf("unknown fact %d at %v", e.Op, e.Now)
	}
	return nil
}
