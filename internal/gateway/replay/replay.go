// Package replay keeps recordings of a core: what it was started with, every fact it was told and everything it did,
// as a sequence of CBOR items (RFC 8742). A recording replayed on the same version gives the same actions.
package replay

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

const (
	magic   = "lupinpond core recording"
	version = 1
)

type header struct {
	Magic    string        `cbor:"1,keyasint"`
	Version  int           `cbor:"2,keyasint"`
	Settings core.Settings `cbor:"3,keyasint"`
}

// Action is one thing that a core did.
type Action struct {
	Verb        string                `cbor:"1,keyasint"` // launch, handle, defer, dead-letter, withdraw, order, probe, ask, wake, ended
	ID          string                `cbor:"2,keyasint,omitempty"`
	Attempt     int                   `cbor:"3,keyasint,omitempty"`
	Worker      string                `cbor:"4,keyasint,omitempty"`
	Delay       time.Duration         `cbor:"5,keyasint,omitempty"`
	MayHaveRun  bool                  `cbor:"6,keyasint,omitempty"`
	LoadRequest scheduler.LoadRequest `cbor:"7,keyasint,omitempty"`
	CloseReason core.CloseReason      `cbor:"8,keyasint,omitempty"`
}

// String spells an action as replay shows it.
func (a Action) String() string {
	switch a.Verb {
	case "launch", "withdraw":
		return fmt.Sprintf("%s %s launch %d at %s", a.Verb, a.ID, a.Attempt, a.Worker)
	case "defer":
		return fmt.Sprintf("defer %s back in %v", a.ID, a.Delay)
	case "dead-letter":
		return fmt.Sprintf("dead-letter %s may have run %v", a.ID, a.MayHaveRun)
	case "order":
		return fmt.Sprintf("order %d copies of %d at %s", a.LoadRequest.Replicas, a.LoadRequest.Function, a.LoadRequest.Worker)
	case "wake":
		return fmt.Sprintf("wake in %v", a.Delay)
	}
	return fmt.Sprintf("%s %s%s", a.Verb, a.ID, a.Worker)
}

// item is a fact or an action.
type item struct {
	Input  *core.Input `cbor:"1,keyasint,omitempty"`
	Action *Action     `cbor:"2,keyasint,omitempty"`
}

// recordingActor hands actions to note and on to the actor behind it, if any.
type recordingActor struct {
	record func(Action)
	next   core.Actor
}

func (w recordingActor) perform(a Action, pass func(core.Actor)) {
	w.record(a)
	if w.next != nil {
		pass(w.next)
	}
}

func (w recordingActor) Send(e *scheduler.Request, n int, worker string) {
	w.perform(Action{Verb: "launch", ID: e.ID, Attempt: n, Worker: worker}, func(a core.Actor) { a.Send(e, n, worker) })
}

func (w recordingActor) Complete(e *scheduler.Request, n int) {
	w.perform(Action{Verb: "handle", ID: e.ID, Attempt: n}, func(a core.Actor) { a.Complete(e, n) })
}

func (w recordingActor) Reject(e *scheduler.Request, back time.Duration, ran bool) {
	w.perform(Action{Verb: "defer", ID: e.ID, Delay: back, MayHaveRun: ran}, func(a core.Actor) { a.Reject(e, back, ran) })
}

func (w recordingActor) Fail(e *scheduler.Request, n int, ran bool) {
	w.perform(Action{Verb: "dead-letter", ID: e.ID, Attempt: n, MayHaveRun: ran}, func(a core.Actor) { a.Fail(e, n, ran) })
}

func (w recordingActor) Cancel(e *scheduler.Request, n int, worker string) {
	w.perform(Action{Verb: "withdraw", ID: e.ID, Attempt: n, Worker: worker}, func(a core.Actor) { a.Cancel(e, n, worker) })
}

func (w recordingActor) RequestLoad(o scheduler.LoadRequest) {
	w.perform(Action{Verb: "order", LoadRequest: o}, func(a core.Actor) { a.RequestLoad(o) })
}

