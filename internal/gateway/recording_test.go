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

// Settings alone must adapt a gateway to a deployment whose workers return requests for functions that are not loaded,
// do not report a queue depth and are listed with kind and zone. The scheduler must get load reports and the endpoint
// list in the form that the settings describe.
func TestRecordingOfAlternateDeployment(t *testing.T) {
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
	for _, id := range []string{"1", "2", "3"} { // the first causes a load request, the others use the loaded replica
		r.wantResponse("preview", id, 3*time.Second, 200, " released")
	}
	r.waitFor("a load request", func() bool { return r.gateway.Counts(context.Background()).LoadRequests > 0 })
	if n := r.executions("pay-preview"); n != 3 {
		t.Errorf("%d executions, want 3", n)
	}
	r.drain()
	<-r.done
	inputs := readRecording(t, &r.recording)
	listed, submitted := false, false
	for _, input := range inputs {
		for _, member := range input.Members {
			listed = listed || member.Kind == "box" && member.Weight == 4
		}
		submitted = submitted || input.Op == core.OpSubmit && input.Request.Memory == float64(128<<20)
		if input.Outcome.Report.Reported {
			t.Errorf("a load report reached the scheduler: %+v", input)
		}
	}
	if !listed || !submitted {
		t.Errorf("the scheduler received kind and size: %v, memory of a replica: %v; want both", listed, submitted)
	}
}

// With the default settings the scheduler must get load reports with a queue depth and an endpoint list without sizes.
func TestRecordingOfDefaultDeployment(t *testing.T) {
	r := startHarness(t, nil)
	r.wantResponse("preview", "1", 2*time.Second, 200, " released")
	r.drain()
	<-r.done
	reported := false
	for _, input := range readRecording(t, &r.recording) {
		for _, member := range input.Members {
			if member.Weight != 0 {
				t.Errorf("a size reached the scheduler: %+v", member)
			}
		}
		reported = reported || input.Outcome.Report.Reported
	}
	if !reported {
		t.Error("no load report reached the scheduler")
	}
}

// readRecording replays a recording, which must reproduce all of its actions, and returns its inputs.
func readRecording(t *testing.T, recording *bytes.Buffer) (inputs []core.Input) {
	t.Helper()
	_, err := replay.Replay(bytes.NewReader(recording.Bytes()), func(input *core.Input, _ *replay.Action) {
		if input != nil {
			inputs = append(inputs, *input)
		}
	})
	if err != nil {
		t.Error(err)
	}
	return inputs
}
