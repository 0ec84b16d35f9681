package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/discoverytest"
	"lupinpond/internal/testbed/faultproxy"
	"lupinpond/internal/testbed/subprocess"
)

// Report is what a run has found.
type Report struct {
	Counts     Counts
	Violations []Violation
	Injected   []string // what made system calls fail, by front end
}

// run is one run.
type run struct {
	options   Options
	checker   *checker
	discovery *discoverytest.Server
	gateways  []*gatewayProcess
	starter   *subprocess.Starter

	mu               sync.Mutex
	workers          []*worker
	lastWorkerNumber int
	outMu            sync.Mutex
	activeFaults     sync.WaitGroup
}

// Injections that strace makes, each rare enough that a front end goes on.
var injections = []string{
	"accept4:error=ENOBUFS:when=3+7",
	"accept4:error=ECONNABORTED:when=2+5",
	"accept4:error=EMFILE:when=5+11",
	"connect:error=EADDRNOTAVAIL:when=4+9",
	"connect:error=ENETUNREACH:when=6+13",
	"connect:error=ETIMEDOUT:when=5+9",
	"connect:error=EHOSTUNREACH:when=3+17",
	"socket:error=EMFILE:when=9+15",
	"socket:error=ENFILE:when=8+21",
	"epoll_ctl:error=ENOMEM:when=30+41",
	"read:error=EINTR:when=50+23",
	"write:error=EINTR:when=50+29",
}

// Run plays a run. The error is one of the run itself; broken rules are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{options: o, checker: newChecker(), starter: subprocess.NewStarter()}
	defer r.starter.Close()
	watching, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	go r.checker.stalls.watch(watching)
	defer r.close()
	if err := r.setUp(ctx); err != nil {
		return Report{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clientsDone, stopClients := r.startClients()
	r.injectFaults(ctx)
	stop()
	r.activeFaults.Wait()
	stopClients()
	clientsDone.Wait()
	r.checker.checkUnanswered()
	report := Report{Counts: r.checker.counts, Violations: r.checker.violations}
	for _, f := range r.gateways {
		if len(f.wrapper) > 0 {
			report.Injected = append(report.Injected, f.name+" "+f.wrapper[len(f.wrapper)-2])
		}
	}
	return report, nil
}

// logf tells a line of the run.
func (r *run) logf(format string, args ...any) {
	if r.options.Out == nil {
		return
	}
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.options.Out, "%7.2f s  "+format+"\n", append([]any{time.Since(r.checker.startedAt).Seconds()}, args...)...)
}

// setUp starts workers, the list service and the front ends.
func (r *run) setUp(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.options.Seed, 1))
	var lines []discovery.Endpoint
	for range r.options.Workers {
		w, err := newWorker(r.checker, r.nextWorkerName(), "", len(lines)%3, time.Time{}, random.Uint64())
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		lines = append(lines, w.endpoint)
	}
	var err error
	if r.discovery, err = discoverytest.New(lines); err != nil {
		return err
	}
	for i := range r.options.Gateways {
		f, err := r.newGateway(i, random)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, f)
	}
	errs := make([]error, len(r.gateways))
	var starting sync.WaitGroup
	for i, f := range r.gateways {
		starting.Go(func() { errs[i] = f.start(ctx) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

func (r *run) nextWorkerName() string {
	r.lastWorkerNumber++
	return fmt.Sprintf("w%d", r.lastWorkerNumber)
}

func (r *run) newGateway(index int, random *rand.Rand) (*gatewayProcess, error) {
	// an address of its own, so that no connection that leaves from 127.0.0.1 has its port while it is down
	listener, err := net.Listen("tcp", net.JoinHostPort(net.IPv4(127, gatewayNet, byte(index>>8), byte(index)).String(), "0"))
	if err != nil {
		return nil, err
	}
	f := &gatewayProcess{options: r.options, index: index, name: fmt.Sprintf("f%d", index), listen: listener.Addr().String(), checker: r.checker, spawn: r.starter.Start, endpoints: r.endpoints}
	if err := listener.Close(); err != nil {
		return nil, err
	}
	if f.clientProxy, err = faultproxy.New(f.listen); err != nil {
		return nil, err
	}
	for range 2 {
		way, err := faultproxy.New(r.discovery.Addr)
		if err != nil {
			return nil, err
		}
		f.discoveryProxies = append(f.discoveryProxies, way)
	}
	f.discoveryProxy = f.discoveryProxies[0]
	if r.options.InjectSyscallErrors && index%3 == 2 {
		f.wrapper = []string{"strace", "-f", "-q", "--seccomp-bpf", "-o", "/dev/null", "-e", "trace=accept4,connect,socket,epoll_ctl,read,write",
			"-e", "inject=" + injections[random.IntN(len(injections))], "--"}
	}
	return f, nil
}

// gatewayNet is the network of 127/8 in which front ends listen.
const gatewayNet = 33

// endpoints is the list as it stands.
func (r *run) endpoints() ([]discovery.Endpoint, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []discovery.Endpoint
	for _, w := range r.workers {
		lines = append(lines, w.endpoint)
	}
	return lines, r.discovery.Counts().Position
}

// listedWorkers is the workers that are on the list.
func (r *run) listedWorkers() []*worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.workers)
}

// drawWorkers takes workers for a trouble of their own; others don't find them any more.
func (r *run) drawWorkers(random *rand.Rand, n int) (taken []*worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, len(r.workers)-2)
	for range n {
		i := random.IntN(len(r.workers))
		taken = append(taken, r.workers[i])
	}
	slices.SortFunc(taken, func(a, b *worker) int { return int(a.number()) - int(b.number()) })
	return slices.Compact(taken)
}

