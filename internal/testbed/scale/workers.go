package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/testbed/faultproxy"
)

// Loopback networks of the roles: every worker has an address of its own, so that ports never run out.
const (
	workersNet   = 64 // and the ones after it
	gatewaysNet  = 32
	maxArgBytes  = 64 << 10
	writeTimeout = 5 * time.Second
)

// workerPool are the emulated workers of one process.
type workerPool struct {
	plan    Plan
	first   int
	workers []*emulatedWorker
	done    sync.WaitGroup

	accepted, open, requests, loads, loadRequests, probes, cancels, rejected, controlBytes, requestBytes atomic.Int64
}

// emulatedWorker answers commands from a small model of slots, a queue, loads and cold starts.
type emulatedWorker struct {
	pool        *workerPool
	number      int
	incarnation int // counts its starts
	random      *rand.Rand
	endpoint    discovery.Endpoint

	mu       sync.Mutex
	listener net.Listener // nil: stopped
	conns    map[net.Conn]bool
	replicas map[string]*replica
	running  int
	queue    []*job
	jobs     map[string]*job // by connection and id
	silent   bool
}

// replica is a function loaded, or being loaded, at a worker.
type replica struct {
	readyAt   time.Time // when the load ends or ended
	expiresAt time.Time // idle so long, it is gone
}

// job is one request at a worker.
type job struct {
	conn         net.Conn
	id           string
	name         string // in jobs
	replicaState string
	replica      *replica
	finished     bool
}

func newWorkerPool(s setup) (*workerPool, error) {
	p := &workerPool{plan: s.Plan, first: s.First}
	for i := range s.Count {
		number := s.First + i
		p.workers = append(p.workers, &emulatedWorker{pool: p, number: number, random: rand.New(rand.NewPCG(s.Plan.Seed, uint64(number)))})
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

// endpoints are the workers' lines of the list.
func (p *workerPool) endpoints() []discovery.Endpoint {
	out := make([]discovery.Endpoint, len(p.workers))
	for i, w := range p.workers {
		out[i] = w.endpoint
	}
	return out
}

// handle carries out a command for some of the workers, and tells the lines of those that started.
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
	return &workerCounts{Accepted: p.accepted.Load(), OpenConnections: p.open.Load(), Requests: p.requests.Load(), Loads: p.loads.Load(),
		LoadRequests: p.loadRequests.Load(), Probes: p.probes.Load(), Cancels: p.cancels.Load(), Rejected: p.rejected.Load(),
		ControlBytes: p.controlBytes.Load(), RequestBytes: p.requestBytes.Load()}
}

// start has the worker listen, empty, under a new name.
func (w *emulatedWorker) start(born int64) error {
	host := loopback(workersNet+w.number>>16, w.number&0xffff)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return fmt.Errorf("worker %d: %w", w.number, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	zone := w.number % w.pool.plan.Workers.Zones
	w.endpoint = discovery.Endpoint{Name: fmt.Sprintf("s-%05d-%d", w.number, w.incarnation), Addr: listener.Addr().String(), Zone: fmt.Sprint("zone", zone),
		Kind: "std", Cell: w.number / 8, State: discovery.Up, Size: 1, StartedUnixMilli: born}
	w.listener, w.conns, w.replicas, w.jobs = listener, map[net.Conn]bool{}, map[string]*replica{}, map[string]*job{}
	w.running, w.queue, w.silent = 0, nil, false
	w.pool.done.Add(1)
	go w.accept(listener)
	return nil
}

// stop ends the worker as a process that dies does: its connections are reset, new ones refused.
func (w *emulatedWorker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	w.listener.Close()
	w.listener = nil
	for conn := range w.conns {
		faultproxy.ResetConn(conn)
	}
	for _, j := range w.jobs {
		j.finished = true
	}
}

// silence has the worker swallow what comes and answer nothing, as a machine that is cut off.
func (w *emulatedWorker) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
}

func (w *emulatedWorker) accept(listener net.Listener) {
	defer w.pool.done.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.listener != listener {
			w.mu.Unlock()
			conn.Close()
			return
		}
		w.conns[conn] = true
		w.mu.Unlock()
		w.pool.accepted.Add(1)
		w.pool.open.Add(1)
		w.pool.done.Add(1)
		go w.serve(conn)
	}
}

