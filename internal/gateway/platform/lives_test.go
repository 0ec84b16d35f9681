package platform

import (
	"context"
	"log/slog"
	"testing"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/resp"
)

// What the core decides is for the life of a worker that it has heard of. The next life at the same name is found only once the
// core has heard of it, and then the one before is not.
func TestNextIncarnationIsFoundOnceApplied(t *testing.T) {
	w := &workerTransport{pool: resp.NewPool(context.Background(), resp.Limits{MaxCallsPerConn: 1}), listed: map[string]*backend{},
		applied: map[string]*backend{}, monitor: invariant.NewMonitor(slog.New(slog.DiscardHandler))}
	list := func(state string, born int64) discovery.Event {
		return discovery.Event{Update: &discovery.Update{Endpoints: []discovery.Endpoint{{Name: "w", Addr: "127.0.0.1:1", State: state, StartedUnixMilli: born}}}}
	}
	w.update(list(discovery.Up, 1))()
	first := w.lookup("w")
	if first == nil {
		t.Fatal("the first life is not found")
	}
	adopt := w.update(list(discovery.Up, 2))
	if w.lookup("w") != first || first.stoppedAt.Load() == 0 {
		t.Error("the next life is found before the core has heard of it, or the one before may still get something new")
	}
	adopt()
	second := w.lookup("w")
	if second == first || second.stoppedAt.Load() != 0 {
		t.Error("the next life is not found once the core has heard of it")
	}
	adopt = w.update(list(discovery.Removed, 2))
	if w.lookup("w") != second || second.stoppedAt.Load() == 0 {
		t.Error("a worker that is gone may still get something new")
	}
	adopt()
	if w.lookup("w") != nil {
		t.Error("a worker that is gone is found")
	}
}
