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

// Headless is a gateway that serves no client connections: it has the same event loop, core, connections to workers and
// endpoint list, and its requests are generated in the process. Scale tests run many of them in one process.
type Headless struct{ *engine }

// NewHeadless returns a Headless gateway. The event loop calls onApplied with the position of each watch event that the
// core has applied, and whether the event held the complete list. onApplied may be nil and must not block.
func NewHeadless(config Config, log *slog.Logger, onApplied func(position int64, complete bool)) *Headless {
	h := &Headless{newEngine(config, log, nil)}
	h.onApplied = onApplied
	return h
}

// Run runs the gateway until ctx ends, and abandons the requests that are still in flight.
func (h *Headless) Run(ctx context.Context) error {
	return h.run(func(group *errgroup.Group, workCtx context.Context) {
		group.Go(func() error {
			defer h.stopWork()
			select {
			case <-ctx.Done():
			case <-workCtx.Done():
			}
			return nil
		})
	})
}

// SyntheticRequest is a request that is generated in the process.
type SyntheticRequest struct {
	ID          string // unique ID of 16 hex digits
	Class       string
	Tenant      string
	Function    uint64
	Concurrency int
	Memory      float64 // memory of one replica, in the unit of the settings
	LoadTime    time.Duration
	TimeLeft    time.Duration // time until the client's deadline
}

// SubmitSynthetic submits a generated request. The event loop calls reply with the final answer; reply must not block.
func (h *Headless) SubmitSynthetic(request SyntheticRequest, reply func(invoke.Response)) {
	h.Submit(&gateway.Request{
		Scheduled: &scheduler.Request{
			ID:          request.ID,
			Type:        request.Class,
			Tenant:      request.Tenant,
			Function:    request.Function,
			TimeLeft:    request.TimeLeft,
			Concurrency: request.Concurrency,
			Memory:      request.Memory,
			LoadTime:    request.LoadTime,
		},
		Reply: reply,
	})
}