// serve reads commands until the connection ends, which gives up all that is open on it.
func (w *emulatedWorker) serve(conn net.Conn) {
	defer w.pool.done.Done()
	defer w.pool.open.Add(-1)
	defer func() {
		conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		for _, j := range w.jobs {
			j.finished = j.finished || j.conn == conn
		}
		w.mu.Unlock()
	}()
	_ = resp.ReadCommands(conn, maxArgBytes, func(words []string, size int) error { // whatever ends it, the connection is over
		w.handleCommand(conn, words, int64(size))
		return nil
	})
}

// handleCommand takes one command.
func (w *emulatedWorker) handleCommand(conn net.Conn, words []string, size int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	switch {
	case words[0] == "FN" && len(words) == 4:
		w.pool.requests.Add(1)
		w.pool.requestBytes.Add(size)
		w.handleAttempt(conn, words[1], resp.ParsePairs(words[2])["key"])
	case words[0] == "KILL" && len(words) == 2:
		w.pool.cancels.Add(1)
		w.pool.requestBytes.Add(size)
		if j := w.jobs[jobName(conn, words[1])]; j != nil {
			j.finished = true
		}
	case words[0] == "SPAWN" && len(words) == 3:
		w.pool.loadRequests.Add(1)
		w.pool.controlBytes.Add(size)
		fields := resp.ParsePairs(words[2])
		w.handleLoadRequest(conn, words[1], fields["key"], fields["n"])
	case words[0] == "TOP" && len(words) == 2:
		w.pool.probes.Add(1)
		w.pool.controlBytes.Add(size)
		w.control(conn, words[1], "yes", "stats="+w.stats(), "")
	case words[0] == "REAP" && len(words) == 2:
		delete(w.replicas, words[1])
	default:
		conn.Close()
	}
}

func jobName(conn net.Conn, id string) string { return conn.RemoteAddr().String() + " " + id }

func (w *emulatedWorker) stats() string {
	return fmt.Sprintf("inflight:%d;pending:%d", w.running, len(w.queue))
}

// replica finds the replica of a function, or begins to load one.
func (w *emulatedWorker) replica(key string) (r *replica, how string) {
	now := time.Now()
	r = w.replicas[key]
	switch {
	case r != nil && now.Before(r.readyAt):
		how = "queued"
	case r != nil && now.Before(r.expiresAt):
		how = "ready"
	default:
		w.pool.loads.Add(1)
		r = &replica{readyAt: now.Add(w.around(w.pool.plan.Workers.MeanLoadTime.Std()))}
		w.replicas[key] = r
		w.sweep(now)
		how = "loaded"
	}
	r.expiresAt = latest(now, r.readyAt).Add(w.pool.plan.Workers.ReplicaIdleTimeout.Std())
	return r, how
}

