// Package simprotocol reads and writes the lines of the simulator's wire. It knows how values are spelled,
// not what they mean.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway/settings"
)

// Reader reads lines and counts them, so that a complaint can name the place.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// Next reads the next line that is not empty; io.EOF ends the input.
func (r *Reader) Next() (*Line, error) {
	for {
		text, err := r.in.ReadString('\n')
		if text != "" {
			r.line++
			text = strings.TrimRight(text, "\r\n")
		}
		if text != "" {
			if err != nil && !errors.Is(err, io.EOF) {
				return nil, fmt.Errorf("line %d: %w", r.line, err)
			}
			return &Line{number: r.line, parts: strings.Split(text, " ")}, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
	}
}

// UnexpectedEnd complains that the input ended too early.
func (r *Reader) UnexpectedEnd(expected string) error {
	return fmt.Errorf("line %d: input ended, expected %s", r.line+1, expected)
}

// Line is one message; its values are taken from left to right. The first complaint sticks.
type Line struct {
	number int
	parts  []string
	taken  int
	err    error
}

// Expected records that something else was expected.
func (l *Line) Expected(expected string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: expected %s", l.number, expected)
	}
}

// Finish returns the first complaint, or one about values left over.
func (l *Line) Finish() error {
	if l.taken < len(l.parts) {
		l.Expected(fmt.Sprintf("%d values after %s, got %d", l.taken-1, l.parts[0], len(l.parts)-1))
	}
	return l.err
}

// Text takes a value that must be there.
func (l *Line) Text(name string) string {
	if l.taken >= len(l.parts) || l.parts[l.taken] == "" {
		l.taken++
		l.Expected(name)
		return ""
	}
	l.taken++
	return l.parts[l.taken-1]
}

// OptionalText takes a value that may be absent; an absent one is empty.
func (l *Line) OptionalText(name string) string {
	if w := l.Text(name); w != "-" {
		return w
	}
	return ""
}

// Rest takes all values that are left.
func (l *Line) Rest() []string {
	rest := l.parts[min(l.taken, len(l.parts)):]
	l.taken = len(l.parts)
	return rest
}

// Uint takes a whole number; an absent one is 0 where that is allowed.
func (l *Line) Uint(name string, absent bool) uint64 {
	w := l.Text(name)
	if w == "-" && absent {
		return 0
	}
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		l.Expected(name + " as a whole number, got " + strconv.Quote(w))
	}
	return n
}

// Float takes a number of at least 0; an absent one is 0 where that is allowed.
func (l *Line) Float(name string, absent bool) float64 {
	w := l.Text(name)
	if w == "-" && absent {
		return 0
	}
	n, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		l.Expected(name + " as a number, got " + strconv.Quote(w))
		return 0
	}
	return n
}

// Duration takes a time in seconds.
func (l *Line) Duration(name string, absent bool) time.Duration {
	return settings.Seconds(l.Float(name, absent))
}

// Bool takes a truth value.
func (l *Line) Bool(name string) bool {
	w := l.Text(name)
	if w != "0" && w != "1" {
		l.Expected(name + " as 0 or 1, got " + strconv.Quote(w))
	}
	return w == "1"
}

// Pairs takes one value of name:value pairs set apart by commas; an absent one has none.
func (l *Line) Pairs(name string) map[string]float64 {
	w := l.OptionalText(name)
	if w == "" {
		return nil
	}
	pairs := map[string]float64{}
	for part := range strings.SplitSeq(w, ",") {
		key, value, found := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil {
			l.Expected(name + " as name:number pairs, got " + strconv.Quote(part))
			return nil
		}
		pairs[key] = n
	}
	return pairs
}

// Settings takes all values that are left as path=value pairs.
func (l *Line) Settings(name string) settings.Values {
	paths := settings.Values{}
	for _, part := range l.Rest() {
		key, value, found := strings.Cut(part, "=")
		if part == "" || part == "-" {
			continue
		}
		if !found {
			l.Expected(name + " as path=value pairs, got " + strconv.Quote(part))
		}
		paths[key] = value
	}
	return paths
}
