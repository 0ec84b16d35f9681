package scale

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
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

// The one class and tenant of a run.
const (
	className  = "call"
	tenantName = "tenant"
	replicaMB  = 256
)

// Latencies are kept from a microsecond to two minutes, to three digits.
const (
	minLatencyMicros, maxLatencyMicros = 1, 120_000_000
	latencyDigits                      = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// gatewayPool are the hollow front ends of one process.
type gatewayPool struct {
	plan      Plan
	config    platform.Config
	functions *workload.Catalog
	ctx       context.Context
	gateways  []*hollowGateway
	rate      atomic.Uint64 // bits of the requests a second at each

	submitted, served, coldServed, rejected, noWorker, failed, outOfOrder, restarted atomic.Int64

	mu         sync.Mutex
	applied    map[int64][]application
	warm, cold *hdrhistogram.Histogram
}

// hollowGateway is one of them.
type hollowGateway struct {
	pool          *gatewayPool
	number        int
	random        *rand.Rand
	incarnation   int
	appliedChange int64 // change in force; the owner's goroutine only
	startedAt     int64 // when it was started, in Unix nanoseconds
	gateway       *platform.Headless
	stop          context.CancelFunc
	ended         sync.WaitGroup
}

func newGatewayPool(ctx context.Context, s setup) (*gatewayPool, error) {
	c, err := platform.Parse(s.Config)
	if err != nil {
		return nil, err
	}
	p := &gatewayPool{plan: s.Plan, config: c, functions: s.Plan.Functions.catalog(), ctx: ctx, applied: map[int64][]application{},
		warm: newHistogram(), cold: newHistogram()}
	p.setRate(s.Plan.Gateways.Rate)
	for i := range s.Count {
		number := s.First + i
		f := &hollowGateway{pool: p, number: number, random: rand.New(rand.NewPCG(s.Plan.Seed, 1<<32+uint64(number)))}
		f.start(false)
		p.gateways = append(p.gateways, f)
	}
	return p, nil
}

func (p *gatewayPool) setRate(rate float64) { p.rate.Store(rateBits(rate)) }

func (p *gatewayPool) close() {
	for _, f := range p.gateways {
		f.stop()
	}
	for _, f := range p.gateways {
		f.ended.Wait()
	}
}

// start starts a front end, with the list of the start of the run or with none.
func (f *hollowGateway) start(empty bool) {
	f.incarnation++
	f.appliedChange, f.startedAt = 0, time.Now().UnixNano()
	c := f.pool.config
	if empty {
		c.KnownEndpoints = discovery.Batch{}
	}
	c.Name = fmt.Sprintf("h%d", f.number)
	c.Core.Index, c.Core.Seed = f.number, f.random.Uint64()
	f.gateway = platform.NewHeadless(c, slog.New(slog.DiscardHandler), f.recordApplied)
	ctx, stop := context.WithCancel(f.pool.ctx)
	f.stop = stop
	front := f.gateway
	f.ended.Add(2)
	go func() {
		defer f.ended.Done()
		if err := front.Run(ctx); err != nil {
			f.pool.failed.Add(1)
		}
	}()
	go func() {
		defer f.ended.Done()
		f.generateRequests(ctx, front)
	}()
}

// restart stops it and starts it anew.
func (f *hollowGateway) restart(empty bool) {
	f.stop()
	f.ended.Wait()
	f.pool.restarted.Add(1)
	f.start(empty)
}

// recordApplied notes that a change is in force. Each has to come once and in its order; a whole list needs none before it.
func (f *hollowGateway) recordApplied(number int64, whole bool) {
	now := time.Now().UnixNano()
	if number <= f.appliedChange || number != f.appliedChange+1 && !whole {
		f.pool.outOfOrder.Add(1)
	}
	f.appliedChange = number
	f.pool.mu.Lock()
	f.pool.applied[number] = append(f.pool.applied[number], application{At: now, StartedAt: f.startedAt})
	f.pool.mu.Unlock()
}

// idlePollInterval is how often a front end without requests looks whether it has some again.
const idlePollInterval = 100 * time.Millisecond

// generateRequests submits requests at random times until ctx ends.
func (f *hollowGateway) generateRequests(ctx context.Context, front *platform.Headless) {
	next := time.Now()
	for {
		rate := rateOf(&f.pool.rate)
		pause := idlePollInterval
		if rate > 0 {
			pause = time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		}
		next = next.Add(pause)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if rate > 0 {
			f.submit(front)
		}
	}
}

func (f *hollowGateway) submit(front *platform.Headless) {
	p := f.pool
	p.submitted.Add(1)
	came := time.Now()
	front.SubmitSynthetic(platform.SyntheticRequest{ID: fmt.Sprintf("%016x", f.random.Uint64()), Class: className, Tenant: tenantName,
		Function: p.functions.Draw(f.random), Concurrency: p.plan.Functions.Concurrency, Memory: replicaMB, LoadTime: p.plan.Workers.MeanLoadTime.Std(),
		TimeLeft: p.plan.Gateways.Wait.Std()}, func(a invoke.Response) { p.recordResponse(came, a) })
}

// recordResponse counts a final answer.
func (p *gatewayPool) recordResponse(came time.Time, a invoke.Response) {
	switch a.Outcome {
	case invoke.Completed:
		p.served.Add(1)
		ready, err := strconv.ParseInt(string(a.Body), 10, 64)
		cold := err == nil && ready > came.UnixNano()
		if cold {
			p.coldServed.Add(1)
		}
		p.recordLatency(cold, time.Since(came))
	case invoke.Rejected:
		p.rejected.Add(1)
		if a.Attempts == 0 {
			p.noWorker.Add(1)
		}
	default:
		p.failed.Add(1)
	}
}

func (p *gatewayPool) recordLatency(cold bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.warm
	if cold {
		h = p.cold
	}
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)) // it is in the range
}

