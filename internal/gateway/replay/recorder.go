package replay

import (
	"io"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
)

// Values of the header's Magic and Version.
const (
	magic   = "lupinpond core recording"
	version = 1
)

// header is the first item of a recording.
type header struct {
	Magic    string        `cbor:"1,keyasint"`
	Version  int           `cbor:"2,keyasint"`
	Settings core.Settings `cbor:"3,keyasint"`
}

// item is one of the items after the header. It holds either an input or an action.
type item struct {
	Input  *core.Input `cbor:"1,keyasint,omitempty"`
	Action *Action     `cbor:"2,keyasint,omitempty"`
}

// Recorder writes a recording. After the first write error it records nothing more; the core keeps working.
type Recorder struct {
	encoder *cbor.Encoder
	err     error
}

// Start returns a new core that acts through actor and is recorded to out. If actor is nil, actions are only recorded.
func Start(settings core.Settings, actor core.Actor, out io.Writer) (*core.Core, *Recorder) {
	r := &Recorder{encoder: cbor.NewEncoder(out)}
	r.write(header{Magic: magic, Version: version, Settings: settings})
	c := core.New(settings, recordingActor{
		record: func(action Action) { r.write(item{Action: &action}) },
		actor:  actor,
	})
	c.Record(func(input core.Input) { r.write(item{Input: &input}) })
	return c, r
}

func (r *Recorder) write(v any) {
	if r.err == nil {
		r.err = r.encoder.Encode(v)
	}
}

// Err returns the first write error.
func (r *Recorder) Err() error { return r.err }
