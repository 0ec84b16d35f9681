package replay_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/replay"
	"lupinpond/scheduler"
)

// Recordings keep their form whatever the fields are called in the program: one made by an earlier version is read.
func TestRecordedFieldNames(t *testing.T) {
	request := &scheduler.Request{ID: "r", Type: "t", Tenant: "n", Function: 5, TimeLeft: time.Second, Concurrency: 2,
		Memory: 3, LoadTime: 4, Retry: true}
	for _, form := range []struct {
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
		b, err := cbor.Marshal(form.value)
		if err != nil {
			t.Fatal(err)
		}
		var got map[string]any
		if err := cbor.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, form.names) {
			t.Errorf("%T is recorded as %v, want %v", form.value, names, form.names)
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
	numbered, err := cbor.Marshal(replay.Action{Verb: "launch", ID: "r", Attempt: 2})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(numbered, &fields); err != nil || fields[1] != "launch" || fields[2] != "r" {
		t.Error(fields, err)
	}
}
