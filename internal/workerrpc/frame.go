// Package workerrpc is the worker protocol: length-prefixed frames with CBOR bodies over TCP, many launches a connection.
// docs/link.md has the protocol for other languages. Every outcome says whether the launch never ran or may have run,
// by what was written and what the worker said; nothing is guessed, and nothing is ever sent a second time by itself.
package workerrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the protocol's version; peers of another one are refused.
const Version = 1

// MaxFrame bounds a frame's body in bytes.
const MaxFrame = 16 << 20

// Kind is the type of a frame.
type Kind byte

// The kinds. Hello goes both ways first; launch, cancel, order and probe go to the worker, the rest come from it;
// goodbye goes both ways.
const (
	KindHello Kind = iota + 1
	KindLaunch
	KindAnswer
	KindCancel
	KindOrder
	KindOrdered
	KindProbe
	KindEcho
	KindGoodbye
)

// Hello opens a connection. A worker says its name, its start and how many launches it takes on the connection.
type Hello struct {
	Version  int       `cbor:"1,keyasint"`
	Name     string    `cbor:"2,keyasint"`
	Started  time.Time `cbor:"3,keyasint,omitempty"` // of the worker's process
	Launches int       `cbor:"4,keyasint,omitempty"` // most launches outstanding on this connection
	MaxFrame int       `cbor:"5,keyasint,omitempty"` // longest body that the sender takes
	Cut      []CutLoad `cbor:"6,keyasint,omitempty"` // of a worker: loads that its last life did not end
	// WarmUp is how long the last life of the worker was warming up, as it measured it; 0: not known.
	WarmUp time.Duration `cbor:"7,keyasint,omitempty"`
}

// CutLoad is a load that a worker had begun when it died. It failed; the events had been taken for it, and for each the
// worker says whether it may have run.
type CutLoad struct {
	Function string     `cbor:"1,keyasint"`
	Version  string     `cbor:"2,keyasint"`
	Events   []CutEvent `cbor:"3,keyasint,omitempty"`
}

// CutEvent is an event that a worker had taken when it died.
type CutEvent struct {
	Event  string `cbor:"1,keyasint"`
	MayRun bool   `cbor:"2,keyasint"`
}

// Launch asks a worker to run an event.
type Launch struct {
	Seq      uint64        `cbor:"1,keyasint"` // of the connection's calls
	Event    string        `cbor:"2,keyasint"`
	Number   int           `cbor:"3,keyasint"` // launch of the event, from 0
	Function string        `cbor:"4,keyasint"`
	Type     string        `cbor:"5,keyasint"`
	Tenant   string        `cbor:"6,keyasint"`
	Key      string        `cbor:"7,keyasint,omitempty"`  // of a keyed event: repeats of it are dropped
	Window   time.Duration `cbor:"8,keyasint,omitempty"`  // for so long
	Left     time.Duration `cbor:"9,keyasint"`            // of the client's time
	Client   string        `cbor:"10,keyasint,omitempty"` // the client's own name of the event
	Body     []byte        `cbor:"11,keyasint,omitempty"`
}

// Code is what a worker says of a launch or an order.
type Code int

// The codes. Full, Missing and NotStarted say that the launch never ran.
const (
	Done       Code = iota // handled; of an order: the copies stand
	Failed                 // an error: it may have run
	Full                   // turned away unseen
	Missing                // the function is not there
	NotStarted             // withdrawn or refused before it started
	Withdrawn              // withdrawn, it may have run
)

// NeverRan tells whether the worker said that the launch never ran.
func (c Code) NeverRan() bool { return c == Full || c == Missing || c == NotStarted }

// Report is a worker's load at the moment of an answer.
type Report struct {
	Waiting int     `cbor:"1,keyasint"` // events that wait there
	Running int     `cbor:"2,keyasint"`
	Busy    float64 `cbor:"3,keyasint"`           // part of its cores in use
	Memory  int64   `cbor:"4,keyasint"`           // bytes held
	Cold    float64 `cbor:"5,keyasint,omitempty"` // part of its last launches that found no warm copy
}

// Warmth is what an answer tells of the copy that the event found.
type Warmth int

