// Package workerrpc is the protocol between gateways and workers: length-prefixed frames with CBOR bodies over TCP,
// many attempts on a connection. docs/link.md specifies it for other languages. Every outcome states whether the
// attempt never ran or may have run, by what was written and what the worker answered; nothing is guessed, and
// nothing is ever sent a second time by itself.
package workerrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the protocol's version; peers of another one are rejected.
const ProtocolVersion = 1

// MaxFrame bounds the body of a frame, in bytes.
const MaxFrame = 16 << 20

// lengthPrefix is the length of a frame's length, in bytes.
const lengthPrefix = 4

// readChunk is how far a reader's buffer grows ahead of the bytes that have arrived.
const readChunk = 64 << 10

// maxIdleReadBuffer is the longest buffer that a reader keeps between frames.
const maxIdleReadBuffer = 4 * readChunk

// Kind is the type of a frame.
type Kind byte

// The kinds. A handshake goes both ways first; attempts, cancels, load requests and probes go to the worker, their
// results come from it; a drain notice goes both ways.
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

// ErrProtocol reports that a peer violated the protocol; the connection is closed.
var ErrProtocol = errors.New("worker protocol violated")

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

// kindOf returns the kind of a frame's body; 0: there is none.
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

// newBody creates an empty body of a kind; nil: there is none.
func newBody(kind Kind) any {
	switch kind {
	case KindHandshake:
		return new(Handshake)
	case KindAttempt:
		return new(Attempt)
	case KindAttemptResult:
		return new(AttemptResult)
	case KindCancel:
		return new(Cancel)
	case KindLoadRequest:
		return new(LoadRequest)
	case KindLoadResult:
		return new(LoadResult)
	case KindProbe:
		return new(Probe)
	case KindProbeReply:
		return new(ProbeReply)
	case KindDrainNotice:
		return new(DrainNotice)
	}
	return nil
}

// AppendFrame appends a frame to b: four bytes of length in network order, which counts the kind and the body, one
// byte of kind, the body. It fails if the body is longer than MaxFrame.
func AppendFrame(b []byte, body any) ([]byte, error) {
	kind := kindOf(body)
	if kind == 0 {
		return b, fmt.Errorf("%w: no frame has a body of type %T", ErrProtocol, body)
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
	body := newBody(Kind(frame[0]))
	if body == nil {
		return nil, fmt.Errorf("%w: frame of unknown kind %d", ErrProtocol, frame[0])
	}
	if err := decMode.Unmarshal(frame[1:], body); err != nil {
		return nil, fmt.Errorf("%w: decode frame of kind %d: %w", ErrProtocol, frame[0], err)
	}
	return body, nil
}

// FrameReader reads frames. Its memory grows with the bytes that have arrived, not with the length that a peer claims.
type FrameReader struct {
	source io.Reader
	limit  int
	length [lengthPrefix]byte
	buffer []byte
}

// NewFrameReader reads frames of up to limit bytes from source.
func NewFrameReader(source io.Reader, limit int) *FrameReader {
	return &FrameReader{source: source, limit: limit}
}

// Next reads one frame and returns its body. io.EOF comes only between frames.
func (r *FrameReader) Next() (any, error) {
	if _, err := io.ReadFull(r.source, r.length[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(r.length[:]))
	if length == 0 || length > r.limit {
		return nil, fmt.Errorf("%w: a frame of %d bytes, 1 to %d are taken", ErrProtocol, length, r.limit)
	}
	r.buffer = r.buffer[:0]
	for len(r.buffer) < length {
		read := len(r.buffer)
		r.buffer = append(r.buffer, make([]byte, min(readChunk, length-read))...)
		if _, err := io.ReadFull(r.source, r.buffer[read:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	body, err := ParseFrame(r.buffer)
	if cap(r.buffer) > maxIdleReadBuffer {
		r.buffer = nil
	}
	return body, err
}