// sweep forgets replicas that are gone, so that a worker does not grow for good.
func (w *emulatedWorker) sweep(now time.Time) {
	for key, r := range w.replicas {
		if now.After(r.expiresAt) && !r.expiresAt.IsZero() {
			delete(w.replicas, key)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// around draws a time around a mean: half of it at the least.
func (w *emulatedWorker) around(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(w.random.ExpFloat64()*float64(mean/2))
}

// handleLoadRequest loads a replica and answers when it stands.
func (w *emulatedWorker) handleLoadRequest(conn net.Conn, tag, key, n string) {
	r, _ := w.replica(key)
	if n == "" {
		n = "1"
	}
	w.later(time.Until(r.readyAt), conn, func() { w.control(conn, tag, "ok", "n="+n, "") })
}

// handleAttempt runs a request once its replica stands and a slot is free.
func (w *emulatedWorker) handleAttempt(conn net.Conn, id, key string) {
	if len(w.queue) >= w.pool.plan.Workers.QueueLimit+1 {
		w.pool.rejected.Add(1)
		w.answer(conn, id, "refused", "stats="+w.stats(), "")
		return
	}
	r, how := w.replica(key)
	j := &job{conn: conn, id: id, name: jobName(conn, id), replicaState: how, replica: r}
	w.jobs[j.name] = j
	w.later(time.Until(r.readyAt), conn, func() { w.ready(j) })
}

// later has something done with the worker's lock held, unless its connection is gone by then.
func (w *emulatedWorker) later(wait time.Duration, conn net.Conn, do func()) {
	if wait <= 0 {
		do()
		return
	}
	time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.conns[conn] && !w.silent {
			do()
		}
	})
}

// ready has a job run, or wait for a slot.
func (w *emulatedWorker) ready(j *job) {
	if w.running >= w.pool.plan.Workers.Slots {
		w.queue = append(w.queue, j)
		return
	}
	w.run(j)
}

func (w *emulatedWorker) run(j *job) {
	w.running++
	life := w.incarnation
	time.AfterFunc(w.around(w.pool.plan.Workers.MeanRunTime.Std()), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != life {
			return
		}
		w.finish(j)
	})
}

// finish answers a job and runs the next one. The body tells when the replica stood, so that who asked knows a cold start.
func (w *emulatedWorker) finish(j *job) {
	w.running--
	delete(w.jobs, j.name)
	if !j.finished && !w.silent {
		w.answer(j.conn, j.id, "ok", "how="+j.replicaState+",stats="+w.stats(), strconv.FormatInt(j.replica.readyAt.UnixNano(), 10))
	}
	for len(w.queue) > 0 && w.running < w.pool.plan.Workers.Slots {
		next := w.queue[0]
		w.queue = w.queue[1:]
		if next.finished {
			delete(w.jobs, next.name)
			continue
		}
		w.run(next)
	}
}

func (w *emulatedWorker) answer(conn net.Conn, words ...string) {
	w.pool.requestBytes.Add(w.write(conn, words))
}

func (w *emulatedWorker) control(conn net.Conn, words ...string) {
	w.pool.controlBytes.Add(w.write(conn, words))
}

// write writes an answer; one that can't be written ends its connection.
func (w *emulatedWorker) write(conn net.Conn, words []string) int64 {
	frame := resp.AppendArray(nil, words...)
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0
	}
	if _, err := conn.Write(frame); err != nil {
		conn.Close()
	}
	return int64(len(frame))
}

// runWorkers plays the role of workers.
func runWorkers(_ context.Context, p *pipe) error {
	var pool *workerPool
	defer func() {
		if pool != nil {
			pool.close()
		}
	}()
	return p.serve(func(c command) (r reply, err error) {
		if c.Setup != nil {
			if pool, err = newWorkerPool(*c.Setup); err == nil {
				r.Workers = pool.endpoints()
			}
			return r, err
		}
		if c.Report {
			report, err := ownReport()
			if err != nil {
				return r, err
			}
			report.Workers = pool.counts()
			return reply{Report: report}, nil
		}
		return pool.handle(c)
	})
}

// workerNumber is the number of the worker that a line is of; its name holds it.
func workerNumber(line discovery.Endpoint) int {
	var number, life int
	if _, err := fmt.Sscanf(line.Name, "s-%d-%d", &number, &life); err != nil {
		return -1
	}
	return number
}

// loopback is an address of 127/8 by a number; each has its own ports.
func loopback(net8, number int) string {
	return net.IPv4(127, byte(net8), byte(number>>8), byte(number)).String()
}
