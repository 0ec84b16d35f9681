package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway/settings"
)

// absentValue is the text that marks an absent value.
const absentValue = "-"

// SyntaxError reports a line with a missing, malformed or surplus value.
type SyntaxError struct {
	Line     int
	Expected string // what was expected at the place of the error
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: expected %s", e.Line, e.Expected) }

// Line is one line of the protocol. Its methods read the values from left to right; their name argument names the value
// in errors. Finish returns the first error of any of them.
type Line struct {
	number     int // line number in the input, from 1
	values     []string
	valuesRead int // number of values read; exceeds len(values) if a value was missing
	err        error
}

// Expected records a SyntaxError that names what was expected, unless an error has been recorded before.
func (l *Line) Expected(expected string) {
	if l.err == nil {
		l.err = &SyntaxError{Line: l.number, Expected: expected}
	}
}

// Finish returns the first error, or a SyntaxError if there are values that have not been read.
func (l *Line) Finish() error {
	if l.valuesRead < len(l.values) {
		l.Expected(fmt.Sprintf("%d values after %s, got %d", l.valuesRead-1, l.values[0], len(l.values)-1))
	}
	return l.err
}

// Text reads a value, which must not be empty.
func (l *Line) Text(name string) string {
	if l.valuesRead >= len(l.values) || l.values[l.valuesRead] == "" {
		l.valuesRead++
		l.Expected(name)
		return ""
	}
	l.valuesRead++
	return l.values[l.valuesRead-1]
}

// OptionalText reads a value, or returns an empty string if the value is absent.
func (l *Line) OptionalText(name string) string {
	if text := l.Text(name); text != absentValue {
		return text
	}
	return ""
}

// Uint reads an unsigned integer.
func (l *Line) Uint(name string) uint64 { return l.parseUint(name, l.Text(name)) }

// OptionalUint reads an unsigned integer, or returns 0 if the value is absent.
func (l *Line) OptionalUint(name string) uint64 {
	text := l.Text(name)
	if text == absentValue {
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

// Float reads a finite number that is not negative.
func (l *Line) Float(name string) float64 { return l.parseFloat(name, l.Text(name)) }

// OptionalFloat reads a finite number that is not negative, or returns 0 if the value is absent.
func (l *Line) OptionalFloat(name string) float64 {
	text := l.Text(name)
	if text == absentValue {
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

// Duration reads a duration in seconds.
func (l *Line) Duration(name string) time.Duration { return settings.Seconds(l.Float(name)) }

// OptionalDuration reads a duration in seconds, or returns 0 if the value is absent.
func (l *Line) OptionalDuration(name string) time.Duration {
	return settings.Seconds(l.OptionalFloat(name))
}

// Bool reads a boolean, 0 or 1.
func (l *Line) Bool(name string) bool {
	text := l.Text(name)
	if text != "0" && text != "1" {
		l.Expected(name + " as 0 or 1, got " + strconv.Quote(text))
	}
	return text == "1"
}

// Pairs reads a value of comma-separated name:number pairs, or returns nil if the value is absent.
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

// Settings reads all remaining values as path=value pairs.
func (l *Line) Settings(name string) settings.Values {
	paths := settings.Values{}
	for _, pair := range l.remaining() {
		if pair == "" || pair == absentValue {
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

// remaining reads all remaining values.
func (l *Line) remaining() []string {
	rest := l.values[min(l.valuesRead, len(l.values)):]
	l.valuesRead = len(l.values)
	return rest
}
