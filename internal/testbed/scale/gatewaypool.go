package scale

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/platform"
	"lupinpond/internal/testbed/discoverytest"
	"lupinpond/internal/testbed/workload"
	"lupinpond/scheduler"
)

// gatewayStream is the PCG stream number of hollow gateway 0; gateway n uses gatewayStream + n.
const gatewayStream = 1 << 32

// gatewayPool contains the hollow gateways of one process and their counters.
type gatewayPool struct {
	plan      Plan
	config    platform.Config
	functions *workload.Catalog
	ctx       context.Context // context of the process
	gateways  []*hollowGateway
	rate      requestRate // request rate at each gateway

	submitted  atomic.Int64
	served     atomic.Int64
	coldServed atomic.Int64
	rejected   atomic.Int64
	noWorker   atomic.Int64
	failed     atomic.Int64
	outOfOrder atomic.Int64
	restarted  atomic.Int64

	mu      sync.Mutex
	applied map[int64][]applyTime // by change
	warm    *hdrhistogram.Histogram
	cold    *hdrhistogram.Histogram
}

// hollowGateway is a gateway without a listener for clients; it submits generated requests to itself.
type hollowGateway struct {
	pool          *gatewayPool
	number        int
	random        *rand.Rand
	appliedChange int64 // last applied change; only accessed by the goroutine of the gateway's owner
	startedAt     int64 // start time in Unix nanoseconds
	gateway       *platform.Headless
	stop          context.CancelFunc
	stopped       sync.WaitGroup
}

func newGatewayPool(ctx context.Context, s setup) (*gatewayPool, error) {
	config, err := platform.Parse(s.Config)
	if err != nil {
		return nil, err
	}
	p := &gatewayPool{
		plan:      s.Plan,
		config:    config,
		functions: s.Plan.Functions.catalog(),
		ctx:       ctx,
		applied:   map[int64][]applyTime{},
		warm:      newHistogram(),
		cold:      newHistogram(),
	}
	p.rate.set(s.Plan.Gateways.Rate)
	for i := range s.Count {
		number := s.First + i
		random := rand.New(rand.NewPCG(s.Plan.Seed, gatewayStream+uint64(number)))
		gateway := &hollowGateway{pool: p, number: number, random: random}
		gateway.start(config.KnownEndpoints)
		p.gateways = append(p.gateways, gateway)
	}
	return p, nil
}

func (p *gatewayPool) close() {
	for _, gateway := range p.gateways {
		gateway.stop()
	}
	for _, gateway := range p.gateways {
		gateway.stopped.Wait()
	}
}

// restart restarts the first count gateways, with their initial endpoint list or with an empty one.
func (p *gatewayPool) restart(count int, withoutList bool) {
	endpoints := p.config.KnownEndpoints
	if withoutList {
		endpoints = discovery.Batch{}
	}
	var restarts sync.WaitGroup
	for _, gateway := range p.gateways[:min(count, len(p.gateways))] {
		restarts.Go(func() { gateway.restart(endpoints) })
	}
	restarts.Wait()
}

// start starts a gateway with an endpoint list.
func (g *hollowGateway) start(endpoints discovery.Batch) {
	g.appliedChange, g.startedAt = 0, time.Now().UnixNano()
	config := g.pool.config
	config.KnownEndpoints = endpoints
	config.Name = fmt.Sprintf("h%d", g.number)
	config.Core.Index, config.Core.Seed = g.number, g.random.Uint64()
	g.gateway = platform.NewHeadless(config, slog.New(slog.DiscardHandler), g.recordApplied)
	ctx, stop := context.WithCancel(g.pool.ctx)
	g.stop = stop
	gateway := g.gateway
	g.stopped.Go(func() {
		if err := gateway.Run(ctx); err != nil {
			g.pool.failed.Add(1)
		}
	})
	g.stopped.Go(func() { g.generateRequests(ctx, gateway) })
}

// restart stops the gateway and starts it again with an endpoint list.
func (g *hollowGateway) restart(endpoints discovery.Batch) {
	g.stop()
	g.stopped.Wait()
	g.pool.restarted.Add(1)
	g.start(endpoints)
}

// recordApplied records that a change was applied. Changes must be applied once and in order; only a complete list may
// follow a gap.
func (g *hollowGateway) recordApplied(change int64, complete bool) {
	now := time.Now().UnixNano()
	if change <= g.appliedChange || change != g.appliedChange+1 && !complete {
		g.pool.outOfOrder.Add(1)
	}
	g.appliedChange = change
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.pool.applied[change] = append(g.pool.applied[change], applyTime{At: now, StartedAt: g.startedAt})
}

