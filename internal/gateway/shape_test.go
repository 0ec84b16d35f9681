package gateway_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/replay"
	"lupinpond/internal/testbed/localfleet"
)

// One build serves a deployment whose workers answer a miss, report no waiting events and are told by kind and zone, by
// its settings alone; the load reports and the list reach the module as those settings say.
func TestRecordingOfAnotherShape(t *testing.T) {
	r := startHarness(t, func(f *fleetconfig.File) {
		localfleet.AlternateDeployment(f, "z")
		f.Fleet.Workers.Kinds = []fleetconfig.WorkerKind{{Name: "box", Memory: 1 << 30}}
		f.Gateway.RegistryURL = "http://127.0.0.1:1"
		b, err := yaml.Marshal(*f)
		if err == nil {
			_, err = fleetconfig.Parse("other.yaml", b)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
	for _, id := range []string{"1", "2", "3"} { // the first brings a load order, whose copy the others find
		r.wantResponse("preview", id, 3*time.Second, 200, " released")
	}
	r.waitFor("an order", func() bool { return r.gateway.Counts(context.Background()).LoadRequests > 0 })
	if n := r.executions("pay-preview"); n != 3 {
		t.Errorf("%d runs, want 3", n)
	}
	r.drain()
	<-r.done
	facts := readRecording(t, &r.record)
	listed, came := false, false
	for _, e := range facts {
		for _, l := range e.Members {
			listed = listed || l.Kind == "box" && l.Weight == 4
		}
		came = came || e.Op == core.OpSubmit && e.Request.Memory == float64(128<<20)
		if e.Outcome.Report.Reported {
			t.Errorf("a report was told: %+v", e)
		}
	}
	if !listed || !came {
		t.Errorf("the module heard of kind and size %v, of a copy's memory %v", listed, came)
	}
}

// The shape that was there before stays as it was: its reports tell waiting events, its list no size.
func TestRecordingOfFormerShape(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released")
	r.drain()
	<-r.done
	told := false
	for _, e := range readRecording(t, &r.record) {
		for _, l := range e.Members {
			if l.Weight != 0 {
				t.Errorf("a size was told: %+v", l)
			}
		}
		told = told || e.Outcome.Report.Reported
	}
	if !told {
		t.Error("no report")
	}
}

// readRecording are the facts of a recording, which a replay repeats to the last action.
func readRecording(t *testing.T, record *bytes.Buffer) (facts []core.Input) {
	t.Helper()
	_, err := replay.Replay(bytes.NewReader(record.Bytes()), func(e *core.Input, _ *replay.Action) {
		if e != nil {
			facts = append(facts, *e)
		}
	})
	if err != nil {
		t.Error(err)
	}
	return facts
}
