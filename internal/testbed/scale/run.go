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

// Options are the parameters of a run that are not part of its plan.
type Options struct {
	Command        func(Role) *exec.Cmd // returns the command for a child process, which must call Child
	GatewayProgram string               // path of the real gateways' program; required if the plan has real gateways
	MaxBytes       int64                // limit of the resident memory of all processes together
	Log            *slog.Logger         // receives one message per sample
}

// run is the state of a run in progress.
type run struct {
	plan      Plan
	options   Options
	starter   *starter
	dir       string // directory of the real gateways' configuration files
	startedAt time.Time
	cancel    context.CancelCauseFunc

	discovery      *process
	workers        []*process
	hollowGateways []*process
	realGateways   []*realGateway
	clients        []*clients     // by index of the real gateway
	rate           requestRate    // request rate at each real gateway
	clientTasks    sync.WaitGroup // goroutines of clients
	actionTasks    sync.WaitGroup // goroutines of actions

	mu               sync.Mutex
	random           *rand.Rand
	endpoints        []discovery.Endpoint               // by worker number: the last published endpoint
	published        map[int64]publication              // by change
	span             string                             // name of the current span
	applied          map[string]*hdrhistogram.Histogram // by span: time from publication until a gateway applied a change
	unmatchedApplied map[int64][]applyTime              // by change, if the reply to its publication is still pending
	longestDelay     map[int64]time.Duration            // by change: longest time until a gateway applied it
	warm             *hdrhistogram.Histogram
	cold             *hdrhistogram.Histogram
	peakBytes        int64
	minIdle          float64
}

// publication records when and in which span a change of the endpoint list was published.
type publication struct {
	at   time.Time
	span string
}

func newRun(plan Plan, options Options, dir string, cancel context.CancelCauseFunc) *run {
	return &run{
		plan:             plan,
		options:          options,
		starter:          &starter{subprocess.NewStarter()},
		dir:              dir,
		startedAt:        time.Now(),
		cancel:           cancel,
		random:           rand.New(rand.NewPCG(plan.Seed, 0)),
		published:        map[int64]publication{},
		applied:          map[string]*hdrhistogram.Histogram{},
		unmatchedApplied: map[int64][]applyTime{},
		longestDelay:     map[int64]time.Duration{},
		warm:             newHistogram(),
		cold:             newHistogram(),
		minIdle:          1,
	}
}

// Run runs a plan. It always ends all processes that it has started before it returns.
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
	result, err = r.execute(ctx)
	result.Seconds = time.Since(r.startedAt).Seconds()
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause // the cause of the cancellation; err is only its consequence
	}
	return result, err
}

func (r *run) execute(ctx context.Context) (Result, error) {
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	result := Result{
		Plan:         r.plan.Name,
		Estimate:     r.plan.Estimate(),
		StartSeconds: time.Since(r.startedAt).Seconds(),
		Processes:    fixedProcesses + len(r.workers) + len(r.hollowGateways) + len(r.realGateways),
	}
	spans, err := r.runTimeline(ctx)
	if err != nil {
		return result, err
	}
	result.Spans = spans
	return result, r.finish(ctx, &result)
}

// start starts all processes. Workers are started first because the endpoint list contains their addresses.
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

// started are the processes of a role after their start.
type started struct {
	processes []*process
	endpoints []discovery.Endpoint // endpoints of the workers, if the role is RoleWorkers
	addr      string               // address of the discovery service, if the role is RoleDiscovery
}

// startRole starts the processes of a role and distributes count gateways or workers over them.
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

// shareOf returns how many of count items belong to the process with the given index. If count is not a multiple of
// processes, the first processes have one more than the others.
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
	r.clientTasks.Go(func() {
		if err := c.run(ctx); err != nil {
			r.cancel(fmt.Errorf("clients of %s: %w", gateway.name, err))
		}
	})
	return nil
}

// children returns all processes that accept commands.
func (r *run) children() []*process {
	all := append([]*process{}, r.workers...)
	all = append(all, r.hollowGateways...)
	if r.discovery != nil {
		all = append(all, r.discovery)
	}
	return all
}

// stop ends all processes, clients and actions, and waits for them.
func (r *run) stop() {
	r.cancel(nil)
	r.actionTasks.Wait()
	r.clientTasks.Wait()
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