// generateRequests submits requests at random times until ctx is done.
func (g *hollowGateway) generateRequests(ctx context.Context, gateway *platform.Headless) {
	pace := pacer{rate: &g.pool.rate, random: g.random, next: time.Now()}
	for pace.wait(ctx) {
		g.submit(gateway)
	}
}

func (g *hollowGateway) submit(gateway *platform.Headless) {
	p := g.pool
	p.submitted.Add(1)
	submittedAt := time.Now()
	gateway.SubmitSynthetic(platform.SyntheticRequest{
		ID:          fmt.Sprintf("%016x", g.random.Uint64()),
		Class:       className,
		Tenant:      tenantName,
		Function:    p.functions.RandomFunction(g.random),
		Concurrency: p.plan.Functions.Concurrency,
		Memory:      replicaMB,
		LoadTime:    p.plan.Workers.MeanLoadTime.Std(),
		TimeLeft:    p.plan.Gateways.Wait.Std(),
	}, func(response invoke.Response) { p.recordResponse(submittedAt, response) })
}

// recordResponse counts the final response to a request and records its latency.
func (p *gatewayPool) recordResponse(submittedAt time.Time, response invoke.Response) {
	switch response.Outcome {
	case invoke.Completed:
		p.served.Add(1)
		latency, cold := time.Since(submittedAt), wasCold(response.Body, submittedAt)
		if cold {
			p.coldServed.Add(1)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if cold {
			recordLatency(p.cold, latency)
		} else {
			recordLatency(p.warm, latency)
		}
	case invoke.Rejected:
		p.rejected.Add(1)
		if response.Attempts == 0 {
			p.noWorker.Add(1)
		}
	default:
		p.failed.Add(1)
	}
}

// wasCold reports whether the replica that served a request was not yet loaded when the request was submitted. The body
// of the worker's response is the time when the replica's load ended, in Unix nanoseconds.
func wasCold(body []byte, submittedAt time.Time) bool {
	readyAt, err := strconv.ParseInt(string(body), 10, 64)
	return err == nil && readyAt > submittedAt.UnixNano()
}

// report returns the counters since the start and the changes that were applied since the last report.
func (p *gatewayPool) report() (*childReport, error) {
	report, err := ownReport()
	if err != nil {
		return nil, err
	}
	report.Gateways = &gatewayCounts{
		Submitted:  p.submitted.Load(),
		Served:     p.served.Load(),
		Cold:       p.coldServed.Load(),
		Rejected:   p.rejected.Load(),
		NoWorker:   p.noWorker.Load(),
		Failed:     p.failed.Load(),
		OutOfOrder: p.outOfOrder.Load(),
		Restarted:  p.restarted.Load(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	report.Applied, p.applied = p.applied, map[int64][]applyTime{}
	if report.Warm, err = encodeHistogram(p.warm); err != nil {
		return nil, err
	}
	report.Cold, err = encodeHistogram(p.cold)
	return report, err
}

// digests returns the number of gateways by digest of their endpoint list.
func (p *gatewayPool) digests() map[string]int {
	digests := map[string]int{}
	for _, gateway := range p.gateways {
		digests[gateway.digest(p.ctx)]++
	}
	return digests
}

// digest returns the digest of the endpoint list that the gateway's core uses.
func (g *hollowGateway) digest(ctx context.Context) string {
	members, running := g.gateway.Members(ctx)
	if !running {
		return "ended"
	}
	states := map[string]discovery.State{}
	for _, member := range members {
		states[member.Worker] = discovery.Up
		if member.Condition == scheduler.Draining {
			states[member.Worker] = discovery.Draining
		}
	}
	return discoverytest.Digest(states)
}

// runGateways runs the hollow gateways of this process and executes the parent's commands.
func runGateways(ctx context.Context, p *pipe) error {
	var pool *gatewayPool
	defer func() {
		if pool != nil {
			pool.close()
		}
	}()
	return p.serve(func(c command) (r reply, err error) {
		switch {
		case c.Setup != nil:
			pool, err = newGatewayPool(ctx, *c.Setup)
		case c.Report:
			if r.Report, err = pool.report(); err == nil && c.Final {
				r.Report.Digests = pool.digests()
			}
		case c.Rate != nil:
			pool.rate.set(*c.Rate)
		case c.Restart > 0:
			pool.restart(c.Restart, c.WithoutList)
		}
		return r, err
	})
}
