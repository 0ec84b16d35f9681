package thrift

import (
	"encoding/binary"
	"io"
)

// ReadMessage reads one framed message, as a client does; a frame longer than most is malformed.
func ReadMessage(from io.Reader, most uint32) (Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return Message{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > most {
		return Message{}, malformedError("a frame of that length")
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(from, frame); err != nil {
		return Message{}, err
	}
	return Parse(frame)
}

// resultHeadBytes is what comes before the struct in the result of a call: its type and the number of its field.
const resultHeadBytes = 3

// Result reads the result of a call: the number of the one field that it has, and the struct in it. An exception that is no result is
// malformed.
func (m Message) Result() (field int, args Args, err error) {
	if m.Type != Reply || len(m.Args) <= resultHeadBytes {
		return 0, Args{}, malformedError("no result")
	}
	args, err = ReadArgs(m.Args[resultHeadBytes : len(m.Args)-1])
	return int(binary.BigEndian.Uint16(m.Args[1:])), args, err
}
