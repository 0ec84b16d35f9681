package replay_test

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
	"lupinpond/scheduler"
)

// Renaming a Go field must not change the stored format, or recordings of earlier versions become unreadable: the
// recorded field names and numbers are checked against those of earlier versions.
func TestRecordedFieldNames(t *testing.T) {
	request := &scheduler.Request{ID: "r", Type: "t", Tenant: "n", Function: 5, TimeLeft: time.Second, Concurrency: 2,
		Memory: 3, LoadTime: 4, Retry: true}
	for _, recorded := range []struct {
		value any
		names []string
	}{
		{request, []string{"Function", "ID", "Lanes", "LoadTime", "Memory", "Patience", "Repeat", "Tenant", "Type"}},
		{scheduler.RequestType{}, []string{"Effect", "Group", "Name", "Target", "Window"}},
		{scheduler.LoadReport{}, []string{"Told", "Waiting"}},
		{scheduler.Outcome{}, []string{"Final", "Load", "Result", "Took", "Warmth", "Worker"}},
		{scheduler.Member{}, []string{"Cell", "Condition", "Kind", "Size", "Started", "Worker", "Zone"}},
		{scheduler.LoadRequest{}, []string{"Copies", "Function", "Worker"}},
	} {
		b, err := cbor.Marshal(recorded.value)
		if err != nil {
			t.Fatal(err)
		}
		var got map[string]any
		if err := cbor.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, recorded.names) {
			t.Errorf("%T is recorded as %v, want %v", recorded.value, names, recorded.names)
		}
	}
	for value, want := range map[any]int{
		core.OpUpdateMembership: 1,
		core.OpShutdownBy:       10,
		scheduler.Completed:     0,
		scheduler.NotFound:      8,
		core.Completed:          0,
		core.Abandoned:          3,
	} {
		b, err := cbor.Marshal(value)
		var got int
		if err != nil || cbor.Unmarshal(b, &got) != nil || got != want {
			t.Errorf("%T is recorded as %d, want %d", value, got, want)
		}
	}
	encodedAction, err := cbor.Marshal(replay.Action{Verb: "launch", ID: "r", Attempt: 2})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(encodedAction, &fields); err != nil || fields[1] != "launch" || fields[2] != "r" {
		t.Error(fields, err)
	}
}

// If an input or an action is missing in a recording, the error of its replay must name the first action that differs.
func TestDivergenceNamesTheAction(t *testing.T) {
	var recording bytes.Buffer
	c, recorder := replay.Start(core.Settings{Gateways: 1, SubscribeInterval: time.Second}, nil, &recording)
	c.ProcessDue(time.Second)
	if recorder.Err() != nil {
		t.Fatal(recorder.Err())
	}
	var items []cbor.RawMessage // header, input, subscribe action, timer action
	for decoder := cbor.NewDecoder(&recording); ; {
		var item cbor.RawMessage
		if err := decoder.Decode(&item); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		items = append(items, item)
	}
	if len(items) != 4 {
		t.Fatalf("got %d recorded items, want 4", len(items))
	}
	for _, c := range []struct {
		name               string
		kept               []int
		item               int
		recorded, replayed string // verbs; empty if there is no action
	}{
		{"an action is not recorded", []int{0, 1, 2}, 3, "", "wake"},
		{"an action is not replayed", []int{0, 2}, 1, "ask", ""},
		{"a different action is recorded", []int{0, 1, 3}, 2, "wake", "ask"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var changed []byte
			for _, i := range c.kept {
				changed = append(changed, items[i]...)
			}
			_, err := replay.Replay(bytes.NewReader(changed), nil)
			var divergence *replay.DivergenceError
			if !errors.As(err, &divergence) || !errors.Is(err, replay.ErrDivergence) {
				t.Fatalf("got error %v, want a DivergenceError", err)
			}
			if divergence.Item != c.item || verb(divergence.Recorded) != c.recorded || verb(divergence.Replayed) != c.replayed {
				t.Errorf("got %v, want item %d, recorded %q, replayed %q", err, c.item, c.recorded, c.replayed)
			}
		})
	}
}

// verb returns the verb of an action, or an empty string if action is nil.
func verb(action *replay.Action) string {
	if action == nil {
		return ""
	}
	return action.Verb
}
