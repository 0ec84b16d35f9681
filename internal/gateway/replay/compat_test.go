package replay_test

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
)

// Changes of the program must not make recordings of earlier versions unreadable: the stored recording, made by an
// earlier version, must replay without a difference and contain the expected number of each action and operation.
func TestStoredRecordingReplays(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/core.cbor")
	if err != nil {
		t.Fatal(err)
	}
	verbs, ops := map[string]int{}, map[core.Op]int{}
	summary, err := replay.Replay(bytes.NewReader(stored), func(input *core.Input, action *replay.Action) {
		if input != nil {
			ops[input.Op]++
		}
		if action != nil {
			verbs[action.Verb]++
		}
	})
	if err != nil || summary.Truncated || summary.Inputs != 346 || summary.Actions != 133 {
		t.Errorf("got %d inputs, %d actions, truncated %v, error %v; want 346, 133, false, none",
			summary.Inputs, summary.Actions, summary.Truncated, err)
	}
	if want := map[string]int{"ask": 2, "dead-letter": 5, "defer": 5, "ended": 30, "handle": 18, "launch": 40,
		"order": 15, "wake": 18}; !maps.Equal(verbs, want) {
		t.Errorf("actions: got %v, want %v", verbs, want)
	}
	// Op numbers as stored: UpdateMembership, WatchFailed, Submit, CompleteAttempt, ClientDisconnected, LoadCompleted,
	// TimerFired, ProcessDue, ShutdownBy.
	if want := map[core.Op]int{1: 2, 2: 1, 3: 30, 4: 36, 5: 2, 7: 13, 8: 70, 9: 191, 10: 1}; !maps.Equal(ops, want) {
		t.Errorf("operations: got %v, want %v", ops, want)
	}
}

// A replay that overlooked a different or missing action would hide a change of behaviour: changing or removing any
// action of the stored recording must make its replay diverge. The test edits the recording by its stored field
// numbers, so that it does not depend on Go names: field 2 of an item is its action, field 3 of an action the attempt.
func TestChangedStoredRecordingDiverges(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/core.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var items []cbor.RawMessage
	for dec := cbor.NewDecoder(bytes.NewReader(stored)); ; {
		var raw cbor.RawMessage
		if err := dec.Decode(&raw); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		items = append(items, raw)
	}
	expectDivergence := func(change string, replacedIndex int, replacement []byte) {
		t.Helper()
		var changed []byte
		for j, raw := range items {
			if j == replacedIndex {
				raw = replacement
			}
			changed = append(changed, raw...)
		}
		if _, err := replay.Replay(bytes.NewReader(changed), nil); !errors.Is(err, replay.ErrDivergence) {
			t.Errorf("item %d %s: got error %v, want %v", replacedIndex, change, err, replay.ErrDivergence)
		}
	}
	actions := 0
	for i, raw := range items[1:] { // after the header
		var fields map[int]cbor.RawMessage
		if err := cbor.Unmarshal(raw, &fields); err != nil {
			t.Fatal(err)
		}
		if fields[2] == nil {
			continue
		}
		actions++
		var action map[int]any
		if err := cbor.Unmarshal(fields[2], &action); err != nil {
			t.Fatal(err)
		}
		action[3] = 99
		changed, err := cbor.Marshal(map[int]any{2: action})
		if err != nil {
			t.Fatal(err)
		}
		expectDivergence("changed", i+1, changed)
		expectDivergence("left out", i+1, nil)
	}
	if actions != 133 {
		t.Errorf("got %d actions, want 133", actions)
	}
}