// publishState publishes the state of workers.
func (r *run) publishState(workers []*worker, state discovery.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []discovery.Endpoint
	for _, w := range workers {
		w.endpoint.State = state
		lines = append(lines, w.endpoint)
		if state == discovery.Removed {
			r.workers = slices.DeleteFunc(r.workers, func(x *worker) bool { return x == w })
		}
	}
	_, at := r.discovery.Publish(lines)
	for _, w := range workers {
		w.markDrained(at)
	}
}

// clockSteps are how far the wall clock of front ends may be off that of the list: to them, that is a step of theirs.
var clockSteps = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// addWorker starts a worker and publishes it; cold: it has just started, else long ago.
func (r *run) addWorker(random *rand.Rand, name, addr string, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		name = r.nextWorkerName()
	}
	born := time.Time{}
	if cold {
		born = time.Now()
	}
	w, err := newWorker(r.checker, name, addr, random.IntN(3), born, random.Uint64())
	if err != nil {
		w, err = newWorker(r.checker, name, "", random.IntN(3), born, random.Uint64())
	}
	if err != nil {
		r.logf("%v", err)
		return
	}
	if cold {
		w.endpoint.StartedUnixMilli = born.Add(clockSteps[random.IntN(len(clockSteps))]).UnixMilli()
	}
	r.workers = append(r.workers, w)
	r.discovery.Publish([]discovery.Endpoint{w.endpoint})
}

// startClients has usual clients come to every front end.
func (r *run) startClients() (done *sync.WaitGroup, stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	done = &sync.WaitGroup{}
	for i, f := range r.gateways {
		c := &clients{gateway: f, checker: r.checker, random: rand.New(rand.NewPCG(r.options.Seed, uint64(100+i)))}
		done.Go(func() { c.run(ctx, r.options.Rate) })
	}
	return done, stop
}

// meanFaultInterval is the mean time between two begins of trouble: most last longer, so that two or three overlap.
const meanFaultInterval = 350 * time.Millisecond

// injectFaults begins troubles until their time is over.
func (r *run) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	var kinds []fault
	for _, t := range faultKinds() {
		for range t.weight {
			kinds = append(kinds, t)
		}
	}
	sleep(ctx, r.options.WarmUp)
	for end := time.Now().Add(r.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		t, own := kinds[random.IntN(len(kinds))], rand.New(rand.NewPCG(random.Uint64(), 3))
		r.checker.count(func(s *Counts) { s.Faults++ })
		r.logf("%s", t.name)
		r.activeFaults.Go(func() { t.inject(r, ctx, own) })
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanFaultInterval)))
	}
	r.activeFaults.Wait()
}

// close ends all that is left.
func (r *run) close() {
	var ending sync.WaitGroup
	for _, f := range r.gateways {
		ending.Go(func() {
			f.stop(syscall.SIGTERM, max(maxWait, 3*time.Second)+700*time.Millisecond)
			f.clientProxy.Close()
			for _, way := range f.discoveryProxies {
				way.Close()
			}
		})
	}
	ending.Wait()
	for _, w := range r.listedWorkers() {
		w.crash()
	}
	if r.discovery != nil {
		_ = r.discovery.Close() // nobody asks any more
	}
}
