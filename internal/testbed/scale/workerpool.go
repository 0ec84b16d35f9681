package scale

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// Second byte of the loopback addresses of the roles. Each worker and gateway has its own IP address, so that the
// available ports are not exhausted.
const (
	workersNet  = 64 // worker n has 64 + n>>16
	gatewaysNet = 32
)

// loopback returns the loopback address 127.net8.x.y, where x and y are the bytes of number.
func loopback(net8, number int) string {
	return net.IPv4(127, byte(net8), byte(number>>8), byte(number)).String()
}

// workerPool contains the emulated workers of one process and their counters.
type workerPool struct {
	plan    Plan
	first   int // number of the first worker
	workers []*emulatedWorker
	done    sync.WaitGroup

	accepted     atomic.Int64
	open         atomic.Int64
	requests     atomic.Int64
	loads        atomic.Int64
	loadRequests atomic.Int64
	probes       atomic.Int64
	cancels      atomic.Int64
	rejected     atomic.Int64
	controlBytes atomic.Int64
	requestBytes atomic.Int64
}

func newWorkerPool(s setup) (*workerPool, error) {
	p := &workerPool{plan: s.Plan, first: s.First}
	for i := range s.Count {
		number := s.First + i
		random := rand.New(rand.NewPCG(s.Plan.Seed, uint64(number)))
		p.workers = append(p.workers, &emulatedWorker{pool: p, number: number, random: random})
	}
	for _, w := range p.workers {
		if err := w.start(0); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

func (p *workerPool) close() {
	for _, w := range p.workers {
		w.stop()
	}
	p.done.Wait()
}

// endpoints returns the workers' entries for the endpoint list.
func (p *workerPool) endpoints() []discovery.Endpoint {
	endpoints := make([]discovery.Endpoint, len(p.workers))
	for i, w := range p.workers {
		endpoints[i] = w.endpoint
	}
	return endpoints
}

// handle executes a command on some of the workers and returns the endpoints of the workers that it started.
func (p *workerPool) handle(c command) (r reply, err error) {
	for _, number := range c.Stop {
		p.workers[number-p.first].stop()
	}
	for _, number := range c.Silence {
		p.workers[number-p.first].silence()
	}
	for _, number := range c.Start {
		w := p.workers[number-p.first]
		w.stop()
		if err := w.start(time.Now().UnixMilli()); err != nil {
			return r, err
		}
		r.Workers = append(r.Workers, w.endpoint)
	}
	return r, nil
}

func (p *workerPool) counts() *workerCounts {
	return &workerCounts{
		Accepted:        p.accepted.Load(),
		OpenConnections: p.open.Load(),
		Requests:        p.requests.Load(),
		Loads:           p.loads.Load(),
		LoadRequests:    p.loadRequests.Load(),
		Probes:          p.probes.Load(),
		Cancels:         p.cancels.Load(),
		Rejected:        p.rejected.Load(),
		ControlBytes:    p.controlBytes.Load(),
		RequestBytes:    p.requestBytes.Load(),
	}
}

// report returns the resource usage of the process and the counters since its start.
func (p *workerPool) report() (*childReport, error) {
	report, err := ownReport()
	if err != nil {
		return nil, err
	}
	report.Workers = p.counts()
	return report, nil
}

// runWorkers runs the emulated workers of this process and executes the parent's commands.
func runWorkers(p *pipe) error {
	var pool *workerPool
	defer func() {
		if pool != nil {
			pool.close()
		}
	}()
	return p.serve(func(c command) (r reply, err error) {
		switch {
		case c.Setup != nil:
			if pool, err = newWorkerPool(*c.Setup); err == nil {
				r.Workers = pool.endpoints()
			}
			return r, err
		case c.Report:
			r.Report, err = pool.report()
			return r, err
		}
		return pool.handle(c)
	})
}

// workerName returns the name of an incarnation of a worker.
func workerName(number, incarnation int) string { return fmt.Sprintf("s-%05d-%d", number, incarnation) }

// workerNumber returns the number of an endpoint's worker, which is part of the name, or -1 if the name is not one of
// workerName.
func workerNumber(endpoint discovery.Endpoint) int {
	var number, incarnation int
	if _, err := fmt.Sscanf(endpoint.Name, "s-%d-%d", &number, &incarnation); err != nil {
		return -1
	}
	return number
}
