package checker

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/workerrpc"
)

// stream holds the bytes of one direction of a connection and the times at which they were read or written.
type stream struct {
	data     []byte
	segments []segment
}

// segment is a part of a stream that one call read or wrote. For a write, begin and end are those of the call; for a
// read, both are the time at which the call returned.
type segment struct {
	offset     int // offset of the first byte in the stream
	begin, end time.Duration
}

func (s *stream) add(record capture.Record) {
	s.segments = append(s.segments, segment{len(s.data), record.At, record.At + record.Duration})
	s.data = append(s.data, record.Data...)
}

// segmentAt returns the segment that contains the byte at an offset.
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

// frameHeaderBytes is the size of the length prefix of each frame.
const frameHeaderBytes = 4

// frameReader reads the frames of the worker protocol from a stream.
type frameReader struct {
	stream
	offset int
}

// next reads a frame and returns it with the segments of its first and last bytes. The body is nil if no complete frame
// is left.
func (r *frameReader) next() (body any, first, last segment, err error) {
	rest := r.data[r.offset:]
	if len(rest) < frameHeaderBytes {
		return nil, segment{}, segment{}, nil
	}
	length := int(binary.BigEndian.Uint32(rest))
	if length > workerrpc.MaxFrame {
		return nil, segment{}, segment{}, fmt.Errorf("%w: frame of %d bytes exceeds the limit", workerrpc.ErrProtocol, length)
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
