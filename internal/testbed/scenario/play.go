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
	// listSettleTime is the time before the first arrival in which the gateways receive the endpoint list.
	listSettleTime = 100 * time.Millisecond
	// progressInterval is the number of arrivals between two calls of Options.Progress.
	progressInterval = 16
)

// Options configures how a scenario is played.
type Options struct {
	Config fleetconfig.File
	Log    *slog.Logger // nil disables logging

	// OutputDir is the folder in which captures, delivered watch events, settings and core recordings are saved. It must
	// be empty or not exist yet. If OutputDir is "", nothing is saved.
	OutputDir string
	// Progress, if not nil, is called every few arrivals with the played part of the scenario, from 0 to 1.
	Progress func(part float64)
	// PayrollBinary is the path of the built example package payroll. If it is set, the scenario is played on the worker
	// runtime with this package, otherwise on emulated workers.
	PayrollBinary string
	// DisablePeerDistribution makes workers of the worker runtime fetch chunks only from the store and not from each
	// other, as a baseline for measurements.
	DisablePeerDistribution bool
}

// Result is the outcome of a played scenario.
type Result struct {
	Scenario            string `json:"Day"`
	Verdict             checker.Verdict
	Clients             ClientStats
	Gateways            gateway.Counts `json:"Gates"`   // sums over all incarnations of all gateways
	DuplicateExecutions []string       `json:"Doubles"` // requests that must run once but ran again at a worker
	WorkerCrashes       int            `json:"Falls"`   // crashes of workers overloaded while warming up
	Arrivals            int
	ServedInTimeShare   float64 `json:"ServiceOf"` // fraction of requests served within their latency objective
}

// Passed reports whether no rule was violated and no request that must run once ran twice.
func (r Result) Passed() bool { return r.Verdict.Passed() && len(r.DuplicateExecutions) == 0 }

// run is the state of a scenario while it is played.
type run struct {
	scenario     Scenario
	options      Options
	startedAt    time.Time // zero point of the captures' clock
	registry     *registry.Registry
	registryAddr string
	runtime      *runtimeFiles // shared by workers of the worker runtime; nil if the workers are emulated
	workers      []localfleet.Worker
	store        *emulator.Store        // used by emulated workers
	executions   *emulator.ExecutionLog // written by emulated workers
	clients      *clientPool

	mu              sync.Mutex
	entries         []registry.Entry            // last registered entry of each worker
	instances       []*gatewayInstance          // all incarnations of all gateways
	running         []*gatewayInstance          // latest incarnation of each gateway
	cachedEndpoints map[int]registry.WatchEvent // last endpoint list that each gateway cached
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

// Play plays a scenario and checks the rules. It returns an error if the scenario could not be played. Violations are
// reported in the result's verdict and not as an error.
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

// makeEmptyDir creates a folder if it doesn't exist, and returns an error if it isn't empty.
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

	arrivals := r.scenario.generateArrivals(r.options.Config)
	if err := r.playTimeline(ctx, arrivals); err != nil {
		return Result{}, err
	}
	r.clients.close()
	if err := r.drainGateways(); err != nil {
		return Result{}, err
	}
	return r.result(arrivals)
}

// playTimeline sends the requests and injects the faults at their times. It returns when all requests are completed and
// all faults have ended.
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
			if r.options.Progress != nil && i%progressInterval == 0 {
				r.options.Progress(float64(arrival.at) / float64(r.scenario.Duration))
			}
		}
		return nil
	})
	return group.Wait()
}

// result sums up the counts of the run, checks the rules and saves the checker's input to Options.OutputDir.
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
