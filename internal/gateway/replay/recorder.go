package replay

import (
	"io"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
)

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

// item is each further item of a recording: an input or an action.
type item struct {
	Input  *core.Input `cbor:"1,keyasint,omitempty"`
	Action *Action     `cbor:"2,keyasint,omitempty"`
}

// Recorder writes a recording. The first write error ends it, while the core goes on.
type Recorder struct {
	encoder *cbor.Encoder
	err     error
}

// Start starts a core that acts through actor and is recorded to out.
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

// Err is the first write error.
func (r *Recorder) Err() error { return r.err }