// The kinds of warmth.
const (
	Untold Warmth = iota
	FoundWarm
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// Answer ends a launch.
type Answer struct {
	Seq     uint64        `cbor:"1,keyasint"`
	Event   string        `cbor:"2,keyasint"`
	Code    Code          `cbor:"3,keyasint"`
	Warmth  Warmth        `cbor:"4,keyasint,omitempty"`
	Company int           `cbor:"5,keyasint,omitempty"` // events of the function held there when it came
	Worked  time.Duration `cbor:"6,keyasint,omitempty"` // time on a core
	Report  *Report       `cbor:"7,keyasint,omitempty"`
	Repeat  bool          `cbor:"8,keyasint,omitempty"` // dropped as a repeat: the answer is that of its first run
	Reason  string        `cbor:"9,keyasint,omitempty"`
	Body    []byte        `cbor:"10,keyasint,omitempty"`
}

// Cancel asks a worker to give a launch up; an answer still comes.
type Cancel struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Order asks for so many copies of a function in all.
type Order struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Function string `cbor:"2,keyasint"`
	Copies   int    `cbor:"3,keyasint"`
}

// Ordered answers an order.
type Ordered struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Code   Code   `cbor:"2,keyasint"`
	Copies int    `cbor:"3,keyasint"` // that stand now
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Probe asks for a report.
type Probe struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Echo answers a probe.
type Echo struct {
	Seq    uint64  `cbor:"1,keyasint"`
	Report *Report `cbor:"2,keyasint"`
}

// Goodbye says that its sender starts nothing new; what is outstanding is still answered.
type Goodbye struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

var encode, decode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	dec, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 64,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// ErrProtocol says that a peer sent what the protocol does not have; the connection ends.
var ErrProtocol = errors.New("worker protocol broken")

// kindOf names the kind of a frame's body, or 0.
func kindOf(body any) Kind {
	switch body.(type) {
	case *Hello:
		return KindHello
	case *Launch:
		return KindLaunch
	case *Answer:
		return KindAnswer
	case *Cancel:
		return KindCancel
	case *Order:
		return KindOrder
	case *Ordered:
		return KindOrdered
	case *Probe:
		return KindProbe
	case *Echo:
		return KindEcho
	case *Goodbye:
		return KindGoodbye
	}
	return 0
}

// Append adds a frame to b: four bytes of length in network order, which counts the kind and the body, one byte of
// kind, the body. It fails if the body is longer than MaxFrame.
func Append(b []byte, body any) ([]byte, error) {
	kind := kindOf(body)
	if kind == 0 {
		return b, fmt.Errorf("%w: no frame holds a %T", ErrProtocol, body)
	}
	encoded, err := encode.Marshal(body)
	if err != nil {
		return b, fmt.Errorf("encode frame: %w", err)
	}
	if len(encoded) >= MaxFrame {
		return b, fmt.Errorf("%w: a body of %d bytes, at most %d are sent", ErrProtocol, len(encoded), MaxFrame-1)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(encoded)+1))
	return append(append(b, byte(kind)), encoded...), nil
}

// Parse decodes the kind and body of a frame without its length.
func Parse(frame []byte) (any, error) {
	if len(frame) == 0 {
		return nil, fmt.Errorf("%w: a frame of no length", ErrProtocol)
	}
	var body any
	switch Kind(frame[0]) {
	case KindHello:
		body = new(Hello)
	case KindLaunch:
		body = new(Launch)
	case KindAnswer:
		body = new(Answer)
	case KindCancel:
		body = new(Cancel)
	case KindOrder:
		body = new(Order)
	case KindOrdered:
		body = new(Ordered)
	case KindProbe:
		body = new(Probe)
	case KindEcho:
		body = new(Echo)
	case KindGoodbye:
		body = new(Goodbye)
	default:
		return nil, fmt.Errorf("%w: frame of unknown kind %d", ErrProtocol, frame[0])
	}
	if err := decode.Unmarshal(frame[1:], body); err != nil {
		return nil, fmt.Errorf("%w: kind %d: %w", ErrProtocol, frame[0], err)
	}
	return body, nil
}

// Reader reads frames. Memory grows with the bytes that have come, not with the length that a peer claims.
type Reader struct {
	in    io.Reader
	limit int
	head  [4]byte
	buf   []byte
}

// NewReader reads frames of up to limit bytes from in.
func NewReader(in io.Reader, limit int) *Reader { return &Reader{in: in, limit: limit} }

// Next reads one frame. io.EOF comes only between frames.
func (r *Reader) Next() (any, error) {
	if _, err := io.ReadFull(r.in, r.head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(r.head[:]))
	if n == 0 || n > r.limit {
		return nil, fmt.Errorf("%w: a frame of %d bytes, 1 to %d are taken", ErrProtocol, n, r.limit)
	}
	const step = 64 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < n {
		at := len(r.buf)
		more := min(step, n-at)
		r.buf = append(r.buf, make([]byte, more)...)
		if _, err := io.ReadFull(r.in, r.buf[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	body, err := Parse(r.buf)
	if cap(r.buf) > 4*step {
		r.buf = nil
	}
	return body, err
}
