package platform

import (
	"context"
	"log/slog"
	"testing"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
)

// What the core decides is for the incarnation of a worker that it knows. The next incarnation under the same name is
// found only once the core has applied the update, and then the one before is not.
func TestNextIncarnationIsFoundOnceApplied(t *testing.T) {
	pool := resp.NewPool(context.Background(), resp.Limits{MaxCallsPerConn: 1})
	transport := newWorkerTransport(Config{}, pool, invariant.NewMonitor(slog.New(slog.DiscardHandler)))
	list := func(state discovery.State, started int64) discovery.Update {
		return discovery.Update{Endpoints: []discovery.Endpoint{
			{Name: "w", Addr: "127.0.0.1:1", State: state, StartedUnixMilli: started},
		}}
	}
	transport.update(list(discovery.Up, 1))()
	first := transport.lookup("w")
	if first == nil {
		t.Fatal("the first incarnation is not found")
	}
	commit := transport.update(list(discovery.Up, 2))
	if transport.lookup("w") != first || first.stoppedAt.Load() == 0 {
		t.Error("the next incarnation is found before the core knows it, or the one before may still get something new")
	}
	commit()
	second := transport.lookup("w")
	if second == first || second.stoppedAt.Load() != 0 {
		t.Error("the next incarnation is not found once the core knows it")
	}
	commit = transport.update(list(discovery.Removed, 2))
	if transport.lookup("w") != second || second.stoppedAt.Load() == 0 {
		t.Error("a removed worker may still get something new")
	}
	commit()
	if transport.lookup("w") != nil {
		t.Error("a removed worker is found")
	}
}
