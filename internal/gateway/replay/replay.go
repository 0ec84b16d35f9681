package replay

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
)

// Bounds of the items of a recording.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNestedLevels  = 16
)

// Summary is what a recording holds.
type Summary struct {
	Settings  core.Settings
	Inputs    int
	Actions   int
	Truncated bool // it ends inside an item, as after a kill
}

// ErrDivergence reports that a replay acts otherwise than the recording. A DivergenceError says where.
var ErrDivergence = errors.New("replay diverges from the recording")

// DivergenceError is the first action in which a replay and its recording differ.
type DivergenceError struct {
	Item     int     // of the recording, counted from 1, the header not counted
	Recorded *Action // nil: the action is missing in the recording
	Replayed *Action // nil: the replay does not act
}

func (e *DivergenceError) Error() string {
	switch {
	case e.Recorded == nil:
		return fmt.Sprintf("item %d: %v: %v is not recorded", e.Item, ErrDivergence, e.Replayed)
	case e.Replayed == nil:
		return fmt.Sprintf("item %d: %v: recorded %v, replayed nothing", e.Item, ErrDivergence, e.Recorded)
	}
	return fmt.Sprintf("item %d: %v: recorded %v, replayed %v", e.Item, ErrDivergence, e.Recorded, e.Replayed)
}

// Unwrap makes a DivergenceError an ErrDivergence.
func (e *DivergenceError) Unwrap() error { return ErrDivergence }

// Replay applies the inputs of a recording to a new core and compares each action with the recorded one. show, if not
// nil, sees every input and the actions that follow it. Errors name the item, counted from 1, the header not counted.
func Replay(in io.Reader, show func(*core.Input, *Action)) (Summary, error) {
	decoder, settings, err := open(in)
	if err != nil {
		return Summary{}, err
	}
	p := &player{summary: Summary{Settings: settings}}
	p.core = core.New(settings, recordingActor{record: func(action Action) { p.due = append(p.due, action) }})
	for {
		p.item++
		var next item
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return p.summary, p.expectNoAction()
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			p.summary.Truncated = true
			return p.summary, nil
		}
		if err != nil {
			return p.summary, fmt.Errorf("item %d: %w", p.item, err)
		}
		if err := p.play(next); err != nil {
			return p.summary, err
		}
		if show != nil {
			show(next.Input, next.Action)
		}
	}
}

// open reads the header of a recording.
func open(in io.Reader) (*cbor.Decoder, core.Settings, error) {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		return nil, core.Settings{}, err
	}
	decoder := mode.NewDecoder(in)
	var h header
	if err := decoder.Decode(&h); err != nil {
		return nil, core.Settings{}, fmt.Errorf("read header: %w", err)
	}
	if h.Magic != magic {
		return nil, core.Settings{}, errors.New("read header: not a core recording")
	}
	if h.Version != version {
		return nil, core.Settings{}, fmt.Errorf("read header: version %d, this program reads %d", h.Version, version)
	}
	return decoder, h.Settings, nil
}

// player plays the items of a recording.
type player struct {
	core    *core.Core
	item    int
	due     []Action // of the core, since the last input, that the recording has yet to hold
	summary Summary
}

func (p *player) play(next item) error {
	switch {
	case next.Input != nil && next.Action == nil:
		if err := p.expectNoAction(); err != nil {
			return err
		}
		p.summary.Inputs++
		if err := p.core.Apply(*next.Input); err != nil {
			return fmt.Errorf("item %d: %w", p.item, err)
		}
	case next.Action != nil && next.Input == nil:
		p.summary.Actions++
		if len(p.due) == 0 {
			return &DivergenceError{Item: p.item, Recorded: next.Action}
		}
		if p.due[0] != *next.Action {
			return &DivergenceError{Item: p.item, Recorded: next.Action, Replayed: &p.due[0]}
		}
		p.due = p.due[1:]
	default:
		return fmt.Errorf("item %d: neither an input nor an action", p.item)
	}
	return nil
}

// expectNoAction requires that the recording holds all actions that followed the last input.
func (p *player) expectNoAction() error {
	if len(p.due) > 0 {
		return &DivergenceError{Item: p.item, Replayed: &p.due[0]}
	}
	return nil
}
