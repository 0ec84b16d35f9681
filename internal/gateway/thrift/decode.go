package thrift

import "encoding/binary"

// Limits of the decoder.
const (
	// maxDepth is the maximum nesting depth of skipped values.
	maxDepth = 16

	// maxEntries is the maximum number of fields of a struct, and of entries of a map, that is not skipped.
	maxEntries = 256
)

// Args holds the fields of a struct that have a supported type, by field ID.
type Args struct {
	StringMaps map[int16]map[string]string
	Binaries   map[int16][]byte // slices of the frame, not copies
	Ints       map[int16]int32
	Bools      map[int16]bool
}

// ReadArgs parses a struct, which must not be followed by other bytes. Fields of unsupported types are skipped.
func ReadArgs(b []byte) (Args, error) {
	r := reader{b: b}
	args := Args{map[int16]map[string]string{}, map[int16][]byte{}, map[int16]int32{}, map[int16]bool{}}
	for fields := 0; r.err == nil; fields++ {
		kind := r.u8()
		if kind == typeStop {
			break
		}
		if fields >= maxEntries {
			return args, malformedError("too many fields")
		}
		id := int16(r.u16())
		switch kind {
		case typeMap:
			args.StringMaps[id] = r.stringMap()
		case typeString:
			args.Binaries[id] = r.bytes()
		case typeI32:
			args.Ints[id] = int32(r.u32())
		case typeBool:
			args.Bools[id] = r.u8() != 0
		default:
			r.skip(kind, maxDepth)
		}
	}
	if r.err == nil && len(r.b) > 0 {
		return args, malformedError("bytes after the end")
	}
	return args, r.err
}

// reader decodes values from the beginning of a byte slice. It keeps its first error; later reads return zero values.
type reader struct {
	b   []byte
	err error
}

// take returns the next n bytes. It returns nil and sets an error if fewer are left.
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

// bytes reads a binary or a string.
func (r *reader) bytes() []byte { return r.take(int(int32(r.u32()))) }

// stringMap reads a map of strings. A map with a duplicate key is malformed, as either value may be the intended one.
func (r *reader) stringMap() map[string]string {
	keyType, valueType, n := r.u8(), r.u8(), int32(r.u32())
	if r.err == nil && (n < 0 || n > maxEntries || n > 0 && (keyType != typeString || valueType != typeString)) {
		r.err = malformedError("no map of texts")
	}
	m := map[string]string{}
	for range n {
		key := string(r.bytes())
		value := string(r.bytes())
		if r.err != nil {
			return m
		}
		if _, twice := m[key]; twice {
			r.err = malformedError("a name twice in a map")
		}
		m[key] = value
	}
	return m
}

// skip reads a value and discards it. depth is the number of further levels of nesting that are allowed.
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
	case typeMap:
		r.skipElements(depth, r.u8(), r.u8())
	case typeSet, typeList:
		r.skipElements(depth, r.u8())
	default:
		r.err = malformedError("an unknown type")
	}
}

// skipElements reads a count and discards that number of elements, each of which has one value of each given type.
func (r *reader) skipElements(depth int, kinds ...byte) {
	n := int32(r.u32())
	if n < 0 || int(n) > len(r.b) { // each value takes at least one byte
		r.err = malformedError("a count longer than its frame")
	}
	for i := int32(0); i < n && r.err == nil; i++ {
		for _, kind := range kinds {
			r.skip(kind, depth-1)
		}
	}
}
