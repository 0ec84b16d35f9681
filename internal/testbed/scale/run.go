package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/subprocess"
)

// Options are what a run needs beside its plan.
type Options struct {
	Command        func(Role) *exec.Cmd // starts a child that calls Child
	GatewayProgram string               // program of the real front ends; needed where the plan has some
	MaxBytes       int64                // resident, of all processes together
	Log            *slog.Logger         // a line a sample
}

// agreeLimit is how long front ends have, at the end, to hear the last change.
const agreeLimit = 20 * time.Second

// run is a run under way.
type run struct {
	plan      Plan
	options   Options
	starter   *starter
	dir       string
	random    *rand.Rand
	startedAt time.Time
	cancel    context.CancelCauseFunc

	discovery      *process
	workers        []*process
	hollowGateways []*process
	realGateways   []*realGateway
	clients        []*clients
	rate           atomic.Uint64
	sending        sync.WaitGroup
	acting         sync.WaitGroup

	mu           sync.Mutex
	endpoints    []discovery.Endpoint // of each worker, as published last
	published    map[int64]published
	span         string
	applied      map[string]*hdrhistogram.Histogram
	early        map[int64][]application // not counted yet
	longestDelay map[int64]time.Duration // of a change, the longest so far
	warm, cold   *hdrhistogram.Histogram
	peak         int64
	leastIdle    float64
}

// published is a change of the list.
type published struct {
	at   time.Time
	span string
}

// Run plays a plan. It returns when every process that it started has ended, whatever happens.
func Run(ctx context.Context, plan Plan, options Options) (result Result, err error) {
	if err := plan.Check(options.MaxBytes); err != nil {
		return Result{}, err
	}
	began := time.Now()
	dir, err := os.MkdirTemp("", "lupinpond-scale-")
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{plan: plan, options: options, starter: &starter{subprocess.NewStarter()}, dir: dir, random: rand.New(rand.NewPCG(plan.Seed, 0)), startedAt: began,
		cancel: cancel, published: map[int64]published{}, applied: map[string]*hdrhistogram.Histogram{}, longestDelay: map[int64]time.Duration{}, early: map[int64][]application{},
		warm: newHistogram(), cold: newHistogram(), leastIdle: 1}
	defer r.starter.Close()
	defer r.stop()
	result, err = r.play(ctx)
	result.Seconds = time.Since(began).Seconds()
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause // what ended the run, rather than what that brought about
	}
	return result, err
}

func (r *run) play(ctx context.Context) (Result, error) {
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	result := Result{Plan: r.plan.Name, Estimate: r.plan.Estimate(), StartSeconds: time.Since(r.startedAt).Seconds(),
		Processes: 2 + len(r.workers) + len(r.hollowGateways) + len(r.realGateways)}
	spans, err := r.timeline(ctx)
	if err != nil {
		return result, err
	}
	result.Spans = spans
	return result, r.end(ctx, &result)
}

// start starts every process, workers first: the list needs their addresses.
func (r *run) start(ctx context.Context) error {
	workers, err := r.startRole(ctx, RoleWorkers, r.plan.Workers.Processes, r.plan.Workers.Count, setup{})
	r.workers = workers.processes
	if err != nil {
		return err
	}
	r.endpoints = workers.lines
	list, err := r.startRole(ctx, RoleDiscovery, 1, 1, setup{List: r.endpoints})
	if err != nil {
		return err
	}
	r.discovery = list.processes[0]
	known, err := json.Marshal(discovery.Batch{Position: 1, Events: []discovery.Event{{Position: 1, Update: &discovery.Update{Complete: true, Endpoints: r.endpoints}}}})
	if err != nil {
		return err
	}
	config, err := r.plan.platformConfig("hollow", "127.0.0.1:0", list.addr, 0, known)
	if err != nil {
		return err
	}
	fronts, err := r.startRole(ctx, RoleGateways, r.plan.Gateways.Processes, r.plan.Gateways.Hollow, setup{Config: config})
	r.hollowGateways = fronts.processes
	if err != nil {
		return err
	}
	r.rate.Store(rateBits(r.plan.Gateways.Rate))
	for i := range r.plan.Gateways.Real {
		if err := r.startRealGateway(ctx, i, list.addr, known); err != nil {
			return err
		}
	}
	return nil
}

// started are the processes of one role.
type started struct {
	processes []*process
	lines     []discovery.Endpoint // of workers
	addr      string               // of the list service
}

// startRole starts the processes of a role, which share count among them.
func (r *run) startRole(ctx context.Context, role Role, processes, count int, s setup) (all started, err error) {
	replies := make([]reply, processes)
	var g errgroup.Group
	first := 0
	for i := range processes {
		mine := s
		mine.Plan, mine.First = r.plan, first
		mine.Count = count/processes + min(1, max(0, count%processes-i))
		first += mine.Count
		name := fmt.Sprintf("%s-%d", role, i)
		p, err := r.starter.start(name, r.options.Command(role), true, func(err error) { r.cancel(err) })
		if err != nil {
			return all, errors.Join(err, g.Wait())
		}
		all.processes = append(all.processes, p)
		g.Go(func() error {
			reply, err := p.pipe.call(command{Setup: &mine})
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			replies[i] = reply
			return ctx.Err()
		})
	}
	err = g.Wait()
	for _, reply := range replies {
		all.lines = append(all.lines, reply.Workers...)
		all.addr = reply.Addr
	}
	return all, err
}

