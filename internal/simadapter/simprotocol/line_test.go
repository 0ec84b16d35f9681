package simprotocol_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/simadapter/simprotocol"
)

// A malformed, missing or surplus value must give an error that names the line and the value, and must not be read as
// another value.
func TestLineValues(t *testing.T) {
	for _, c := range []struct {
		name, line string
		read       func(*simprotocol.Line) any
		want       any
		expected   string // SyntaxError.Expected; empty if no error is expected
	}{
		{"text", "w", func(l *simprotocol.Line) any { return l.Text("worker") }, "w", ""},
		{"missing text", "w ", func(l *simprotocol.Line) any { return l.Text("worker") + l.Text("zone") }, "w", "zone"},
		{"absent text", "-", func(l *simprotocol.Line) any { return l.OptionalText("zone") }, "", ""},
		{"uint", "7", func(l *simprotocol.Line) any { return l.Uint("seed") }, uint64(7), ""},
		{"absent uint", "-", func(l *simprotocol.Line) any { return l.OptionalUint("seed") }, uint64(0), ""},
		{"required uint absent", "-", func(l *simprotocol.Line) any { return l.Uint("seed") }, uint64(0),
			`seed as a whole number, got "-"`},
		{"float", "2.5", func(l *simprotocol.Line) any { return l.Float("cost") }, 2.5, ""},
		{"absent float", "-", func(l *simprotocol.Line) any { return l.OptionalFloat("cost") }, 0.0, ""},
		{"negative float", "-1", func(l *simprotocol.Line) any { return l.OptionalFloat("cost") }, 0.0,
			`cost as a number, got "-1"`},
		{"duration", "0.25", func(l *simprotocol.Line) any { return l.Duration("time") }, 250 * time.Millisecond, ""},
		{"absent duration", "-", func(l *simprotocol.Line) any { return l.OptionalDuration("time") }, time.Duration(0), ""},
		{"bool", "1", func(l *simprotocol.Line) any { return l.Bool("finished") }, true, ""},
		{"invalid bool", "yes", func(l *simprotocol.Line) any { return l.Bool("finished") }, false,
			`finished as 0 or 1, got "yes"`},
		{"pairs", "a:1,b:2.5", func(l *simprotocol.Line) any { return l.Pairs("report") },
			map[string]float64{"a": 1, "b": 2.5}, ""},
		{"invalid pairs", "a", func(l *simprotocol.Line) any { return l.Pairs("report") }, map[string]float64(nil),
			`report as name:number pairs, got "a"`},
		{"surplus value", "7 8", func(l *simprotocol.Line) any { return l.Uint("seed") }, uint64(7),
			"0 values after 7, got 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			line, err := simprotocol.NewReader(strings.NewReader("\n" + c.line + "\n")).Next()
			if err != nil {
				t.Fatal(err)
			}
			if got := c.read(line); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
			var syntax *simprotocol.SyntaxError
			switch err := line.Finish(); {
			case c.expected == "":
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
			case !errors.As(err, &syntax) || syntax.Line != 2 || syntax.Expected != c.expected:
				t.Errorf("got error %v, want line 2: expected %s", err, c.expected)
			}
		})
	}
}
