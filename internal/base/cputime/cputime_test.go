package cputime_test

import (
	"testing"
	"time"

	"lupinpond/internal/base/cputime"
)

// TestProcess checks that work adds to the processor time.
func TestProcess(t *testing.T) {
	before := cputime.Process()
	for deadline := time.Now().Add(20 * time.Second); cputime.Process() < before+20*time.Millisecond; {
		if time.Now().After(deadline) {
			t.Fatal("the processor time does not advance")
		}
	}
}
