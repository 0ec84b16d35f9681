package thrift

import "encoding/binary"

// Writer builds one frame with a message in it.
type Writer struct{ b []byte }

// Sizes of a frame.
const (
	// frameHeadBytes is the size of the length before a message.
	frameHeadBytes = 4

	// frameCapacity is the capacity that a frame is made with.
	frameCapacity = 128
)

// NewWriter begins a frame.
func NewWriter(name string, messageType MessageType, seqID int32) *Writer {
	w := &Writer{b: make([]byte, frameHeadBytes, frameCapacity)}
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

// Struct begins a struct in a field; End ends it.
func (w *Writer) Struct(id int16) { w.appendField(typeStruct, id) }

// End ends a struct.
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

// I32 writes an integer.
func (w *Writer) I32(id int16, v int32) {
	w.appendField(typeI32, id)
	w.appendU32(uint32(v))
}

// StringMap writes a map of strings, given as keys and values in turns.
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
	binary.BigEndian.PutUint32(w.b, uint32(len(w.b)-frameHeadBytes))
	return w.b
}

// EncodeException is the frame of an application exception.
func EncodeException(name string, seqID int32, code ExceptionCode, reason string) []byte {
	w := NewWriter(name, Exception, seqID)
	w.Binary(1, []byte(reason))
	w.I32(2, int32(code))
	return w.Frame()
}
