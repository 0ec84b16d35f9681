package replay

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
)

// Limits on the CBOR items that are decoded from a recording.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNestedLevels  = 16
)

// Summary describes a replayed recording: its settings and the numbers of inputs and actions replayed.
type Summary struct {
	Settings  core.Settings
	Inputs    int
	Actions   int
	Truncated bool // the recording ends inside an item, as after a kill of the process
}

// ErrDivergence reports that the actions of a replay differ from those in the recording. The error returned is a
// DivergenceError, which says where.
var ErrDivergence = errors.New("replay diverges from the recording")

// DivergenceError reports the first action in which a replay differs from the recording.
type DivergenceError struct {
	Item     int     // number of the item in the recording, from 1, without the header
	Recorded *Action // recorded action; nil if it is missing
	Replayed *Action // action of the replay; nil if there is none
}

func (e *DivergenceError) Error() string {
	switch {
	case e.Recorded == nil:
		return fmt.Sprintf("item %d: %v: replayed %v, recorded nothing", e.Item, ErrDivergence, e.Replayed)
	case e.Replayed == nil:
		return fmt.Sprintf("item %d: %v: recorded %v, replayed nothing", e.Item, ErrDivergence, e.Recorded)
	}
	return fmt.Sprintf("item %d: %v: recorded %v, replayed %v", e.Item, ErrDivergence, e.Recorded, e.Replayed)
}

// Unwrap returns ErrDivergence.
func (e *DivergenceError) Unwrap() error { return ErrDivergence }

// Replay applies the inputs of a recording to a new core and compares each action of the core with the recorded one. If
// show is not nil, it is called with each input and each action, the other argument being nil. Errors name the item by
// its number, counted from 1 without the header.
func Replay(in io.Reader, show func(*core.Input, *Action)) (Summary, error) {
	decoder, settings, err := open(in)
	if err != nil {
		return Summary{}, err
	}
	p := &player{summary: Summary{Settings: settings}}
	p.core = core.New(settings, recordingActor{record: func(action Action) { p.unmatched = append(p.unmatched, action) }})
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

// open checks the header of a recording and returns a decoder for the items after it and the recorded settings.
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

// player replays the items of a recording.
type player struct {
	core      *core.Core
	item      int      // number of the current item, from 1
	unmatched []Action // actions since the last input not yet compared with recorded ones
	summary   Summary
}

// play applies an input, or compares a recorded action with the core's.
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
		if len(p.unmatched) == 0 {
			return &DivergenceError{Item: p.item, Recorded: next.Action}
		}
		if p.unmatched[0] != *next.Action {
			return &DivergenceError{Item: p.item, Recorded: next.Action, Replayed: &p.unmatched[0]}
		}
		p.unmatched = p.unmatched[1:]
	default:
		return fmt.Errorf("item %d: want either an input or an action", p.item)
	}
	return nil
}

// expectNoAction returns a DivergenceError if the recording lacks an action that followed the last input.
func (p *player) expectNoAction() error {
	if len(p.unmatched) > 0 {
		return &DivergenceError{Item: p.item, Replayed: &p.unmatched[0]}
	}
	return nil
}
