// Package platform implements the gateway for the operators' platform: its configuration, readiness, signals and
// metrics, and the protocols that the platform prescribes, around the event loop that all gateways share. Clients
// speak Thrift, workers speak RESP, and a discovery service publishes the endpoint list over HTTP. All decisions about
// requests, attempts and load requests are made by the core.
package platform

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway/thrift"
	"lupinpond/scheduler"
)

// Gateway is one gateway on the platform.
type Gateway struct {
	*engine
	decoder         requestDecoder
	longestMaxAge   time.Duration
	listener        net.Listener
	server          *thrift.Server
	draining        atomic.Bool // the gateway is draining and reports to clients that it is not ready
	recentIDs       recentIDs
	closeCounts     closeCounts
	rejectionCounts rejectionCounts
	droppedLogLines func() int64 // see Options.DroppedLogLines; may be nil
}

// New returns a gateway that serves clients on a listener. If record is not nil, the gateway writes a recording of the
// core to it.
func New(config Config, listener net.Listener, log *slog.Logger, record io.Writer) *Gateway {
	g := &Gateway{engine: newEngine(config, log, record), listener: listener}
	maxAges, longest := config.maxAges()
	g.longestMaxAge = longest
	g.decoder = requestDecoder{maxAges: maxAges, keyed: map[string]bool{}, tenants: map[string]bool{}}
	for _, t := range config.Core.Types {
		g.decoder.keyed[t.Name] = t.Effect == scheduler.IdempotencyKey
	}
	for _, t := range config.Core.Tenants {
		g.decoder.tenants[t.Name] = true
	}
	g.server = thrift.NewServer(listener, config.clientLimits(), g.handle)
	g.server.OnClose(g.connectionClosed)
	g.server.ObserveBacklog(func() time.Duration { return g.MailboxState().Age })
	g.recentIDs = recentIDs{retention: config.idRetention(longest), maxPerGeneration: int(config.Memory / bytesPerRecentID)}
	return g
}

// clientLimits returns the limits on the resources that clients can use.
func (c Config) clientLimits() thrift.Limits {
	dial := c.dialTimeout()
	return thrift.Limits{
		MaxFrameBytes:    maxBodyBytes + maxHeaderBytes,
		MaxOpenCalls:     maxOpenRequests,
		MaxConns:         c.peerSockets() / clientSocketDivisor,
		MessageTimeout:   min(messageTimeoutDials*dial, maxMessageTimeout),
		IdleTimeout:      c.connIdleTimeout(),
		WriteTimeout:     messageTimeoutDials * dial,
		FinalReadTimeout: max(dial/finalReadDivisor, 1),
		Cores:            c.Cores,

		MaxPartialBytes:   c.Memory / partialMemoryDivisor,
		MaxCallBytes:      c.Memory / requestMemoryDivisor,
		MaxUnwrittenBytes: c.Memory / answerMemoryDivisor,
	}
}

// Run serves clients until ctx ends. Then it continues to accept requests for as long as the platform may send them,
// answers all requests in flight before the platform would kill the process, and returns.
func (g *Gateway) Run(ctx context.Context) error {
	return g.run(func(group *errgroup.Group, workCtx context.Context) {
		group.Go(func() error {
			defer g.stopWork() // the server is the last component with work to do
			return g.server.Run(workCtx)
		})
		g.log.Info("gateway listening", "address", g.listener.Addr().String())
		group.Go(func() error {
			select {
			case <-workCtx.Done():
			case <-ctx.Done():
				g.drain(workCtx)
			}
			return nil
		})
	})
}

// drain keeps the gateway running until it has answered every request that the platform may still send, then ends it.
// Clients that never stop sending or never read delay the end by at most another lateArrivalPeriod.
func (g *Gateway) drain(workCtx context.Context) {
	answerTime := min(g.longestMaxAge, terminationGrace) + lateArrivalPeriod/2
	g.draining.Store(true)
	g.ShutdownBy(time.Now().Add(answerTime))
	g.log.Info("draining", "requests_open", g.server.OpenCalls())
	arrivalsOver, answered, deadline := time.After(lateArrivalPeriod),
		time.After(max(answerTime, lateArrivalPeriod)), time.After(answerTime+lateArrivalPeriod)
	for {
		select {
		case <-workCtx.Done():
			return
		case <-arrivalsOver:
			g.server.Drain()
		case <-answered: // a client that continues to send would otherwise keep its connection open until SIGKILL
			g.server.CloseWhenIdle()
		case <-deadline:
			g.stopWork()
		}
	}
}
