package main

import (
	"testing"
	"time"

	"github.com/alecthomas/kong"
)

// The name that a flag had in earlier versions must still work.
func TestFormerFlagNames(t *testing.T) {
	for _, name := range []string{"--watch-delay", "--late"} {
		t.Run(name, func(t *testing.T) {
			var f flags
			parser, err := kong.New(&f)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := parser.Parse([]string{name, "2s"}); err != nil {
				t.Fatal(err)
			}
			if f.WatchDelay != 2*time.Second {
				t.Errorf("got %v, want 2s", f.WatchDelay)
			}
		})
	}
}
