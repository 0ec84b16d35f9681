// Package simprotocol reads and writes the lines of the simulator's protocol. It implements the syntax of values only;
// package simadapter interprets them.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// readBufferSize is the size of a Reader's buffer in bytes. Longer lines are read in several steps.
const readBufferSize = 1 << 20

// Reader reads lines and counts them, so that errors can name the line.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize)}
}

// Next returns the next line that is not empty. At the end of the input it returns io.EOF.
func (r *Reader) Next() (*Line, error) {
	for {
		text, err := r.in.ReadString('\n')
		if text != "" {
			r.line++
			text = strings.TrimRight(text, "\r\n")
		}
		switch {
		case text != "" && (err == nil || errors.Is(err, io.EOF)):
			return &Line{number: r.line, values: strings.Split(text, " ")}, nil
		case text != "":
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		case errors.Is(err, io.EOF):
			return nil, io.EOF
		case err != nil:
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
	}
}

// UnexpectedEnd returns an error that says that the input ended where the expected line should follow.
func (r *Reader) UnexpectedEnd(expected string) error {
	return fmt.Errorf("line %d: input ended, expected %s", r.line+1, expected)
}
