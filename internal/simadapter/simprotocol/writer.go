package simprotocol

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"
)

// writeBuffer is the size of a Writer's buffer, in bytes.
const writeBuffer = 1 << 16

// Writer writes lines.
type Writer struct {
	out *bufio.Writer
}

// NewWriter makes a Writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, writeBuffer)} }

// Line writes a message and its values: text, whole numbers, and times in seconds, rounded up to microseconds. Flush
// returns its errors.
func (w *Writer) Line(message string, values ...any) {
	var buffer [32]byte
	w.out.WriteString(message)
	for _, value := range values {
		w.out.WriteByte(' ')
		switch value := value.(type) {
		case string:
			w.out.WriteString(value)
		case uint64:
			w.out.Write(strconv.AppendUint(buffer[:0], value, 10))
		case int:
			w.out.Write(strconv.AppendInt(buffer[:0], int64(value), 10))
		case time.Duration:
			microseconds := (value + time.Microsecond - 1) / time.Microsecond
			w.out.Write(strconv.AppendFloat(buffer[:0], float64(microseconds)/1e6, 'f', -1, 64))
		default:
			fmt.Fprint(w.out, value)
		}
	}
	w.out.WriteByte('\n')
}

// Flush ends a reply; it returns the first error of all that was written.
func (w *Writer) Flush() error {
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
