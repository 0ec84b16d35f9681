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

// A recording that an earlier version made replays without a difference, and it holds every kind of action and fact that
// is counted here.
func TestStoredRecordingReplays(t *testing.T) {
	stored, err := os.ReadFile("testdata/stored/core.cbor")
	if err != nil {
		t.Fatal(err)
	}
	verbs, ops := map[string]int{}, map[core.Op]int{}
	told, err := replay.Replay(bytes.NewReader(stored), func(fact *core.Input, action *replay.Action) {
		if fact != nil {
			ops[fact.Op]++
		}
		if action != nil {
			verbs[action.Verb]++
		}
	})
	if err != nil || told.Truncated || told.Inputs != 346 || told.Actions != 133 {
		t.Errorf("got %d facts, %d actions, torn %v, error %v; want 346, 133, false, none", told.Inputs, told.Actions, told.Truncated, err)
	}
	if want := map[string]int{"ask": 2, "dead-letter": 5, "defer": 5, "ended": 30, "handle": 18, "launch": 40, "order": 15, "wake": 18}; !maps.Equal(verbs, want) {
		t.Errorf("actions: got %v, want %v", verbs, want)
	}
	// by the numbers of the file: listed, list failed, came, outcome, left, loaded, woke, settle, end by
	if want := map[core.Op]int{1: 2, 2: 1, 3: 30, 4: 36, 5: 2, 7: 13, 8: 70, 9: 191, 10: 1}; !maps.Equal(ops, want) {
		t.Errorf("facts: got %v, want %v", ops, want)
	}
}

// A replay of the stored recording fails when any one of its actions differs from the recorded one or is missing. The
// recording is changed by the numbers of its fields, whatever they are called in the program: action is 2, launch is 3.
func TestStoredRecordingWithADifferentActionFails(t *testing.T) {
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
	replay := func(what string, i int, instead []byte) {
		t.Helper()
		var changed []byte
		for j, raw := range items {
			if j == i {
				raw = instead
			}
			changed = append(changed, raw...)
		}
		if _, err := replay.Replay(bytes.NewReader(changed), nil); !errors.Is(err, replay.ErrDivergence) {
			t.Errorf("item %d %s: got error %v, want %v", i, what, err, replay.ErrDivergence)
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
		replay("changed", i+1, changed)
		replay("left out", i+1, nil)
	}
	if actions != 133 {
		t.Errorf("got %d actions, want 133", actions)
	}
}
