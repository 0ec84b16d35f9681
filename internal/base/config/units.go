package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration that is written with a unit in YAML, such as 1.5s.
type Duration time.Duration

// UnmarshalYAML decodes a duration such as 250ms. A number without a unit and a negative duration are errors.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := scalarText(node)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return valueError(node, "%q is no time with a unit, such as 250ms or 1.5s", text)
	}
	if parsed < 0 {
		return valueError(node, "%q: a time is at least 0", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML encodes the duration with a unit.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// ByteSize is a number of bytes that is written with a unit in YAML, such as 384MiB.
type ByteSize int64

// UnmarshalYAML decodes a size such as 16KiB. A number without a unit and a negative size are errors.
func (s *ByteSize) UnmarshalYAML(node ast.Node) error {
	text := scalarText(node)
	for _, unit := range []struct {
		name  string
		shift int
	}{{"GiB", 30}, {"MiB", 20}, {"KiB", 10}, {"B", 0}} {
		number, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64>>unit.shift {
			break
		}
		*s = ByteSize(n << unit.shift)
		return nil
	}
	return valueError(node, "%q is no size with a unit, such as 16KiB or 384MiB", text)
}

// MarshalYAML encodes the size in bytes.
func (s ByteSize) MarshalYAML() ([]byte, error) { return fmt.Appendf(nil, "%dB", int64(s)), nil }

// scalarText returns the text of a scalar node without quotes.
func scalarText(node ast.Node) string { return strings.Trim(strings.TrimSpace(node.String()), `"'`) }

// valueError returns an *Error at the position of a node. DecodeStrict adds the file name.
func valueError(node ast.Node, format string, args ...any) error {
	err := &Error{Line: 1, Column: 1, Reason: fmt.Sprintf(format, args...)}
	if token := node.GetToken(); token != nil {
		err.Line, err.Column = token.Position.Line, token.Position.Column
	}
	return err
}
