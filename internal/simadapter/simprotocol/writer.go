package simprotocol

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"
)

// writeBufferSize is the size of a Writer's buffer in bytes.
const writeBufferSize = 1 << 16

// Writer writes lines to a buffer. Flush sends them and returns any write error.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, writeBufferSize)} }

// Line writes a line: the message and its values, which are text, integers or durations. Durations are written in
// seconds, rounded up to microseconds. Write errors are returned by Flush.
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

// Flush writes out the buffered lines. It returns the first error of any write so far.
func (w *Writer) Flush() error {
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
