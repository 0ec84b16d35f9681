package thrift

import "encoding/binary"

// Writer encodes one message as a frame.
type Writer struct{ b []byte }

// Sizes of a frame.
const (
	// frameHeaderBytes is the size of the length field before a message.
	frameHeaderBytes = 4

	// frameCapacity is the initial capacity of a frame's buffer.
	frameCapacity = 128
)

// NewWriter returns a Writer that has written the header of a message.
func NewWriter(name string, messageType MessageType, seqID int32) *Writer {
	w := &Writer{b: make([]byte, frameHeaderBytes, frameCapacity)}
	w.appendU32(version | uint32(messageType))
	w.appendString(name)
	w.appendU32(uint32(seqID))
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

// Struct begins a field of a struct type. End ends the struct.
func (w *Writer) Struct(id int16) { w.appendField(typeStruct, id) }

// End ends the innermost open struct.
func (w *Writer) End() { w.b = append(w.b, typeStop) }

// Binary writes a field of type binary.
func (w *Writer) Binary(id int16, v []byte) {
	w.appendField(typeString, id)
	w.appendU32(uint32(len(v)))
	w.b = append(w.b, v...)
}

// Bool writes a field of type bool.
func (w *Writer) Bool(id int16, v bool) {
	w.appendField(typeBool, id)
	if v {
		w.b = append(w.b, 1)
	} else {
		w.b = append(w.b, 0)
	}
}

// I32 writes a field of type i32.
func (w *Writer) I32(id int16, v int32) {
	w.appendField(typeI32, id)
	w.appendU32(uint32(v))
}

// StringMap writes a field that is a map of strings. Its pairs are alternating keys and values.
func (w *Writer) StringMap(id int16, pairs ...string) {
	w.appendField(typeMap, id)
	w.b = append(w.b, typeString, typeString)
	w.appendU32(uint32(len(pairs) / 2))
	for _, s := range pairs[:len(pairs)/2*2] {
		w.appendString(s)
	}
}

// Frame ends the outermost struct and returns the complete frame.
func (w *Writer) Frame() []byte {
	w.End()
	binary.BigEndian.PutUint32(w.b, uint32(len(w.b)-frameHeaderBytes))
	return w.b
}

// EncodeException returns the frame of an application exception.
func EncodeException(name string, seqID int32, code ExceptionCode, reason string) []byte {
	w := NewWriter(name, Exception, seqID)
	w.Binary(1, []byte(reason))
	w.I32(2, int32(code))
	return w.Frame()
}
