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

// ProtocolVersion is the protocol's version; peers of another one are refused.
const ProtocolVersion = 1

// MaxFrame bounds a frame's body in bytes.
const MaxFrame = 16 << 20

// Kind is the type of a frame.
type Kind byte

// The kinds. Hello goes both ways first; launch, cancel, order and probe go to the worker, the rest come from it;
// goodbye goes both ways.
const (
	KindHandshake Kind = iota + 1
	KindAttempt
	KindAttemptResult
	KindCancel
	KindLoadRequest
	KindLoadResult
	KindProbe
	KindProbeReply
	KindDrainNotice
)

// Handshake opens a connection. A worker says its name, its start and how many launches it takes on the connection.
type Handshake struct {
	Version          int               `cbor:"1,keyasint"`
	Name             string            `cbor:"2,keyasint"`
	Started          time.Time         `cbor:"3,keyasint,omitempty"` // of the worker's process
	MaxAttempts      int               `cbor:"4,keyasint,omitempty"` // most launches outstanding on this connection
	MaxFrame         int               `cbor:"5,keyasint,omitempty"` // longest body that the sender takes
	InterruptedLoads []InterruptedLoad `cbor:"6,keyasint,omitempty"` // of a worker: loads that its last life did not end
	// WarmUpTime is how long the last life of the worker was warming up, as it measured it; 0: not known.
	WarmUpTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// InterruptedLoad is a load that a worker had begun when it died. It failed; the events had been taken for it, and for each the
// worker says whether it may have run.
type InterruptedLoad struct {
	Function string               `cbor:"1,keyasint"`
	Version  string               `cbor:"2,keyasint"`
	Requests []InterruptedRequest `cbor:"3,keyasint,omitempty"`
}

// InterruptedRequest is an event that a worker had taken when it died.
type InterruptedRequest struct {
	RequestID  string `cbor:"1,keyasint"`
	MayHaveRun bool   `cbor:"2,keyasint"`
}

// Attempt asks a worker to run an event.
type Attempt struct {
	Seq               uint64        `cbor:"1,keyasint"` // of the connection's calls
	RequestID         string        `cbor:"2,keyasint"`
	Number            int           `cbor:"3,keyasint"` // launch of the event, from 0
	Function          string        `cbor:"4,keyasint"`
	Type              string        `cbor:"5,keyasint"`
	Tenant            string        `cbor:"6,keyasint"`
	IdempotencyKey    string        `cbor:"7,keyasint,omitempty"`  // of a keyed event: repeats of it are dropped
	IdempotencyWindow time.Duration `cbor:"8,keyasint,omitempty"`  // for so long
	TimeLeft          time.Duration `cbor:"9,keyasint"`            // of the client's time
	ClientRequestID   string        `cbor:"10,keyasint,omitempty"` // the client's own name of the event
	Body              []byte        `cbor:"11,keyasint,omitempty"`
}

// Code is what a worker says of a launch or an order.
type Code int

// The codes. Full, Missing and NotStarted say that the launch never ran.
const (
	CodeOK         Code = iota // handled; of an order: the copies stand
	CodeFailed                 // an error: it may have run
	CodeOverloaded             // turned away unseen
	CodeNotFound               // the function is not there
	CodeNotStarted             // withdrawn or refused before it started
	CodeCancelled              // withdrawn, it may have run
)

// NeverRan tells whether the worker said that the launch never ran.
func (c Code) NeverRan() bool { return c == CodeOverloaded || c == CodeNotFound || c == CodeNotStarted }

// LoadReport is a worker's load at the moment of an answer.
type LoadReport struct {
	QueueDepth     int     `cbor:"1,keyasint"` // events that wait there
	Running        int     `cbor:"2,keyasint"`
	CPUUtilization float64 `cbor:"3,keyasint"`           // part of its cores in use
	MemoryBytes    int64   `cbor:"4,keyasint"`           // bytes held
	ColdStartRate  float64 `cbor:"5,keyasint,omitempty"` // part of its last launches that found no warm copy
}

// ReplicaState is what an answer tells of the copy that the event found.
type ReplicaState int

// The kinds of warmth.
const (
	ReplicaStateUnknown ReplicaState = iota
	ReplicaWarm
	ReplicaLoadStarted
	ReplicaLoadAwaited
	ReplicaLoadFailed
)

// AttemptResult ends a launch.
type AttemptResult struct {
	Seq                uint64        `cbor:"1,keyasint"`
	RequestID          string        `cbor:"2,keyasint"`
	Code               Code          `cbor:"3,keyasint"`
	ReplicaState       ReplicaState  `cbor:"4,keyasint,omitempty"`
	ConcurrentRequests int           `cbor:"5,keyasint,omitempty"` // events of the function held there when it came
	CPUTime            time.Duration `cbor:"6,keyasint,omitempty"` // time on a core
	Report             *LoadReport   `cbor:"7,keyasint,omitempty"`
	Deduplicated       bool          `cbor:"8,keyasint,omitempty"` // dropped as a repeat: the answer is that of its first run
	Reason             string        `cbor:"9,keyasint,omitempty"`
	Body               []byte        `cbor:"10,keyasint,omitempty"`
}

// Cancel asks a worker to give a launch up; an answer still comes.
type Cancel struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// LoadRequest asks for so many copies of a function in all.
type LoadRequest struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Function string `cbor:"2,keyasint"`
	Replicas int    `cbor:"3,keyasint"`
}

