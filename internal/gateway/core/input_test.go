package core_test

import (
	"errors"
	"testing"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Apply must reject an input that a core cannot have recorded with an InvalidInputError that names the operation and
// its time, and must not change the core.
func TestApplyInvalidInput(t *testing.T) {
	for _, c := range []struct {
		name  string
		input core.Input
	}{
		{"negative time", core.Input{Op: core.OpProcessDue, Now: -1}},
		{"submission without a request", core.Input{Op: core.OpSubmit, Now: 1}},
		{"unknown operation", core.Input{Op: core.OpSetWatchLease + 1, Now: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			subject := core.New(testSettings(), newRecordingActor(false))
			var invalid *core.InvalidInputError
			if err := subject.Apply(c.input); !errors.As(err, &invalid) {
				t.Fatalf("got error %v, want an InvalidInputError", err)
			}
			if invalid.Op != c.input.Op || invalid.Now != c.input.Now || subject.OpenRequests() != 0 {
				t.Errorf("got error %+v and %d open requests, want the operation and time of the input and 0",
					invalid, subject.OpenRequests())
			}
		})
	}
}

// A recorded submission with the ID of an open request must fail with ErrDuplicate, as a direct one does.
func TestApplyDuplicate(t *testing.T) {
	subject := core.New(testSettings(), newRecordingActor(false))
	input := core.Input{Op: core.OpSubmit, Now: 1, Request: &scheduler.Request{ID: "e", TimeLeft: 1}}
	if err := subject.Apply(input); err != nil {
		t.Fatal(err)
	}
	if err := subject.Apply(input); !errors.Is(err, core.ErrDuplicate) {
		t.Errorf("got error %v, want %v", err, core.ErrDuplicate)
	}
}
