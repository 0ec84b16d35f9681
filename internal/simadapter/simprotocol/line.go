package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway/settings"
)

// absent stands for a value that is not there.
const absent = "-"

// SyntaxError is a line that is not what it should be.
type SyntaxError struct {
	Line     int
	Expected string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: expected %s", e.Line, e.Expected) }

// Line is one message; its values are taken from left to right. The first error sticks.
type Line struct {
	number int
	values []string
	taken  int
	err    error
}

// Expected records that something else was expected than what has been taken.
func (l *Line) Expected(expected string) {
	if l.err == nil {
		l.err = &SyntaxError{Line: l.number, Expected: expected}
	}
}

// Finish returns the first error, or one about values left over.
func (l *Line) Finish() error {
	if l.taken < len(l.values) {
		l.Expected(fmt.Sprintf("%d values after %s, got %d", l.taken-1, l.values[0], len(l.values)-1))
	}
	return l.err
}

// Text takes a value that must be there.
func (l *Line) Text(name string) string {
	if l.taken >= len(l.values) || l.values[l.taken] == "" {
		l.taken++
		l.Expected(name)
		return ""
	}
	l.taken++
	return l.values[l.taken-1]
}

// OptionalText takes a value that may be absent, and is empty then.
func (l *Line) OptionalText(name string) string {
	if text := l.Text(name); text != absent {
		return text
	}
	return ""
}

// Uint takes a whole number.
func (l *Line) Uint(name string) uint64 { return l.parseUint(name, l.Text(name)) }

// OptionalUint takes a whole number that may be absent, and is 0 then.
func (l *Line) OptionalUint(name string) uint64 {
	text := l.Text(name)
	if text == absent {
		return 0
	}
	return l.parseUint(name, text)
}

func (l *Line) parseUint(name, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		l.Expected(name + " as a whole number, got " + strconv.Quote(text))
	}
	return n
}

// Float takes a number of at least 0.
func (l *Line) Float(name string) float64 { return l.parseFloat(name, l.Text(name)) }

// OptionalFloat takes a number of at least 0 that may be absent, and is 0 then.
func (l *Line) OptionalFloat(name string) float64 {
	text := l.Text(name)
	if text == absent {
		return 0
	}
	return l.parseFloat(name, text)
}

func (l *Line) parseFloat(name, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		l.Expected(name + " as a number, got " + strconv.Quote(text))
		return 0
	}
	return n
}

// Duration takes a time in seconds.
func (l *Line) Duration(name string) time.Duration { return settings.Seconds(l.Float(name)) }

// OptionalDuration takes a time in seconds that may be absent, and is 0 then.
func (l *Line) OptionalDuration(name string) time.Duration {
	return settings.Seconds(l.OptionalFloat(name))
}

// Bool takes a truth value.
func (l *Line) Bool(name string) bool {
	text := l.Text(name)
	if text != "0" && text != "1" {
		l.Expected(name + " as 0 or 1, got " + strconv.Quote(text))
	}
	return text == "1"
}

// Pairs takes one value of name:number pairs separated by commas; an absent one has none.
func (l *Line) Pairs(name string) map[string]float64 {
	text := l.OptionalText(name)
	if text == "" {
		return nil
	}
	pairs := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		key, value, found := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil {
			l.Expected(name + " as name:number pairs, got " + strconv.Quote(pair))
			return nil
		}
		pairs[key] = n
	}
	return pairs
}

// Settings takes all values that are left as path=value pairs.
func (l *Line) Settings(name string) settings.Values {
	paths := settings.Values{}
	for _, pair := range l.rest() {
		if pair == "" || pair == absent {
			continue
		}
		path, value, found := strings.Cut(pair, "=")
		if !found {
			l.Expected(name + " as path=value pairs, got " + strconv.Quote(pair))
		}
		paths[path] = value
	}
	return paths
}

// rest takes all values that are left.
func (l *Line) rest() []string {
	rest := l.values[min(l.taken, len(l.values)):]
	l.taken = len(l.values)
	return rest
}
