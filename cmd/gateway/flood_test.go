package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lupinpond/internal/testbed/flood"
)

const (
	// minServedShare is the share of what is served without a flood that must be served during one.
	minServedShare = 0.97

	// maxBadClientWait is the time within which a bad client must get a refusal, an error or the end of its connection.
	maxBadClientWait = 3 * time.Second
)

// buildGateway builds the gateway and returns the path of the program.
func buildGateway(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gateway")
	command := exec.CommandContext(t.Context(), "go", "build", "-o", program, "lupinpond/cmd/gateway")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// playFlood plays a scenario with the usual phases and logs its outcome.
func playFlood(t *testing.T, scenario flood.Scenario) flood.Outcome {
	t.Helper()
	scenario.Dir = t.TempDir()
	scenario.Sockets = 1024
	scenario.Before, scenario.Length, scenario.After = 1500*time.Millisecond, 4*time.Second, 1500*time.Millisecond
	outcome, err := flood.Play(scenario)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(outcome)
	return outcome
}

// checkFlood checks that the usual clients got their answers in time and nearly as without the flood, and that the
// gateway stayed within its memory limit.
func checkFlood(t *testing.T, scenario flood.Scenario, outcome flood.Outcome) {
	t.Helper()
	for phase, result := range map[string]flood.Result{"before": outcome.Before, "during": outcome.During,
		"after": outcome.After} {
		if result.Late > 0 || result.Closed > 0 {
			t.Errorf("%s the flood: %d late answers, %d requests without an answer on closed connections", phase, result.Late,
				result.Closed)
		}
		if result.ServedShare() < minServedShare*outcome.Before.ServedShare() {
			t.Errorf("%s the flood: served %.3f, before it %.3f", phase, result.ServedShare(), outcome.Before.ServedShare())
		}
	}
	if limit := int64(scenario.MemoryMB) << 20; outcome.PeakMemory > limit {
		t.Errorf("peak memory %d bytes, the limit is %d", outcome.PeakMemory, limit)
	}
	if outcome.Alive > maxBadClientWait {
		t.Errorf("a health check was answered after %v", outcome.Alive)
	}
}

// TestUsualClientsServedInFlood guards against late answers, refused usual clients and growing memory while a few
// clients send small or unsound messages at full speed.
func TestUsualClientsServedInFlood(t *testing.T) {
	program := buildGateway(t)
	for i, kind := range flood.FastKinds() {
		t.Run(string(kind), func(t *testing.T) {
			scenario := flood.Scenario{Program: program, Kind: kind, Connections: 8, Cores: 0.4, MemoryMB: 32, Seed: uint64(i)}
			checkFlood(t, scenario, playFlood(t, scenario))
		})
	}
}

// TestUsualClientsServedBesideManyConnections guards against memory over its limit, and against late answers and refused
// usual clients, while hundreds of connections write slowly, stop half way, send requests with very many fields, do not
// read their answers, or are closed with much unread.
func TestUsualClientsServedBesideManyConnections(t *testing.T) {
	program := buildGateway(t)
	for i, test := range []struct {
		kind        flood.Kind
		connections int
		statedCores float64
	}{
		{flood.MixedConnection, 480, 0},
		{flood.SlowWriters, 480, 0},
		{flood.ClosedWithData, 100, 0},
		{flood.Cancelled, 8, 1},
	} {
		t.Run(string(test.kind), func(t *testing.T) {
			scenario := flood.Scenario{Program: program, Kind: test.kind, Connections: test.connections, Cores: 0.4,
				StatedCores: test.statedCores, MemoryMB: 32, Seed: uint64(i)}
			checkFlood(t, scenario, playFlood(t, scenario))
		})
	}
}

// TestRepeatedIDRunsOnce guards against a second effect of an at-most-once request whose ID is sent again and again.
func TestRepeatedIDRunsOnce(t *testing.T) {
	scenario := flood.Scenario{Program: buildGateway(t), Kind: flood.RepeatedID, Connections: 1, Effect: "side_effect",
		Function: "0000000000000001", Cores: 0.4, MemoryMB: 64}
	outcome := playFlood(t, scenario)
	if outcome.RanTwice > 0 {
		t.Errorf("%d requests ran more than once", outcome.RanTwice)
	}
	checkFlood(t, scenario, outcome)
}

// TestRequestsOfClosedConnectionsAreNotSentOn guards against requests that are sent on after their client has closed its
// connection with much unread, and against a second effect when they come again later, beside a flood.
func TestRequestsOfClosedConnectionsAreNotSentOn(t *testing.T) {
	scenario := flood.Scenario{Program: buildGateway(t), Kind: flood.Cancelled, Connections: 8, Effect: "side_effect",
		Returning: true, Cores: 0.4, MemoryMB: 32}
	outcome := playFlood(t, scenario)
	if outcome.Departures == 0 || outcome.SentAfterLeaving > 0 || outcome.RanTwice > 0 {
		t.Errorf("%d requests of closed connections, %d sent on, %d requests ran more than once", outcome.Departures,
			outcome.SentAfterLeaving, outcome.RanTwice)
	}
	checkFlood(t, scenario, outcome)
}
