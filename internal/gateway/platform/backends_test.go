package platform

import (
	"context"
	"log/slog"
	"testing"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
)

// An attempt must not be sent to an incarnation of a worker that the core did not choose. Until the core has applied an
// update, lookup returns the incarnation before it, and afterwards the next incarnation of the same name.
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
		t.Fatal("lookup does not return the first incarnation")
	}
	commit := transport.update(list(discovery.Up, 2))
	if transport.lookup("w") != first || first.stoppedAt.Load() == 0 {
		t.Error("lookup returns the next incarnation before the core has applied it, or the first may be sent new work")
	}
	commit()
	second := transport.lookup("w")
	if second == first || second.stoppedAt.Load() != 0 {
		t.Error("lookup does not return the next incarnation after the core has applied it")
	}
	commit = transport.update(list(discovery.Removed, 2))
	if transport.lookup("w") != second || second.stoppedAt.Load() == 0 {
		t.Error("a removed worker may still be sent new work")
	}
	commit()
	if transport.lookup("w") != nil {
		t.Error("lookup returns a removed worker after the core has applied the removal")
	}
}
