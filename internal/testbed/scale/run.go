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
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/subprocess"
)

// Options are what a run needs beside its plan.
type Options struct {
	Command        func(Role) *exec.Cmd // starts a child that calls Child
	GatewayProgram string               // of the real gateways; needed where the plan has some
	MaxBytes       int64                // resident, of all processes together
	Log            *slog.Logger         // a line a sample
}

// run is a run under way.
type run struct {
	plan      Plan
	options   Options
	starter   *starter
	dir       string // of the real gateways' configurations
	startedAt time.Time
	cancel    context.CancelCauseFunc

	discovery      *process
	workers        []*process
	hollowGateways []*process
	realGateways   []*realGateway
	clients        []*clients // of the real gateways
	rate           requestRate
	sending        sync.WaitGroup
	acting         sync.WaitGroup

	mu           sync.Mutex
	random       *rand.Rand
	endpoints    []discovery.Endpoint // of each worker, as published last
	published    map[int64]published  // by change
	span         string
	applied      map[string]*hdrhistogram.Histogram // by span
	early        map[int64][]application            // of changes whose publication is not known yet
	longestDelay map[int64]time.Duration            // by change, so far
	warm         *hdrhistogram.Histogram
	cold         *hdrhistogram.Histogram
	peakBytes    int64
	minIdle      float64
}

// published is a published change of the endpoint list.
type published struct {
	at   time.Time
	span string
}

func newRun(plan Plan, options Options, dir string, cancel context.CancelCauseFunc) *run {
	return &run{
		plan:         plan,
		options:      options,
		starter:      &starter{subprocess.NewStarter()},
		dir:          dir,
		startedAt:    time.Now(),
		cancel:       cancel,
		random:       rand.New(rand.NewPCG(plan.Seed, 0)),
		published:    map[int64]published{},
		applied:      map[string]*hdrhistogram.Histogram{},
		early:        map[int64][]application{},
		longestDelay: map[int64]time.Duration{},
		warm:         newHistogram(),
		cold:         newHistogram(),
		minIdle:      1,
	}
}

// Run plays a plan. It returns when every process that it started has ended, whatever happens.
func Run(ctx context.Context, plan Plan, options Options) (result Result, err error) {
	if err := plan.Check(options.MaxBytes); err != nil {
		return Result{}, err
	}
	dir, err := os.MkdirTemp("", "lupinpond-scale-")
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := newRun(plan, options, dir, cancel)
	defer r.starter.Close()
	defer r.stop()
	result, err = r.play(ctx)
	result.Seconds = time.Since(r.startedAt).Seconds()
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause // what ended the run, rather than what that brought about
	}
	return result, err
}

func (r *run) play(ctx context.Context) (Result, error) {
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	result := Result{
		Plan:         r.plan.Name,
		Estimate:     r.plan.Estimate(),
		StartSeconds: time.Since(r.startedAt).Seconds(),
		Processes:    ownProcesses + len(r.workers) + len(r.hollowGateways) + len(r.realGateways),
	}
	spans, err := r.playTimeline(ctx)
	if err != nil {
		return result, err
	}
	result.Spans = spans
	return result, r.finish(ctx, &result)
}

// start starts every process, workers first: the endpoint list needs their addresses.
func (r *run) start(ctx context.Context) error {
	workers, err := r.startRole(ctx, RoleWorkers, r.plan.Workers.Processes, r.plan.Workers.Count, setup{})
	r.workers = workers.processes
	if err != nil {
		return err
	}
	r.endpoints = workers.endpoints
	service, err := r.startRole(ctx, RoleDiscovery, 1, 1, setup{List: r.endpoints})
	if err != nil {
		return err
	}
	r.discovery = service.processes[0]
	update := &discovery.Update{Complete: true, Endpoints: r.endpoints}
	known, err := json.Marshal(discovery.Batch{Position: 1, Events: []discovery.Event{{Position: 1, Update: update}}})
	if err != nil {
		return err
	}
	config, err := r.plan.platformConfig("hollow", "127.0.0.1:0", service.addr, 0, known)
	if err != nil {
		return err
	}
	hollow := r.plan.Gateways
	gateways, err := r.startRole(ctx, RoleGateways, hollow.Processes, hollow.Hollow, setup{Config: config})
	r.hollowGateways = gateways.processes
	if err != nil {
		return err
	}
	r.rate.set(r.plan.Gateways.Rate)
	for i := range r.plan.Gateways.Real {
		if err := r.startRealGateway(ctx, i, service.addr, known); err != nil {
			return err
		}
	}
	return nil
}

// started are the processes of one role.
type started struct {
	processes []*process
	endpoints []discovery.Endpoint // of workers
	addr      string               // of the discovery service
}

// startRole starts the processes of a role, which share count among them.
func (r *run) startRole(ctx context.Context, role Role, processes, count int, s setup) (all started, err error) {
	replies := make([]reply, processes)
	var group errgroup.Group
	first := 0
	for i := range processes {
		own := s
		own.Plan, own.First, own.Count = r.plan, first, shareOf(count, processes, i)
		first += own.Count
		name := fmt.Sprintf("%s-%d", role, i)
		p, err := r.starter.startChild(name, r.options.Command(role), func(err error) { r.cancel(err) })
		if err != nil {
			return all, errors.Join(err, group.Wait())
		}
		all.processes = append(all.processes, p)
		group.Go(func() error {
			reply, err := p.pipe.call(command{Setup: &own})
			if err != nil {
				return fmt.Errorf("set up %s: %w", name, err)
			}
			replies[i] = reply
			return ctx.Err()
		})
	}
	err = group.Wait()
	for _, reply := range replies {
		all.endpoints = append(all.endpoints, reply.Workers...)
		all.addr = reply.Addr
	}
	return all, err
}

// shareOf is the part of count that one of some processes has; the first ones have one more where they can't share
// evenly.
func shareOf(count, processes, index int) int {
	share := count / processes
	if index < count%processes {
		share++
	}
	return share
}

func (r *run) startRealGateway(ctx context.Context, index int, discoveryAddr string, known json.RawMessage) error {
	gateway, err := r.starter.startRealGateway(realGatewaySetup{
		plan:          r.plan,
		program:       r.options.GatewayProgram,
		dir:           r.dir,
		index:         r.plan.Gateways.Hollow + index,
		discoveryAddr: discoveryAddr,
		known:         known,
	}, func(err error) { r.cancel(err) })
	if err != nil {
		return err
	}
	r.realGateways = append(r.realGateways, gateway)
	conn, err := dialGateway(ctx, gateway.addr)
	if err != nil {
		return fmt.Errorf("dial %s: %w", gateway.name, err)
	}
	c := newClients(r.plan, index, conn, &r.rate)
	r.clients = append(r.clients, c)
	r.sending.Go(func() {
		if err := c.run(ctx); err != nil {
			r.cancel(fmt.Errorf("clients of %s: %w", gateway.name, err))
		}
	})
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

// stop ends every process.
func (r *run) stop() {
	r.cancel(nil)
	r.acting.Wait()
	r.sending.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, child := range r.children() {
		stopping.Go(func() { child.stop(ctx) })
	}
	for _, gateway := range r.realGateways {
		stopping.Go(func() { gateway.stop(ctx) })
	}
	stopping.Wait()
}