func (r *run) startRealGateway(ctx context.Context, index int, journal string, known json.RawMessage) error {
	number := r.plan.Gateways.Hollow + index
	g, err := r.starter.startRealGateway(r.options.GatewayProgram, r.dir, r.plan, number, journal, known, func(err error) { r.cancel(err) })
	if err != nil {
		return err
	}
	r.realGateways = append(r.realGateways, g)
	conn, err := dialGateway(ctx, g.addr)
	if err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	c := &clients{plan: r.plan, functions: r.plan.Functions.catalog(), random: rand.New(rand.NewPCG(r.plan.Seed, 2<<32+uint64(index))),
		conn: conn, rate: &r.rate, sent: map[int32]time.Time{}, warm: newHistogram(), cold: newHistogram()}
	r.clients = append(r.clients, c)
	r.sending.Go(func() {
		if err := c.run(ctx); err != nil {
			r.cancel(fmt.Errorf("clients of %s: %w", g.name, err))
		}
	})
	return nil
}

// timeline plays the rows and samples until the run is over.
func (r *run) timeline(ctx context.Context) (spans []Span, err error) {
	start := time.Now()
	r.enterSpan("steady")
	from, err := r.totals()
	if err != nil {
		return nil, err
	}
	sample, begin := from, from
	ticker := time.NewTicker(r.plan.SampleInterval.Std())
	defer ticker.Stop()
	rows := r.plan.Timeline
	end := time.After(r.plan.Duration.Std())
	for {
		var due <-chan time.Time
		if len(rows) > 0 {
			due = time.After(time.Until(start.Add(rows[0].At.Std())))
		}
		over := false
		select {
		case <-ctx.Done():
			r.acting.Wait()
			return spans, ctx.Err()
		case <-ticker.C:
		case <-due:
		case <-end:
			over = true
		}
		now, err := r.totals()
		if err != nil {
			return spans, err
		}
		if err := r.sample(sample, now); err != nil {
			return spans, err
		}
		sample = now
		for over || len(rows) > 0 && time.Since(start) >= rows[0].At.Std() {
			spans = append(spans, r.plan.span(r.span, begin, now))
			begin = now
			if over {
				r.acting.Wait()
				return spans, nil
			}
			row := rows[0]
			rows = rows[1:]
			r.enterSpan(fmt.Sprintf("%v %s", time.Duration(row.At), row.Action))
			r.acting.Go(func() {
				if err := r.runAction(ctx, row); err != nil && ctx.Err() == nil {
					r.cancel(fmt.Errorf("%s: %w", row.Action, err))
				}
			})
		}
	}
}

func (r *run) enterSpan(span string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.span = span
}

// sample logs what happened since the last one, and ends a run that takes too much.
func (r *run) sample(from, to totals) error {
	s := r.plan.span(r.span, from, to)
	if s.Seconds <= 0 {
		return nil
	}
	r.peak, r.leastIdle = max(r.peak, to.allBytes), min(r.leastIdle, s.MachineIdle)
	r.options.Log.Info("sample", "at", time.Since(r.startedAt).Seconds(), "span", s)
	if to.allBytes > r.options.MaxBytes {
		return fmt.Errorf("%w: the processes hold %d MiB, at most %d MiB are allowed", ErrTooLarge, to.allBytes>>20, r.options.MaxBytes>>20)
	}
	return nil
}

// children are all processes that take commands.
func (r *run) children() []*process {
	all := append([]*process{}, r.workers...)
	all = append(all, r.hollowGateways...)
	if r.discovery != nil {
		all = append(all, r.discovery)
	}
	return all
}

// totals asks every process.
func (r *run) totals() (totals, error) { return r.reports(false, nil) }