func (w recordingActor) Probe(worker string) {
	w.perform(Action{Verb: "probe", Worker: worker}, func(a core.Actor) { a.Probe(worker) })
}

func (w recordingActor) Subscribe() { w.perform(Action{Verb: "ask"}, core.Actor.Subscribe) }

func (w recordingActor) SetTimer(after time.Duration) {
	w.perform(Action{Verb: "wake", Delay: after}, func(a core.Actor) { a.SetTimer(after) })
}

func (w recordingActor) Closed(e *scheduler.Request, n int, how core.CloseReason) {
	w.perform(Action{Verb: "ended", ID: e.ID, Attempt: n, CloseReason: how}, func(a core.Actor) { a.Closed(e, n, how) })
}

// Recorder writes a recording. The first error of writing ends it; the core goes on.
type Recorder struct {
	enc *cbor.Encoder
	err error
}

// Start starts a core that acts through actor and is recorded to out.
func Start(f core.Settings, actor core.Actor, out io.Writer) (*core.Core, *Recorder) {
	r := &Recorder{enc: cbor.NewEncoder(out)}
	r.write(header{Magic: magic, Version: version, Settings: f})
	c := core.New(f, recordingActor{record: func(a Action) { r.write(item{Action: &a}) }, next: actor})
	c.Record(func(e core.Input) { r.write(item{Input: &e}) })
	return c, r
}

func (r *Recorder) write(v any) {
	if r.err == nil {
		r.err = r.enc.Encode(v)
	}
}

// Err is the first error of writing.
func (r *Recorder) Err() error { return r.err }

// Summary is what a replay found.
type Summary struct {
	Settings  core.Settings
	Inputs    int
	Actions   int
	Truncated bool // the recording ends inside an item, as after a kill
}

// ErrDivergence says that a replay acted otherwise than the recording.
var ErrDivergence = errors.New("the replay acts otherwise than the recording")

// Replay feeds a recording to a new core and compares each action with the recorded one. show, if given, sees every
// fact and the actions that follow it. Errors name the item, counted from 1, the header not counted.
func Replay(in io.Reader, show func(*core.Input, *Action)) (Summary, error) {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		return Summary{}, err
	}
	dec := mode.NewDecoder(in)
	var h header
	if err := dec.Decode(&h); err != nil {
		return Summary{}, fmt.Errorf("header: %w", err)
	}
	if h.Magic != magic {
		return Summary{}, errors.New("header: not a core recording")
	}
	if h.Version != version {
		return Summary{}, fmt.Errorf("header: version %d, this program reads %d", h.Version, version)
	}
	told := Summary{Settings: h.Settings}
	var due []Action
	c := core.New(h.Settings, recordingActor{record: func(a Action) { due = append(due, a) }})
	for n := 1; ; n++ {
		var it item
		if err := dec.Decode(&it); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			told.Truncated = errors.Is(err, io.ErrUnexpectedEOF)
			if len(due) > 0 && !told.Truncated {
				return told, fmt.Errorf("item %d: %w: %v is missing", n, ErrDivergence, due[0])
			}
			return told, nil
		} else if err != nil {
			return told, fmt.Errorf("item %d: %w", n, err)
		}
		switch {
		case it.Input != nil && it.Action == nil:
			if len(due) > 0 {
				return told, fmt.Errorf("item %d: %w: %v is missing", n, ErrDivergence, due[0])
			}
			told.Inputs++
			if err := c.Apply(*it.Input); err != nil {
				return told, fmt.Errorf("item %d: %w", n, err)
			}
		case it.Action != nil && it.Input == nil:
			told.Actions++
			if len(due) == 0 || due[0] != *it.Action {
				got := "nothing"
				if len(due) > 0 {
					got = due[0].String()
				}
				return told, fmt.Errorf("item %d: %w: recorded %v, replayed %s", n, ErrDivergence, it.Action, got)
			}
			due = due[1:]
		default:
			return told, fmt.Errorf("item %d: neither a fact nor an action", n)
		}
		if show != nil {
			show(it.Input, it.Action)
		}
	}
}
