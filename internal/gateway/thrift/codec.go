// Package thrift speaks the strict binary protocol of Apache Thrift over framed transport, as much of it as a server
// needs that knows its services by hand: messages, maps of text, binaries and flags. The codec does no I/O; what it reads
// comes from anybody, so it believes no length before the bytes are there. It knows no service.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MessageType is the kind of a message.
type MessageType byte

// The kinds.
const (
	Call MessageType = iota + 1
	Reply
	Exception
	Oneway
)

// Types of values.
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

// Codes of application exceptions.
const (
	UnknownMethod = 1
	BadSequenceID = 4
	InternalError = 6
	ProtocolError = 7
)

const (
	version    = 0x80010000
	maxDepth   = 16  // of values inside each other that are skipped
	maxEntries = 256 // of a map that is kept
)

// ErrMalformed says that bytes are no message.
var ErrMalformed = errors.New("thrift: malformed")

func malformedError(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// Message is the head of a message; the arguments are a struct that follows.
type Message struct {
	Name  string
	Type  MessageType
	SeqID int32
	Args  []byte
}

// Parse reads the head of a message.
func Parse(frame []byte) (Message, error) {
	r := reader{b: frame}
	head := r.u32()
	if r.err == nil && head&0xffffff00 != version {
		return Message{}, malformedError("not of the strict version 1")
	}
	m := Message{Type: MessageType(head), Name: string(r.bytes()), SeqID: int32(r.u32())}
	if r.err == nil && (m.Type < Call || m.Type > Oneway) {
		return Message{}, malformedError("an unknown kind of message")
	}
	m.Args = r.b
	return m, r.err
}

// Args are the arguments that are known here, by the number of their field; a field of another type is malformed.
type Args struct {
	StringMaps map[int16]map[string]string
	Binaries   map[int16][]byte // of the frame's own bytes
	Ints       map[int16]int32
	Bools      map[int16]bool
}

// ReadArgs reads a struct to its end; after it nothing may come. Values of other types are skipped.
func ReadArgs(b []byte) (Args, error) {
	r := reader{b: b}
	a := Args{map[int16]map[string]string{}, map[int16][]byte{}, map[int16]int32{}, map[int16]bool{}}
	for fields := 0; r.err == nil; fields++ {
		kind := r.u8()
		if kind == typeStop {
			break
		}
		if fields >= maxEntries {
			return a, malformedError("too many fields")
		}
		id := int16(r.u16())
		switch kind {
		case typeMap:
			a.StringMaps[id] = r.stringMap()
		case typeString:
			a.Binaries[id] = r.bytes()
		case typeI32:
			a.Ints[id] = int32(r.u32())
		case typeBool:
			a.Bools[id] = r.u8() != 0
		default:
			r.skip(kind, maxDepth)
		}
	}
	if r.err == nil && len(r.b) > 0 {
		return a, malformedError("bytes after the end")
	}
	return a, r.err
}

// reader takes values from bytes; the first mistake sticks.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err == nil && (n < 0 || n > len(r.b)) {
		r.err = malformedError("a value longer than its frame")
	}
	if r.err != nil {
		return nil
	}
	taken := r.b[:n:n]
	r.b = r.b[n:]
	return taken
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(int(int32(r.u32()))) }

// stringMap takes a map of texts; a name that comes twice is malformed, as it may mean either.
func (r *reader) stringMap() map[string]string {
	key, value, n := r.u8(), r.u8(), int32(r.u32())
	if r.err == nil && (n < 0 || n > maxEntries || n > 0 && (key != typeString || value != typeString)) {
		r.err = malformedError("no map of texts")
	}
	m := map[string]string{}
	for range n {
		name := string(r.bytes())
		text := string(r.bytes())
		if r.err != nil {
			return m
		}
		if _, twice := m[name]; twice {
			r.err = malformedError("a name twice in a map")
		}
		m[name] = text
	}
	return m
}

func (r *reader) skip(kind byte, depth int) {
	if depth == 0 && r.err == nil {
		r.err = malformedError("nested too deep")
	}
	if r.err != nil {
		return
	}
	switch kind {
	case typeBool, typeByte:
		r.take(1)
	case typeI16:
		r.take(2)
	case typeI32:
		r.take(4)
	case typeDouble, typeI64:
		r.take(8)
	case typeString:
		r.bytes()
	case typeStruct:
		for r.err == nil {
			field := r.u8()
			if field == typeStop {
				return
			}
			r.u16()
			r.skip(field, depth-1)
		}
	case typeMap, typeSet, typeList:
		kinds := []byte{r.u8()}
		if kind == typeMap {
			kinds = append(kinds, r.u8())
		}
		n := int32(r.u32())
		if n < 0 || int(n) > len(r.b) { // every value has a byte at least
			r.err = malformedError("a count longer than its frame")
		}
		for i := int32(0); i < n && r.err == nil; i++ {
			for _, k := range kinds {
				r.skip(k, depth-1)
			}
		}
	default:
		r.err = malformedError("an unknown type")
	}
}

// Writer builds one frame with a message in it.
type Writer struct{ b []byte }

// NewWriter begins a frame.
func NewWriter(name string, kind MessageType, seq int32) *Writer {
	w := &Writer{b: make([]byte, 4, 128)}
	w.appendU32(version | uint32(kind))
	w.appendString(name)
	w.appendU32(uint32(seq))
	return w
}

func (w *Writer) appendU32(v uint32) { w.b = binary.BigEndian.AppendUint32(w.b, v) }

func (w *Writer) appendString(s string) {
	w.appendU32(uint32(len(s)))
	w.b = append(w.b, s...)
}

func (w *Writer) appendField(kind byte, id int16) {
	w.b = append(w.b, kind)
	w.b = binary.BigEndian.AppendUint16(w.b, uint16(id))
}

// Struct begins a struct in a field; End ends it.
func (w *Writer) Struct(id int16) { w.appendField(typeStruct, id) }

// End ends a struct, the outermost too.
func (w *Writer) End() { w.b = append(w.b, typeStop) }

// Binary writes a field of bytes.
func (w *Writer) Binary(id int16, v []byte) {
	w.appendField(typeString, id)
	w.appendU32(uint32(len(v)))
	w.b = append(w.b, v...)
}

// Bool writes a flag.
func (w *Writer) Bool(id int16, v bool) {
	w.appendField(typeBool, id)
	if v {
		w.b = append(w.b, 1)
	} else {
		w.b = append(w.b, 0)
	}
}

// I32 writes a whole number.
func (w *Writer) I32(id int16, v int32) {
	w.appendField(typeI32, id)
	w.appendU32(uint32(v))
}

// StringMap writes a map of names and texts, given in turns.
func (w *Writer) StringMap(id int16, pairs ...string) {
	w.appendField(typeMap, id)
	w.b = append(w.b, typeString, typeString)
	w.appendU32(uint32(len(pairs) / 2))
	for _, s := range pairs[:len(pairs)/2*2] {
		w.appendString(s)
	}
}

// Frame ends the outermost struct and gives the whole frame.
func (w *Writer) Frame() []byte {
	w.End()
	binary.BigEndian.PutUint32(w.b, uint32(len(w.b)-4))
	return w.b
}

// EncodeException is the frame of an application exception.
func EncodeException(name string, seq int32, code int32, reason string) []byte {
	w := NewWriter(name, Exception, seq)
	w.Binary(1, []byte(reason))
	w.I32(2, code)
	return w.Frame()
}