func (r *run) reports(final bool, lists map[string]int) (t totals, err error) {
	children := r.children()
	reports := make([]*childReport, len(children))
	var g errgroup.Group
	for i, child := range children {
		g.Go(func() error {
			reply, err := child.pipe.call(command{Report: true, Final: final})
			reports[i] = reply.Report
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return t, err
	}
	t.at = time.Now()
	for _, report := range reports {
		t.add(report)
		r.mergeReport(report)
		for name, n := range report.Digests {
			lists[name] += n
		}
	}
	if err := r.addRealGateways(&t); err != nil {
		return t, err
	}
	own, err := ownReport()
	if err != nil {
		return t, err
	}
	t.allBytes += own.ResidentBytes
	return t, t.machine()
}

// addRealGateways adds what the real front ends and their clients have counted.
func (r *run) addRealGateways(t *totals) error {
	for i, g := range r.realGateways {
		nanos, err := processorOf(g.cmd.Process.Pid)
		if err != nil {
			return err
		}
		bytes, files, err := processState(g.cmd.Process.Pid)
		if err != nil {
			return err
		}
		t.realGatewayNanos, t.realGatewayBytes, t.realGatewayFDs, t.allBytes = t.realGatewayNanos+nanos, t.realGatewayBytes+bytes, t.realGatewayFDs+files, t.allBytes+bytes
		c := r.clients[i]
		t.realGateways.add(gatewayCounts{Submitted: c.submitted.Load(), Served: c.served.Load(), Cold: c.coldServed.Load(),
			Rejected: c.rejected.Load(), Failed: c.failed.Load()})
	}
	return nil
}

// mergeReport takes from a report when changes came into force.
func (r *run) mergeReport(report *childReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for position, times := range report.Applied {
		r.early[position] = append(r.early[position], times...)
	}
	for position, times := range r.early {
		if change, known := r.published[position]; known { // else the word of its being published is on its way
			r.recordApplied(position, change, times)
			delete(r.early, position)
		}
	}
}

// recordApplied counts how long a change took at some front ends; r.mu is held.
func (r *run) recordApplied(position int64, change published, times []application) {
	h := r.applied[change.span]
	if h == nil {
		h = newHistogram()
		r.applied[change.span] = h
	}
	for _, a := range times {
		if time.Unix(0, a.StartedAt).After(change.at) { // it started later and catches up
			continue
		}
		took := max(0, time.Unix(0, a.At).Sub(change.at))
		r.longestDelay[position] = max(r.longestDelay[position], took)
		_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)) // it is in the range
	}
}

// end waits until every front end has heard the last change, and compares the lists.
func (r *run) end(ctx context.Context, result *Result) error {
	deadline := time.Now().Add(agreeLimit)
	for {
		lists := map[string]int{}
		t, err := r.reports(true, lists)
		if err != nil {
			return err
		}
		result.Lists, result.ExpectedList, result.OutOfOrder, result.Real = lists, t.discovery.Digest, t.gateways.OutOfOrder, t.realGateways
		result.Changes, result.PeakMiB, result.MinIdle = len(r.published), float64(r.peak)/(1<<20), r.leastIdle
		if result.AllAgree(r.plan.Gateways.Hollow) || time.Now().After(deadline) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(idlePollInterval):
		}
	}
	if err := r.latencies(result); err != nil {
		return err
	}
	if !result.AllAgree(r.plan.Gateways.Hollow) {
		return fmt.Errorf("%w: %d changes out of order, lists %v, the service's %s", ErrListMismatch, result.OutOfOrder, result.Lists, result.ExpectedList)
	}
	return nil
}

// latencies adds up what the front ends have measured.
func (r *run) latencies(result *Result) error {
	for _, child := range r.hollowGateways {
		reply, err := child.pipe.call(command{Report: true})
		if err != nil {
			return err
		}
		r.mergeReport(reply.Report)
		if err := errors.Join(decode(r.warm, reply.Report.Warm), decode(r.cold, reply.Report.Cold)); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Warm, result.Cold = delayOf(r.warm), delayOf(r.cold)
	result.Applied, result.AppliedEverywhere = map[string]Delay{}, map[string]Delay{}
	lasts := map[string]*hdrhistogram.Histogram{}
	for position, took := range r.longestDelay {
		span := r.published[position].span
		if lasts[span] == nil {
			lasts[span] = newHistogram()
		}
		_ = lasts[span].RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)) // it is in the range
	}
	for span, h := range r.applied {
		result.Applied[span], result.AppliedEverywhere[span] = delayOf(h), delayOf(lasts[span])
	}
	warm, cold := newHistogram(), newHistogram()
	for _, c := range r.clients {
		c.mu.Lock()
		warm.Merge(c.warm)
		cold.Merge(c.cold)
		c.mu.Unlock()
	}
	result.RealWarm, result.RealCold = delayOf(warm), delayOf(cold)
	return nil
}

// stop ends every process.
func (r *run) stop() {
	r.cancel(nil)
	r.acting.Wait()
	r.sending.Wait()
	ctx, stop := context.WithTimeout(context.Background(), endLimit)
	defer stop()
	var all sync.WaitGroup
	for _, p := range r.children() {
		all.Go(func() { p.stop(ctx) })
	}
	for _, g := range r.realGateways {
		all.Go(func() { g.stop(ctx) })
	}
	all.Wait()
}

// ErrNoGate says that a plan has real front ends and no program was named for them.
var ErrNoGate = errors.New("the plan has real front ends: name their program")

// CheckGate tells whether the program of the real front ends is there.
func (p Plan) CheckGate(program string) error {
	if p.Gateways.Real == 0 {
		return nil
	}
	if program == "" {
		return ErrNoGate
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%w: %w", ErrNoGate, err)
	}
	return nil
}
