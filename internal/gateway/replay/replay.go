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
	Magic   string        `cbor:"1,keyasint"`
	Version int           `cbor:"2,keyasint"`
	Front   core.Settings `cbor:"3,keyasint"`
}

// Action is one thing that a core did.
type Action struct {
	Verb   string                `cbor:"1,keyasint"` // launch, handle, defer, dead-letter, withdraw, order, probe, ask, wake, ended
	ID     string                `cbor:"2,keyasint,omitempty"`
	Launch int                   `cbor:"3,keyasint,omitempty"`
	Worker string                `cbor:"4,keyasint,omitempty"`
	Time   time.Duration         `cbor:"5,keyasint,omitempty"`
	MayRun bool                  `cbor:"6,keyasint,omitempty"`
	Order  scheduler.LoadRequest `cbor:"7,keyasint,omitempty"`
	Ending core.Ending           `cbor:"8,keyasint,omitempty"`
}

// String spells an action as replay shows it.
func (a Action) String() string {
	switch a.Verb {
	case "launch", "withdraw":
		return fmt.Sprintf("%s %s launch %d at %s", a.Verb, a.ID, a.Launch, a.Worker)
	case "defer":
		return fmt.Sprintf("defer %s back in %v", a.ID, a.Time)
	case "dead-letter":
		return fmt.Sprintf("dead-letter %s may have run %v", a.ID, a.MayRun)
	case "order":
		return fmt.Sprintf("order %d copies of %d at %s", a.Order.Replicas, a.Order.Function, a.Order.Worker)
	case "wake":
		return fmt.Sprintf("wake in %v", a.Time)
	}
	return fmt.Sprintf("%s %s%s", a.Verb, a.ID, a.Worker)
}

// item is a fact or an action.
type item struct {
	Fact   *core.Entry `cbor:"1,keyasint,omitempty"`
	Action *Action     `cbor:"2,keyasint,omitempty"`
}

// watcher hands actions to note and on to the actor behind it, if any.
type watcher struct {
	note func(Action)
	next core.Actor
}

func (w watcher) do(a Action, pass func(core.Actor)) {
	w.note(a)
	if w.next != nil {
		pass(w.next)
	}
}

func (w watcher) Send(e *scheduler.Request, n int, worker string) {
	w.do(Action{Verb: "launch", ID: e.ID, Launch: n, Worker: worker}, func(a core.Actor) { a.Send(e, n, worker) })
}

func (w watcher) Complete(e *scheduler.Request, n int) {
	w.do(Action{Verb: "handle", ID: e.ID, Launch: n}, func(a core.Actor) { a.Complete(e, n) })
}

func (w watcher) Reject(e *scheduler.Request, back time.Duration, ran bool) {
	w.do(Action{Verb: "defer", ID: e.ID, Time: back, MayRun: ran}, func(a core.Actor) { a.Reject(e, back, ran) })
}

func (w watcher) Fail(e *scheduler.Request, n int, ran bool) {
	w.do(Action{Verb: "dead-letter", ID: e.ID, Launch: n, MayRun: ran}, func(a core.Actor) { a.Fail(e, n, ran) })
}

func (w watcher) Cancel(e *scheduler.Request, n int, worker string) {
	w.do(Action{Verb: "withdraw", ID: e.ID, Launch: n, Worker: worker}, func(a core.Actor) { a.Cancel(e, n, worker) })
}

func (w watcher) Load(o scheduler.LoadRequest) {
	w.do(Action{Verb: "order", Order: o}, func(a core.Actor) { a.Load(o) })
}

func (w watcher) Probe(worker string) {
	w.do(Action{Verb: "probe", Worker: worker}, func(a core.Actor) { a.Probe(worker) })
}

func (w watcher) Subscribe() { w.do(Action{Verb: "ask"}, core.Actor.Subscribe) }

func (w watcher) Wake(after time.Duration) {
	w.do(Action{Verb: "wake", Time: after}, func(a core.Actor) { a.Wake(after) })
}

func (w watcher) Ended(e *scheduler.Request, n int, how core.Ending) {
	w.do(Action{Verb: "ended", ID: e.ID, Launch: n, Ending: how}, func(a core.Actor) { a.Ended(e, n, how) })
}

// Recorder writes a recording. The first error of writing ends it; the core goes on.
type Recorder struct {
	enc *cbor.Encoder
	err error
}

// Start starts a core that acts through actor and is recorded to out.
func Start(f core.Settings, actor core.Actor, out io.Writer) (*core.Core, *Recorder) {
	r := &Recorder{enc: cbor.NewEncoder(out)}
	r.write(header{Magic: magic, Version: version, Front: f})
	c := core.New(f, watcher{note: func(a Action) { r.write(item{Action: &a}) }, next: actor})
	c.Record(func(e core.Entry) { r.write(item{Fact: &e}) })
	return c, r
}

func (r *Recorder) write(v any) {
	if r.err == nil {
		r.err = r.enc.Encode(v)
	}
}

// Err is the first error of writing.
func (r *Recorder) Err() error { return r.err }

// Told is what a replay found.
type Told struct {
	Front   core.Settings
	Facts   int
	Actions int
	Torn    bool // the recording ends inside an item, as after a kill
}

// ErrDiffers says that a replay acted otherwise than the recording.
var ErrDiffers = errors.New("the replay acts otherwise than the recording")

// Replay feeds a recording to a new core and compares each action with the recorded one. show, if given, sees every
// fact and the actions that follow it. Errors name the item, counted from 1, the header not counted.
func Replay(in io.Reader, show func(*core.Entry, *Action)) (Told, error) {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		return Told{}, err
	}
	dec := mode.NewDecoder(in)
	var h header
	if err := dec.Decode(&h); err != nil {
		return Told{}, fmt.Errorf("header: %w", err)
	}
	if h.Magic != magic {
		return Told{}, errors.New("header: not a core recording")
	}
	if h.Version != version {
		return Told{}, fmt.Errorf("header: version %d, this program reads %d", h.Version, version)
	}
	told := Told{Front: h.Front}
	var due []Action
	c := core.New(h.Front, watcher{note: func(a Action) { due = append(due, a) }})
	for n := 1; ; n++ {
		var it item
		if err := dec.Decode(&it); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			told.Torn = errors.Is(err, io.ErrUnexpectedEOF)
			if len(due) > 0 && !told.Torn {
				return told, fmt.Errorf("item %d: %w: %v is missing", n, ErrDiffers, due[0])
			}
			return told, nil
		} else if err != nil {
			return told, fmt.Errorf("item %d: %w", n, err)
		}
		switch {
		case it.Fact != nil && it.Action == nil:
			if len(due) > 0 {
				return told, fmt.Errorf("item %d: %w: %v is missing", n, ErrDiffers, due[0])
			}
			told.Facts++
			if err := c.Feed(*it.Fact); err != nil {
				return told, fmt.Errorf("item %d: %w", n, err)
			}
		case it.Action != nil && it.Fact == nil:
			told.Actions++
			if len(due) == 0 || due[0] != *it.Action {
				got := "nothing"
				if len(due) > 0 {
					got = due[0].String()
				}
				return told, fmt.Errorf("item %d: %w: recorded %v, replayed %s", n, ErrDiffers, it.Action, got)
			}
			due = due[1:]
		default:
			return told, fmt.Errorf("item %d: neither a fact nor an action", n)
		}
		if show != nil {
			show(it.Fact, it.Action)
		}
	}
}
