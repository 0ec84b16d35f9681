package simprotocol

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Writer writes lines.
type Writer struct {
	out *bufio.Writer
}

// NewWriter writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

// Line writes a message and its values: text, whole numbers, and times in seconds.
func (w *Writer) Line(message string, values ...any) {
	var spare [32]byte
	w.out.WriteString(message)
	for _, v := range values {
		w.out.WriteByte(' ')
		switch v := v.(type) {
		case string:
			w.out.WriteString(v)
		case uint64:
			w.out.Write(strconv.AppendUint(spare[:0], v, 10))
		case int:
			w.out.Write(strconv.AppendInt(spare[:0], int64(v), 10))
		case time.Duration:
			us := (v + time.Microsecond - 1) / time.Microsecond
			w.out.Write(strconv.AppendFloat(spare[:0], float64(us)/1e6, 'f', -1, 64))
		default:
			fmt.Fprint(w.out, v)
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
