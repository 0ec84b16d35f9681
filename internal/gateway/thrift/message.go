// Package thrift implements the strict binary protocol of Apache Thrift over the framed transport, limited to what a
// server without generated code needs: messages, maps of strings, binaries, integers and booleans. The codec does no
// I/O. Its input is not trusted: it allocates no memory by a length in a message before it has checked that the message
// has that many bytes; the size of a message itself is limited. The package is independent of any service.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MessageType is the type of a message.
type MessageType byte

// The message types.
const (
	Call MessageType = iota + 1
	Reply
	Exception
	Oneway
)

// Types of values on the wire.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

// ExceptionCode is the type of an application exception.
type ExceptionCode int32

// The application exceptions.
const (
	UnknownMethod ExceptionCode = 1
	BadSequenceID ExceptionCode = 4
	InternalError ExceptionCode = 6
	ProtocolError ExceptionCode = 7
)

// The first word of a message holds the version in its upper bytes and the message type in the lowest.
const (
	version     = 0x80010000
	versionMask = 0xffffff00
)

// ErrMalformed is the error for bytes that are not a valid message.
var ErrMalformed = errors.New("thrift: malformed")

func malformedError(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// Message is a message with a decoded header.
type Message struct {
	Name  string
	Type  MessageType
	SeqID int32
	Args  []byte // encoded struct that follows the header
}

// Parse parses the header of a message.
func Parse(frame []byte) (Message, error) {
	r := reader{b: frame}
	head := r.u32()
	if r.err == nil && head&versionMask != version {
		return Message{}, malformedError("not of the strict version 1")
	}
	message := Message{Type: MessageType(head), Name: string(r.bytes()), SeqID: int32(r.u32())}
	if r.err == nil && (message.Type < Call || message.Type > Oneway) {
		return Message{}, malformedError("an unknown kind of message")
	}
	message.Args = r.b
	return message, r.err
}

// ReadMessage reads one framed message. It is for clients. A frame longer than maxBytes is malformed.
func ReadMessage(from io.Reader, maxBytes uint32) (Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return Message{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxBytes {
		return Message{}, malformedError("frame length is above the limit")
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(from, frame); err != nil {
		return Message{}, err
	}
	return Parse(frame)
}

// resultHeaderBytes is the size of the type and the field ID that precede the struct in the result of a call.
const resultHeaderBytes = 3

// Result parses the result of a call. It returns the ID of its only field and the fields of the struct in that field.
// An application exception has no result, so it is malformed.
func (m Message) Result() (field int, args Args, err error) {
	if m.Type != Reply || len(m.Args) <= resultHeaderBytes {
		return 0, Args{}, malformedError("no result")
	}
	args, err = ReadArgs(m.Args[resultHeaderBytes : len(m.Args)-1])
	return int(binary.BigEndian.Uint16(m.Args[1:])), args, err
}
