package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/discoverytest"
	"lupinpond/internal/testbed/faultproxy"
	"lupinpond/internal/testbed/subprocess"
)

const (
	// zones is the number of zones among which workers are distributed.
	zones = 3
	// gatewayNet is the second byte of the addresses in 127/8 at which gateways listen.
	gatewayNet = 33
	// meanFaultInterval is the mean time between the starts of two faults. Most faults last longer, so that two or three
	// overlap.
	meanFaultInterval = 350 * time.Millisecond
)

// The random number streams of a run.
const (
	setUpStream         = 1
	faultScheduleStream = 2
	faultStream         = 3
	clientsStream       = 100 // one stream per gateway, starting with this one
)

// syscallErrors are the inject expressions of strace that make system calls fail, each rarely enough that a gateway
// keeps working.
var syscallErrors = []string{
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

// run is the state of one run.
type run struct {
	options        Options
	checker        *checker
	discovery      *discoverytest.Server
	gateways       []*gatewayProcess
	starter        *subprocess.Starter
	activeFaults   sync.WaitGroup
	rateMultiplier rateMultiplier

	mu               sync.Mutex
	workers          []*worker // workers on the endpoint list
	lastWorkerNumber int

	outMu sync.Mutex
}

// Run executes a run. Violations are in the report; an error means that the run itself failed.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, checker: newChecker(), starter: subprocess.NewStarter()}
	defer r.starter.Close()
	defer r.checker.stalls.startWatch()()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stopClients := r.startClients()
	if r.options.Outage != nil {
		r.playOutage(ctx, *r.options.Outage)
	} else {
		r.injectFaults(ctx)
	}
	stop()
	r.activeFaults.Wait()
	stopClients()
	r.checker.checkUnanswered()
	report := r.checker.report()
	r.checker.addServedShares(&report)
	r.checker.addFloods(&report)
	for _, gateway := range r.gateways {
		if len(gateway.wrapper) > 0 {
			report.Injected = append(report.Injected, gateway.name+" "+gateway.wrapper[len(gateway.wrapper)-2])
		}
	}
	return report, nil
}

// logf writes a line with the elapsed time to the run's output, if there is one.
func (r *run) logf(format string, args ...any) {
	if r.options.Out == nil {
		return
	}
	r.outMu.Lock()
	defer r.outMu.Unlock()
	elapsed := time.Since(r.checker.startedAt).Seconds()
	_, _ = fmt.Fprintf(r.options.Out, "%7.2f s  "+format+"\n", append([]any{elapsed}, args...)...)
}

// start starts the workers, the discovery service and the gateways.
func (r *run) start(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.options.Seed, setUpStream))
	var endpoints []discovery.Endpoint
	for i := range r.options.Workers {
		w, err := r.newWorker(r.nextWorkerName(), "", i%zones, time.Time{}, random.Uint64())
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		endpoints = append(endpoints, w.endpoint)
	}
	var err error
	if r.discovery, err = discoverytest.New(endpoints); err != nil {
		return err
	}
	for i := range r.options.Gateways {
		gateway, err := r.newGateway(i, random)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, gateway)
	}
	errs := make([]error, len(r.gateways))
	var starting sync.WaitGroup
	for i, gateway := range r.gateways {
		starting.Go(func() { errs[i] = gateway.start(ctx) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

func (r *run) newGateway(index int, random *rand.Rand) (*gatewayProcess, error) {
	listen, err := gatewayAddr(index)
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{
		options:   r.options,
		index:     index,
		name:      fmt.Sprintf("f%d", index),
		limits:    limitsOf(index),
		listen:    listen,
		checker:   r.checker,
		spawn:     r.starter.Start,
		endpoints: r.endpoints,
	}
	if g.clientProxy, err = faultproxy.New(g.listen); err != nil {
		return nil, err
	}
	if g.discoveryUplink, err = faultproxy.New(r.discovery.Addr); err != nil {
		return nil, err
	}
	for range 2 {
		proxy, err := faultproxy.New(g.discoveryUplink.Addr())
		if err != nil {
			return nil, err
		}
		g.discoveryProxies = append(g.discoveryProxies, proxy)
	}
	g.discoveryProxy = g.discoveryProxies[0]
	if r.options.InjectSyscallErrors && index%3 == 2 {
		g.wrapper = []string{"strace", "-f", "-q", "--seccomp-bpf", "-o", "/dev/null",
			"-e", "trace=accept4,connect,socket,epoll_ctl,read,write",
			"-e", "inject=" + syscallErrors[random.IntN(len(syscallErrors))], "--"}
	}
	return g, nil
}

// gatewayAddr returns a free address for a gateway. Each gateway has its own host address, so that no outgoing
// connection from 127.0.0.1 can take its port while the gateway is down.
func gatewayAddr(index int) (string, error) {
	host := net.IPv4(127, gatewayNet, byte(index>>8), byte(index)).String()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// startClients starts the well-behaved clients of every gateway; stop ends them and waits for open requests.
func (r *run) startClients() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i, gateway := range r.gateways {
		c := &clients{
			gateway:        gateway,
			checker:        r.checker,
			rateMultiplier: &r.rateMultiplier,
			random:         rand.New(rand.NewPCG(r.options.Seed, clientsStream+uint64(i))),
		}
		done.Go(func() { c.run(ctx, r.options.Rate) })
	}
	return func() {
		cancel()
		done.Wait()
	}
}

// injectFaults starts random faults for Options.Duration, and waits until all have ended.
func (r *run) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, faultScheduleStream))
	var weighted []fault
	for _, kind := range faultKinds() {
		for range kind.weight {
			weighted = append(weighted, kind)
		}
	}
	sleep(ctx, r.options.WarmUp)
	for end := time.Now().Add(r.options.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		selected, faultRandom := weighted[random.IntN(len(weighted))], rand.New(rand.NewPCG(random.Uint64(), faultStream))
		r.checker.count(func(counts *Counts) { counts.Faults++ })
		r.logf("%s", selected.name)
		r.activeFaults.Go(func() { selected.inject(r, ctx, faultRandom) })
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanFaultInterval)))
	}
	r.activeFaults.Wait()
}

// close stops the gateways, the proxies, the workers and the discovery service.
func (r *run) close() {
	var closing sync.WaitGroup
	for _, gateway := range r.gateways {
		closing.Go(func() {
			gateway.stop(syscall.SIGTERM, r.options.stopTimeout())
			gateway.clientProxy.Close()
			for _, proxy := range gateway.discoveryProxies {
				proxy.Close()
			}
			gateway.discoveryUplink.Close()
		})
	}
	closing.Wait()
	for _, w := range r.listedWorkers() {
		w.crash()
	}
	if r.discovery != nil {
		_ = r.discovery.Close() // no gateway polls any more
	}
}
