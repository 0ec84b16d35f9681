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
	Sums       Sums
	Violations []Violation
	Injected   []string // what made system calls fail, by front end
}

// run is one run.
type run struct {
	o       Options
	ledger  *ledger
	list    *discoverytest.Service
	fronts  []*front
	starter *subprocess.Starter

	mu      sync.Mutex
	workers []*worker
	named   int
	outMu   sync.Mutex
	playing sync.WaitGroup
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
	r := &run{o: o, ledger: newLedger(), starter: subprocess.NewStarter()}
	defer r.starter.Close()
	watching, unwatch := context.WithCancel(context.Background())
	defer unwatch()
	go r.ledger.stalls.watch(watching)
	defer r.close()
	if err := r.setUp(ctx); err != nil {
		return Report{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clientsDone, stopClients := r.startClients()
	r.play(ctx)
	stop()
	r.playing.Wait()
	stopClients()
	clientsDone.Wait()
	r.ledger.settle()
	report := Report{Sums: r.ledger.sums, Violations: r.ledger.violations}
	for _, f := range r.fronts {
		if len(f.inject) > 0 {
			report.Injected = append(report.Injected, f.name+" "+f.inject[len(f.inject)-2])
		}
	}
	return report, nil
}

// say tells a line of the run.
func (r *run) say(format string, args ...any) {
	if r.o.Out == nil {
		return
	}
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.o.Out, "%7.2f s  "+format+"\n", append([]any{time.Since(r.ledger.began).Seconds()}, args...)...)
}

// setUp starts workers, the list service and the front ends.
func (r *run) setUp(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.o.Seed, 1))
	var lines []discovery.Endpoint
	for range r.o.Workers {
		w, err := newWorker(r.ledger, r.name(), "", len(lines)%3, time.Time{}, random.Uint64())
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		lines = append(lines, w.line)
	}
	var err error
	if r.list, err = discoverytest.New(lines); err != nil {
		return err
	}
	for i := range r.o.Processes {
		f, err := r.newFront(i, random)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
	}
	errs := make([]error, len(r.fronts))
	var starting sync.WaitGroup
	for i, f := range r.fronts {
		starting.Go(func() { errs[i] = f.start(ctx) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

func (r *run) name() string {
	r.named++
	return fmt.Sprintf("w%d", r.named)
}

func (r *run) newFront(index int, random *rand.Rand) (*front, error) {
	// an address of its own, so that no connection that leaves from 127.0.0.1 has its port while it is down
	listener, err := net.Listen("tcp", net.JoinHostPort(net.IPv4(127, frontNet, byte(index>>8), byte(index)).String(), "0"))
	if err != nil {
		return nil, err
	}
	f := &front{o: r.o, index: index, name: fmt.Sprintf("f%d", index), listen: listener.Addr().String(), ledger: r.ledger, spawn: r.starter.Start, known: r.known}
	if err := listener.Close(); err != nil {
		return nil, err
	}
	if f.clients, err = faultproxy.New(f.listen); err != nil {
		return nil, err
	}
	for range 2 {
		way, err := faultproxy.New(r.list.Addr)
		if err != nil {
			return nil, err
		}
		f.ways = append(f.ways, way)
	}
	f.journal = f.ways[0]
	if r.o.Inject && index%3 == 2 {
		f.inject = []string{"strace", "-f", "-q", "--seccomp-bpf", "-o", "/dev/null", "-e", "trace=accept4,connect,socket,epoll_ctl,read,write",
			"-e", "inject=" + injections[random.IntN(len(injections))], "--"}
	}
	return f, nil
}

// frontNet is the network of 127/8 in which front ends listen.
const frontNet = 33

// known is the list as it stands.
func (r *run) known() ([]discovery.Endpoint, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []discovery.Endpoint
	for _, w := range r.workers {
		lines = append(lines, w.line)
	}
	return lines, r.list.Counts().Position
}

// fleet is the workers that are on the list.
func (r *run) fleet() []*worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.workers)
}

// take takes workers for a trouble of their own; others don't find them any more.
func (r *run) take(random *rand.Rand, n int) (taken []*worker) {
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

// tell publishes the state of workers.
func (r *run) tell(workers []*worker, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []discovery.Endpoint
	for _, w := range workers {
		w.line.State = state
		lines = append(lines, w.line)
		if state == discovery.Removed {
			r.workers = slices.DeleteFunc(r.workers, func(x *worker) bool { return x == w })
		}
	}
	_, at := r.list.Publish(lines)
	for _, w := range workers {
		w.drain(at)
	}
}

// clockSteps are how far the wall clock of front ends may be off that of the list: to them, that is a step of theirs.
var clockSteps = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// add starts a worker and publishes it; cold: it has just started, else long ago.
func (r *run) add(random *rand.Rand, name, addr string, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		name = r.name()
	}
	born := time.Time{}
	if cold {
		born = time.Now()
	}
	w, err := newWorker(r.ledger, name, addr, random.IntN(3), born, random.Uint64())
	if err != nil {
		w, err = newWorker(r.ledger, name, "", random.IntN(3), born, random.Uint64())
	}
	if err != nil {
		r.say("%v", err)
		return
	}
	if cold {
		w.line.StartedUnixMilli = born.Add(clockSteps[random.IntN(len(clockSteps))]).UnixMilli()
	}
	r.workers = append(r.workers, w)
	r.list.Publish([]discovery.Endpoint{w.line})
}

// startClients has usual clients come to every front end.
func (r *run) startClients() (done *sync.WaitGroup, stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	done = &sync.WaitGroup{}
	for i, f := range r.fronts {
		c := &clients{front: f, ledger: r.ledger, random: rand.New(rand.NewPCG(r.o.Seed, uint64(100+i)))}
		done.Go(func() { c.run(ctx, r.o.Rate) })
	}
	return done, stop
}

// troublePause is the mean time between two begins of trouble: most last longer, so that two or three overlap.
const troublePause = 350 * time.Millisecond

// play begins troubles until their time is over.
func (r *run) play(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.o.Seed, 2))
	var kinds []trouble
	for _, t := range troubles() {
		for range t.weight {
			kinds = append(kinds, t)
		}
	}
	sleep(ctx, r.o.Quiet)
	for end := time.Now().Add(r.o.For); time.Now().Before(end) && ctx.Err() == nil; {
		t, own := kinds[random.IntN(len(kinds))], rand.New(rand.NewPCG(random.Uint64(), 3))
		r.ledger.count(func(s *Sums) { s.Troubles++ })
		r.say("%s", t.name)
		r.playing.Go(func() { t.play(r, ctx, own) })
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(troublePause)))
	}
	r.playing.Wait()
}

// close ends all that is left.
func (r *run) close() {
	var ending sync.WaitGroup
	for _, f := range r.fronts {
		ending.Go(func() {
			f.stop(syscall.SIGTERM, max(longest, 3*time.Second)+700*time.Millisecond)
			f.clients.Close()
			for _, way := range f.ways {
				way.Close()
			}
		})
	}
	ending.Wait()
	for _, w := range r.fleet() {
		w.die()
	}
	if r.list != nil {
		_ = r.list.Close() // nobody asks any more
	}
}
