package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration with its unit, such as 1.5s.
type Duration time.Duration

// UnmarshalYAML takes a text such as 250ms; a bare number has no unit and is refused.
func (t *Duration) UnmarshalYAML(node ast.Node) error {
	text := scalarText(node)
	d, err := time.ParseDuration(text)
	if err != nil {
		return valueError(node, "%q is no time with a unit, such as 250ms or 1.5s", text)
	}
	if d < 0 {
		return valueError(node, "%q: a time is at least 0", text)
	}
	*t = Duration(d)
	return nil
}

// MarshalYAML spells the time with its unit.
func (t Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(t).String()), nil }

// Std is the time as a Duration.
func (t Duration) Std() time.Duration { return time.Duration(t) }

// ByteSize is a number of bytes with its unit, such as 384MiB.
type ByteSize int64

// UnmarshalYAML takes a text such as 16KiB.
func (s *ByteSize) UnmarshalYAML(node ast.Node) error {
	text := scalarText(node)
	for i, unit := range []string{"GiB", "MiB", "KiB", "B"} {
		number, found := strings.CutSuffix(text, unit)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		shift := []int{30, 20, 10, 0}[i]
		if err != nil || n < 0 || n > math.MaxInt64>>shift {
			break
		}
		*s = ByteSize(n << shift)
		return nil
	}
	return valueError(node, "%q is no size with a unit, such as 16KiB or 384MiB", text)
}

// MarshalYAML spells the size in bytes.
func (s ByteSize) MarshalYAML() ([]byte, error) { return fmt.Appendf(nil, "%dB", int64(s)), nil }

func scalarText(node ast.Node) string { return strings.Trim(strings.TrimSpace(node.String()), `"'`) }

// valueError is a mistake in one value; Strict adds the file.
func valueError(node ast.Node, format string, args ...any) error {
	e := &Error{Line: 1, Column: 1, Reason: fmt.Sprintf(format, args...)}
	if t := node.GetToken(); t != nil {
		e.Line, e.Column = t.Position.Line, t.Position.Column
	}
	return e
}
