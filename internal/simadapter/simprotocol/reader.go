// Package simprotocol reads and writes the lines of the simulator's protocol. It knows how values are spelled, not
// what they mean.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// readBuffer is the size of a Reader's buffer, in bytes; longer lines are read in pieces.
const readBuffer = 1 << 20

// Reader reads lines and counts them, so that errors name the place.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader makes a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBuffer)}
}

// Next reads the next line that is not empty; io.EOF ends the input.
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

// UnexpectedEnd is the error of an input that ended too early.
func (r *Reader) UnexpectedEnd(expected string) error {
	return fmt.Errorf("line %d: input ended, expected %s", r.line+1, expected)
}
