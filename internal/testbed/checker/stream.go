package checker

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/workerrpc"
)

// stream is one direction of a connection.
type stream struct {
	data     []byte
	segments []segment
}

// segment is when a part of a stream passed.
type segment struct {
	offset     int // of its first byte
	begin, end time.Duration
}

func (s *stream) add(record capture.Record) {
	s.segments = append(s.segments, segment{len(s.data), record.At, record.At + record.Duration})
	s.data = append(s.data, record.Data...)
}

// segmentAt gives when the byte at an offset passed.
func (s *stream) segmentAt(offset int) segment {
	i, found := slices.BinarySearchFunc(s.segments, offset, func(s segment, offset int) int { return s.offset - offset })
	if !found {
		i--
	}
	if i < 0 {
		return segment{}
	}
	return s.segments[i]
}

// frameHeaderBytes is the length that stands before each frame.
const frameHeaderBytes = 4

// frameReader reads the frames of the worker protocol out of a stream.
type frameReader struct {
	stream
	offset int
}

// next reads a frame, with when its first and last bytes passed. The body is nil where no complete frame is left.
func (r *frameReader) next() (body any, first, last segment, err error) {
	rest := r.data[r.offset:]
	if len(rest) < frameHeaderBytes {
		return nil, segment{}, segment{}, nil
	}
	length := int(binary.BigEndian.Uint32(rest))
	if length > workerrpc.MaxFrame {
		return nil, segment{}, segment{}, fmt.Errorf("%w: a frame of %d bytes", workerrpc.ErrProtocol, length)
	}
	end := frameHeaderBytes + length
	if len(rest) < end {
		return nil, segment{}, segment{}, nil
	}
	body, err = workerrpc.ParseFrame(rest[frameHeaderBytes:end])
	first, last = r.segmentAt(r.offset), r.segmentAt(r.offset+end-1)
	r.offset += end
	return body, first, last, err
}
