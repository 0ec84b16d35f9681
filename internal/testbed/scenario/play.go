package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/checker"
	"lupinpond/internal/testbed/emulator"
	"lupinpond/internal/testbed/localfleet"
)

const (
	// listSettleTime is how long gateways have to receive the endpoint list before the first arrival.
	listSettleTime = 100 * time.Millisecond
	// progressEvery is after how many arrivals Options.Progress is called.
	progressEvery = 16
)

// Options of a played scenario.
type Options struct {
	Config fleetconfig.File
	Log    *slog.Logger // nil: nothing is logged

	// OutputDir gets captures, endpoint-list deliveries, settings and core recordings. Empty: nothing is saved.
	OutputDir string
	// Progress is called now and then. It may be nil.
	Progress func(part float64)
	// PayrollBinary is the built example package payroll, for workers of the worker runtime. Empty: workers are emulated.
	PayrollBinary string
	// DisablePeerDistribution has such workers give each other no chunks, as a baseline.
	DisablePeerDistribution bool
}

// Result is how a scenario went.
type Result struct {
	Scenario            string `json:"Day"`
	Verdict             checker.Verdict
	Clients             ClientStats
	Gateways            gateway.Counts `json:"Gates"`   // of all incarnations of all gateways
	DuplicateExecutions []string       `json:"Doubles"` // at-most-once requests that ran twice, counted at the workers
	WorkerCrashes       int            `json:"Falls"`   // workers that crashed under too much load while warming up
	Arrivals            int
	ServedInTimeShare   float64 `json:"ServiceOf"` // part of the requests that were served within their latency objective
}

// Passed reports whether no rule was violated and no at-most-once request ran twice.
func (r Result) Passed() bool { return r.Verdict.Passed() && len(r.DuplicateExecutions) == 0 }

// run is one scenario being played.
type run struct {
	scenario     Scenario
	options      Options
	startedAt    time.Time // what the clock of the captures counts from
	registry     *registry.Registry
	registryAddr string
	runtime      *runtimeFiles // of workers that are the worker runtime; nil: they are emulated
	workers      []localfleet.Worker
	store        *emulator.Store        // of emulated workers
	executions   *emulator.ExecutionLog // of emulated workers
	clients      *clientPool

	mu              sync.Mutex
	entries         []registry.Entry // of the workers, as the registry was last given them
	instances       []*gatewayInstance
	running         []*gatewayInstance          // by gateway
	cachedEndpoints map[int]registry.WatchEvent // the endpoint list as each gateway last cached it
	deliveries      []checker.Delivery
	captureDisabled bool
	registryServer  io.Closer
}

func newRun(scenario Scenario, options Options, registryAddr string) *run {
	return &run{
		scenario:        scenario,
		options:         options,
		startedAt:       time.Now(),
		registryAddr:    registryAddr,
		store:           emulator.NewStore(scenario.StoreCapacity),
		executions:      emulator.NewExecutionLog(),
		cachedEndpoints: map[int]registry.WatchEvent{},
	}
}

// Play plays a scenario and checks the rules. An error says that it could not be played, not that a rule was violated.
func Play(ctx context.Context, scenario Scenario, options Options) (Result, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	result, err := play(ctx, scenario, options)
	if err != nil {
		return result, fmt.Errorf("play scenario %s: %w", scenario.Name, err)
	}
	return result, nil
}

func play(ctx context.Context, scenario Scenario, options Options) (Result, error) {
	r := newRun(scenario, options, "127.0.0.1:0")
	if options.OutputDir != "" {
		if err := makeEmptyDir(options.OutputDir); err != nil {
			return Result{}, err
		}
	}
	return r.play(ctx)
}

// makeEmptyDir makes a folder, which may exist but must be empty.
func makeEmptyDir(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	if len(files) > 0 {
		return fmt.Errorf("output folder %s is not empty: %d files", dir, len(files))
	}
	return nil
}

func (r *run) play(ctx context.Context) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if r.options.PayrollBinary != "" {
		var err error
		if r.runtime, err = r.startRuntime(); err != nil {
			return Result{}, err
		}
		defer r.runtime.close()
	}
	if err := r.startFleet(ctx); err != nil {
		return Result{}, err
	}
	defer r.stopFleet()
	defer r.crashGateways()
	addrs, err := r.startGateways()
	if err != nil {
		return Result{}, err
	}
	r.clients = newClientPool(r.scenario, addrs, r.options.Config.Fleet.AnswerSlack.Std())
	defer r.clients.close()
	time.Sleep(listSettleTime)

	arrivals := r.scenario.drawArrivals(r.options.Config)
	if err := r.playTimeline(ctx, arrivals); err != nil {
		return Result{}, err
	}
	r.clients.close()
	if err := r.drainGateways(); err != nil {
		return Result{}, err
	}
	return r.result(arrivals)
}

// playTimeline plays arrivals and faults at their times and returns when all of them are over.
func (r *run) playTimeline(ctx context.Context, arrivals []arrival) error {
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, fault := range r.scenario.Faults {
		group.Go(func() error { return r.playFault(ctx, start, fault) })
	}
	group.Go(func() error {
		for i, arrival := range arrivals {
			if err := httpserver.Sleep(ctx, time.Until(start.Add(arrival.at))); err != nil {
				return err
			}
			requestType, _ := r.options.Config.RequestType(arrival.function.Type)
			group.Go(func() error {
				r.clients.runRequest(ctx, arrival, requestType)
				return nil
			})
			if r.options.Progress != nil && i%progressEvery == 0 {
				r.options.Progress(float64(arrival.at) / float64(r.scenario.Duration))
			}
		}
		return nil
	})
	return group.Wait()
}

// result counts what happened, checks the rules and saves what they were checked on.
func (r *run) result(arrivals []arrival) (Result, error) {
	result := Result{Scenario: r.scenario.Name, Clients: r.clients.stats, Arrivals: len(arrivals)}
	for _, instance := range r.instances {
		result.Gateways = addCounts(result.Gateways, instance.finalCounts)
	}
	for _, worker := range r.workers {
		result.WorkerCrashes += worker.Crashes()
	}
	var err error
	if result.DuplicateExecutions, err = r.duplicateExecutions(arrivals); err != nil {
		return result, err
	}
	result.ServedInTimeShare = float64(result.Clients.InTime) / float64(max(1, result.Clients.Requests))
	input := checker.Input{
		Config:     r.options.Config,
		Deliveries: r.deliveries,
		ClockBase:  r.startedAt,
		End:        time.Since(r.startedAt),
	}
	for _, instance := range r.instances {
		input.Captures = append(input.Captures, *instance.capture)
	}
	if result.Verdict, err = checker.Check(input); err != nil {
		return result, err
	}
	if r.options.OutputDir != "" {
		return result, checker.Save(r.options.OutputDir, input)
	}
	return result, nil
}

func addCounts(a, b gateway.Counts) gateway.Counts {
	a.Accepted += b.Accepted
	a.Completed += b.Completed
	a.Rejected += b.Rejected
	a.Failed += b.Failed
	a.ClientsDisconnected += b.ClientsDisconnected
	a.NotAccepted += b.NotAccepted
	a.InvalidRequests += b.InvalidRequests
	a.Attempts += b.Attempts
	a.LoadRequests += b.LoadRequests
	a.Probes += b.Probes
	a.LateOutcomes += b.LateOutcomes
	a.UnmatchedResponses += b.UnmatchedResponses
	a.Connections += b.Connections
	return a
}
