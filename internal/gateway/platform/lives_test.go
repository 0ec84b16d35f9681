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
func TestNextLifeIsFoundOnceTheCoreHasHeard(t *testing.T) {
	w := &workers{pool: resp.NewPool(context.Background(), resp.Limits{Streams: 1}), listed: map[string]*backend{},
		adopted: map[string]*backend{}, monitor: invariant.NewMonitor(slog.New(slog.DiscardHandler))}
	list := func(state string, born int64) discovery.Event {
		return discovery.Event{List: &discovery.List{Workers: []discovery.Worker{{Name: "w", Addr: "127.0.0.1:1", State: state, Born: born}}}}
	}
	w.news(list(discovery.Up, 1))()
	first := w.find("w")
	if first == nil {
		t.Fatal("the first life is not found")
	}
	adopt := w.news(list(discovery.Up, 2))
	if w.find("w") != first || first.stopped.Load() == 0 {
		t.Error("the next life is found before the core has heard of it, or the one before may still get something new")
	}
	adopt()
	second := w.find("w")
	if second == first || second.stopped.Load() != 0 {
		t.Error("the next life is not found once the core has heard of it")
	}
	adopt = w.news(list(discovery.Removed, 2))
	if w.find("w") != second || second.stopped.Load() == 0 {
		t.Error("a worker that is gone may still get something new")
	}
	adopt()
	if w.find("w") != nil {
		t.Error("a worker that is gone is found")
	}
}
