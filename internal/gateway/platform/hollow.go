package platform

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/scheduler"
)

// Headless is a front end with nothing in front of it: the same owner, core, connections to workers and list, and requests
// that are drawn in the process in place of clients' sockets. Scale runs have many of them in a process.
type Headless struct{ *engine }

// NewHeadless makes one. applied is told, by the goroutine that owns the core, of each event of the list service that the core
// has taken, and whether it was a whole list; it may be nil and must not wait.
func NewHeadless(c Config, log *slog.Logger, applied func(number int64, whole bool)) *Headless {
	h := &Headless{newEngine(c, log, nil)}
	h.onApplied = applied
	return h
}

// Run runs until ctx ends; what is in hand then is let go.
func (h *Headless) Run(ctx context.Context) error {
	return h.run(func(g *errgroup.Group, hard context.Context) {
		g.Go(func() error {
			defer h.stopWork()
			select {
			case <-ctx.Done():
			case <-hard.Done():
			}
			return nil
		})
	})
}

// SyntheticRequest is a drawn request.
type SyntheticRequest struct {
	ID          string // 16 hex digits, new each time
	Class       string
	Tenant      string
	Function    uint64
	Concurrency int
	Memory      float64 // of a replica, in the unit of the settings
	LoadTime    time.Duration
	TimeLeft    time.Duration // the client's
}

// SubmitSynthetic takes a drawn request; reply is told its final answer, by the goroutine that owns the core, and must not wait.
func (h *Headless) SubmitSynthetic(r SyntheticRequest, reply func(invoke.Response)) {
	h.Submit(&gateway.Request{Scheduled: &scheduler.Request{ID: r.ID, Type: r.Class, Tenant: r.Tenant, Function: r.Function, TimeLeft: r.TimeLeft,
		Concurrency: r.Concurrency, Memory: r.Memory, LoadTime: r.LoadTime}, Reply: reply})
}
