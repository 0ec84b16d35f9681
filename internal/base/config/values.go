package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Time is a duration with its unit, such as 1.5s.
type Time time.Duration

// UnmarshalYAML takes a text such as 250ms; a bare number has no unit and is refused.
func (t *Time) UnmarshalYAML(node ast.Node) error {
	text := scalar(node)
	d, err := time.ParseDuration(text)
	if err != nil {
		return misread(node, "%q is no time with a unit, such as 250ms or 1.5s", text)
	}
	if d < 0 {
		return misread(node, "%q: a time is at least 0", text)
	}
	*t = Time(d)
	return nil
}

// MarshalYAML spells the time with its unit.
func (t Time) MarshalYAML() ([]byte, error) { return []byte(time.Duration(t).String()), nil }

// D is the time as a Duration.
func (t Time) D() time.Duration { return time.Duration(t) }

// Size is a number of bytes with its unit, such as 384MiB.
type Size int64

// UnmarshalYAML takes a text such as 16KiB.
func (s *Size) UnmarshalYAML(node ast.Node) error {
	text := scalar(node)
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
		*s = Size(n << shift)
		return nil
	}
	return misread(node, "%q is no size with a unit, such as 16KiB or 384MiB", text)
}

// MarshalYAML spells the size in bytes.
func (s Size) MarshalYAML() ([]byte, error) { return fmt.Appendf(nil, "%dB", int64(s)), nil }

func scalar(node ast.Node) string { return strings.Trim(strings.TrimSpace(node.String()), `"'`) }

// misread is a mistake in one value; Strict adds the file.
func misread(node ast.Node, format string, args ...any) error {
	e := &Error{Line: 1, Column: 1, Reason: fmt.Sprintf(format, args...)}
	if t := node.GetToken(); t != nil {
		e.Line, e.Column = t.Position.Line, t.Position.Column
	}
	return e
}