// report tells what was counted; with final the lists too.
func (p *gatewayPool) report(final bool) (*childReport, error) {
	r, err := ownReport()
	if err != nil {
		return nil, err
	}
	r.Gateways = &gatewayCounts{Submitted: p.submitted.Load(), Served: p.served.Load(), Cold: p.coldServed.Load(),
		Rejected: p.rejected.Load(), NoWorker: p.noWorker.Load(), Failed: p.failed.Load(), OutOfOrder: p.outOfOrder.Load(),
		Restarted: p.restarted.Load()}
	p.mu.Lock()
	r.Applied, p.applied = p.applied, map[int64][]application{}
	warm, err := p.warm.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err == nil {
		r.Warm = warm
		r.Cold, err = p.cold.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	}
	p.mu.Unlock()
	if err != nil || !final {
		return r, err
	}
	r.Digests = map[string]int{}
	for _, f := range p.gateways {
		r.Digests[f.digest(p.ctx)]++
	}
	return r, nil
}

// digest names the list that the front end's core decides by.
func (f *hollowGateway) digest(ctx context.Context) string {
	members, running := f.gateway.Members(ctx)
	if !running {
		return "ended"
	}
	states := map[string]string{}
	for _, m := range members {
		states[m.Worker] = string(discovery.Up)
		if m.Condition == scheduler.Draining {
			states[m.Worker] = string(discovery.Draining)
		}
	}
	return discoverytest.Digest(states)
}

// runGateways plays the role of hollow front ends.
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
			r.Report, err = pool.report(c.Final)
		case c.Rate != nil:
			pool.setRate(*c.Rate)
		case c.Restart > 0:
			var restarts sync.WaitGroup
			for _, f := range pool.gateways[:min(c.Restart, len(pool.gateways))] {
				restarts.Go(func() { f.restart(c.WithoutList) })
			}
			restarts.Wait()
		}
		return r, err
	})
}

// decode adds a histogram that a child has sent to another.
func decode(into *hdrhistogram.Histogram, encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(bytes.Clone(encoded))
	if err != nil {
		return err
	}
	into.Merge(h)
	return nil
}

// rateOf is a number of requests a second that is kept as its bits.
func rateOf(bits *atomic.Uint64) float64 { return math.Float64frombits(bits.Load()) }

func rateBits(rate float64) uint64 { return math.Float64bits(rate) }
