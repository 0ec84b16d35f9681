// Package workerrpc implements the protocol between gateways and workers: length-prefixed frames with CBOR bodies over
// TCP, with many attempts in flight on one connection. docs/link.md specifies it for implementations in other
// languages. The outcome of an attempt states whether the attempt never ran or may have run. It is derived only from
// what was written to the connection and what the worker answered. The package never sends a message twice.
package workerrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of the protocol. Connections of peers with a different version are rejected.
const ProtocolVersion = 1

// MaxFrame is the maximum length of a frame without its length prefix, in bytes: the kind and the body.
const MaxFrame = 16 << 20

// lengthPrefix is the size of a frame's length prefix, in bytes.
const lengthPrefix = 4

// readChunk is the number of bytes by which a reader's buffer may exceed the bytes received so far.
const readChunk = 64 << 10

// maxIdleReadBuffer is the largest buffer that a reader retains between frames, in bytes.
const maxIdleReadBuffer = 4 * readChunk

// Kind is the type of a frame.
type Kind byte

// The kinds of frames. Both sides send a handshake first. After that a gateway sends attempts, cancels, load requests
// and probes, and a worker sends their results. Either side may send a drain notice.
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

// ErrProtocol is the error for a violation of the protocol. The connection is closed after it.
var ErrProtocol = errors.New("worker protocol violated")

var encMode, decMode = newModes()

func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // can't happen: the options are constant and valid
	}
	dec, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 64,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// kindOf returns the kind of frame that a body belongs to, or 0 if its type is not a frame body.
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

// newBody returns an empty body for a kind of frame, or nil if the kind is unknown.
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

// AppendFrame appends a frame to b: the length of kind and body as a four-byte big-endian integer, the kind as one
// byte, and the CBOR-encoded body. It fails if kind and body together are longer than MaxFrame.
func AppendFrame(b []byte, body any) ([]byte, error) {
	kind := kindOf(body)
	if kind == 0 {
		return b, fmt.Errorf("%w: type %T is not a frame body", ErrProtocol, body)
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

// ParseFrame decodes a frame without its length prefix and returns its body.
func ParseFrame(frame []byte) (any, error) {
	if len(frame) == 0 {
		return nil, fmt.Errorf("%w: frame is empty", ErrProtocol)
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

// FrameReader reads frames. It allocates memory for the bytes received, not for the length that a peer announces.
type FrameReader struct {
	source io.Reader
	limit  int
	length [lengthPrefix]byte
	buffer []byte
}

// NewFrameReader returns a FrameReader that reads frames from source. limit is the maximum length of a frame without
// its length prefix, in bytes.
func NewFrameReader(source io.Reader, limit int) *FrameReader {
	return &FrameReader{source: source, limit: limit}
}

// Next reads one frame and returns its body. It returns io.EOF only if the source ends between two frames.
func (r *FrameReader) Next() (any, error) {
	if _, err := io.ReadFull(r.source, r.length[:]); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(r.length[:]))
	if length == 0 || length > r.limit {
		return nil, fmt.Errorf("%w: frame of %d bytes, want 1 to %d", ErrProtocol, length, r.limit)
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