// LoadResult answers an order.
type LoadResult struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Code     Code   `cbor:"2,keyasint"`
	Replicas int    `cbor:"3,keyasint"` // that stand now
	Reason   string `cbor:"4,keyasint,omitempty"`
}

// Probe asks for a report.
type Probe struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// ProbeReply answers a probe.
type ProbeReply struct {
	Seq    uint64      `cbor:"1,keyasint"`
	Report *LoadReport `cbor:"2,keyasint"`
}

// DrainNotice says that its sender starts nothing new; what is outstanding is still answered.
type DrainNotice struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

var encMode, decMode = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
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
	case *Handshake:
		return KindHandshake
	case *Attempt:
		return KindAttempt
	case *AttemptResult:
		return KindAttemptResult
	case *Cancel:
		return KindCancel
	case *LoadRequest:
		return KindLoadRequest
	case *LoadResult:
		return KindLoadResult
	case *Probe:
		return KindProbe
	case *ProbeReply:
		return KindProbeReply
	case *DrainNotice:
		return KindDrainNotice
	}
	return 0
}

// AppendFrame adds a frame to b: four bytes of length in network order, which counts the kind and the body, one byte of
// kind, the body. It fails if the body is longer than MaxFrame.
func AppendFrame(b []byte, body any) ([]byte, error) {
	kind := kindOf(body)
	if kind == 0 {
		return b, fmt.Errorf("%w: no frame holds a %T", ErrProtocol, body)
	}
	encoded, err := encMode.Marshal(body)
	if err != nil {
		return b, fmt.Errorf("encode frame: %w", err)
	}
	if len(encoded) >= MaxFrame {
		return b, fmt.Errorf("%w: a body of %d bytes, at most %d are sent", ErrProtocol, len(encoded), MaxFrame-1)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(encoded)+1))
	return append(append(b, byte(kind)), encoded...), nil
}

// ParseFrame decodes the kind and body of a frame without its length.
func ParseFrame(frame []byte) (any, error) {
	if len(frame) == 0 {
		return nil, fmt.Errorf("%w: a frame of no length", ErrProtocol)
	}
	var body any
	switch Kind(frame[0]) {
	case KindHandshake:
		body = new(Handshake)
	case KindAttempt:
		body = new(Attempt)
	case KindAttemptResult:
		body = new(AttemptResult)
	case KindCancel:
		body = new(Cancel)
	case KindLoadRequest:
		body = new(LoadRequest)
	case KindLoadResult:
		body = new(LoadResult)
	case KindProbe:
		body = new(Probe)
	case KindProbeReply:
		body = new(ProbeReply)
	case KindDrainNotice:
		body = new(DrainNotice)
	default:
		return nil, fmt.Errorf("%w: frame of unknown kind %d", ErrProtocol, frame[0])
	}
	if err := decMode.Unmarshal(frame[1:], body); err != nil {
		return nil, fmt.Errorf("%w: kind %d: %w", ErrProtocol, frame[0], err)
	}
	return body, nil
}

// FrameReader reads frames. Memory grows with the bytes that have come, not with the length that a peer claims.
type FrameReader struct {
	source       io.Reader
	limit        int
	lengthPrefix [4]byte
	buffer       []byte
}

// NewFrameReader reads frames of up to limit bytes from in.
func NewFrameReader(in io.Reader, limit int) *FrameReader {
	return &FrameReader{source: in, limit: limit}
}

// Next reads one frame. io.EOF comes only between frames.
func (r *FrameReader) Next() (any, error) {
	if _, err := io.ReadFull(r.source, r.lengthPrefix[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(r.lengthPrefix[:]))
	if n == 0 || n > r.limit {
		return nil, fmt.Errorf("%w: a frame of %d bytes, 1 to %d are taken", ErrProtocol, n, r.limit)
	}
	const step = 64 << 10
	r.buffer = r.buffer[:0]
	for len(r.buffer) < n {
		at := len(r.buffer)
		more := min(step, n-at)
		r.buffer = append(r.buffer, make([]byte, more)...)
		if _, err := io.ReadFull(r.source, r.buffer[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	body, err := ParseFrame(r.buffer)
	if cap(r.buffer) > 4*step {
		r.buffer = nil
	}
	return body, err
}
