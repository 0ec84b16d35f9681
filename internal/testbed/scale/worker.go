package scale

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/testbed/faultproxy"
)

const (
	// maxArgBytes bounds an argument of a command.
	maxArgBytes = 64 << 10
	// writeTimeout bounds a write.
	writeTimeout = 5 * time.Second
	// workersPerCell is how many workers stand in a cell.
	workersPerCell = 8
)

// emulatedWorker answers commands from a small model of slots, a queue, loads and cold starts.
type emulatedWorker struct {
	pool   *workerPool
	number int

	mu          sync.Mutex
	random      *rand.Rand
	incarnation int
	endpoint    discovery.Endpoint
	listener    net.Listener // nil: stopped
	conns       map[net.Conn]bool
	replicas    map[string]*replica // by function
	running     int
	queue       []*job
	jobs        map[string]*job // by connection and id
	silent      bool
}

// replica is a function loaded, or being loaded, at a worker.
type replica struct {
	readyAt   time.Time // when the load ends or ended
	expiresAt time.Time // idle so long, it is removed
}

// job is one attempt at a worker.
type job struct {
	conn         net.Conn
	id           string
	name         string // in emulatedWorker.jobs
	replicaState string
	replica      *replica
	finished     bool
}

func jobName(conn net.Conn, id string) string { return conn.RemoteAddr().String() + " " + id }

// start has the worker listen, empty, under a new name. The start is in Unix milliseconds; 0: long ago.
func (w *emulatedWorker) start(startedUnixMilli int64) error {
	host := loopback(workersNet+w.number>>16, w.number&0xffff)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return fmt.Errorf("start worker %d: %w", w.number, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.endpoint = discovery.Endpoint{
		Name:             workerName(w.number, w.incarnation),
		Addr:             listener.Addr().String(),
		Zone:             fmt.Sprint("zone", w.number%w.pool.plan.Workers.Zones),
		Kind:             "std",
		Cell:             w.number / workersPerCell,
		State:            discovery.Up,
		Size:             1,
		StartedUnixMilli: startedUnixMilli,
	}
	w.listener, w.conns = listener, map[net.Conn]bool{}
	w.replicas, w.jobs = map[string]*replica{}, map[string]*job{}
	w.running, w.queue, w.silent = 0, nil, false
	w.pool.done.Go(func() { w.accept(listener) })
	return nil
}

// stop ends the worker as the end of its process does: its connections are reset, new ones refused.
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
		w.pool.done.Go(func() { w.serve(conn) })
	}
}

// serve reads commands until the connection ends, which cancels all that is open on it.
func (w *emulatedWorker) serve(conn net.Conn) {
	defer w.pool.open.Add(-1)
	// whatever ends the reading, the connection is over
	_ = resp.ReadCommands(conn, maxArgBytes, func(words []string, size int) error {
		w.handleCommand(conn, words, int64(size))
		return nil
	})
	conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
	for _, j := range w.jobs {
		j.finished = j.finished || j.conn == conn
	}
}

// handleCommand handles one command.
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
		w.answerControl(conn, words[1], "yes", "stats="+w.stats(), "")
	case words[0] == "REAP" && len(words) == 2:
		delete(w.replicas, words[1])
	default:
		conn.Close()
	}
}

// stats is the worker's load as it tells it; w.mu is held, here and in what follows.
func (w *emulatedWorker) stats() string {
	return fmt.Sprintf("inflight:%d;pending:%d", w.running, len(w.queue))
}

// replica finds the replica of a function, or begins to load one.
func (w *emulatedWorker) replica(function string) (r *replica, state string) {
	now := time.Now()
	r = w.replicas[function]
	switch {
	case r != nil && now.Before(r.readyAt):
		state = "queued"
	case r != nil && now.Before(r.expiresAt):
		state = "ready"
	default:
		w.pool.loads.Add(1)
		r = &replica{readyAt: now.Add(w.drawAround(w.pool.plan.Workers.MeanLoadTime.Std()))}
		w.replicas[function] = r
		w.removeExpired(now)
		state = "loaded"
	}
	r.expiresAt = latest(now, r.readyAt).Add(w.pool.plan.Workers.ReplicaIdleTimeout.Std())
	return r, state
}

// removeExpired forgets replicas that have expired, so that a worker does not grow for good.
func (w *emulatedWorker) removeExpired(now time.Time) {
	for function, r := range w.replicas {
		if now.After(r.expiresAt) && !r.expiresAt.IsZero() {
			delete(w.replicas, function)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drawAround draws a duration around a mean: half of it at the least.
func (w *emulatedWorker) drawAround(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(w.random.ExpFloat64()*float64(mean/2))
}

// handleLoadRequest loads a replica and answers when it is ready.
func (w *emulatedWorker) handleLoadRequest(conn net.Conn, tag, function, replicas string) {
	r, _ := w.replica(function)
	if replicas == "" {
		replicas = "1"
	}
	w.after(time.Until(r.readyAt), conn, func() { w.answerControl(conn, tag, "ok", "n="+replicas, "") })
}

// handleAttempt runs a request once its replica is ready and a slot is free.
func (w *emulatedWorker) handleAttempt(conn net.Conn, id, function string) {
	if len(w.queue) >= w.pool.plan.Workers.QueueLimit+1 {
		w.pool.rejected.Add(1)
		w.answer(conn, id, "refused", "stats="+w.stats(), "")
		return
	}
	r, state := w.replica(function)
	j := &job{conn: conn, id: id, name: jobName(conn, id), replicaState: state, replica: r}
	w.jobs[j.name] = j
	w.after(time.Until(r.readyAt), conn, func() { w.dispatch(j) })
}

// after has something done with w.mu held after a time, unless its connection has ended by then.
func (w *emulatedWorker) after(wait time.Duration, conn net.Conn, do func()) {
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

// dispatch has a job run, or wait for a slot.
func (w *emulatedWorker) dispatch(j *job) {
	if w.running >= w.pool.plan.Workers.Slots {
		w.queue = append(w.queue, j)
		return
	}
	w.run(j)
}

func (w *emulatedWorker) run(j *job) {
	w.running++
	incarnation := w.incarnation
	time.AfterFunc(w.drawAround(w.pool.plan.Workers.MeanRunTime.Std()), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation {
			w.finish(j)
		}
	})
}

// finish answers a job and runs the next one. The body tells when the replica was ready, so that the sender knows a
// cold start.
func (w *emulatedWorker) finish(j *job) {
	w.running--
	delete(w.jobs, j.name)
	if !j.finished && !w.silent {
		readyAt := strconv.FormatInt(j.replica.readyAt.UnixNano(), 10)
		w.answer(j.conn, j.id, "ok", "how="+j.replicaState+",stats="+w.stats(), readyAt)
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

// answer answers an attempt.
func (w *emulatedWorker) answer(conn net.Conn, words ...string) {
	w.pool.requestBytes.Add(writeAnswer(conn, words))
}

// answerControl answers a load request or a probe.
func (w *emulatedWorker) answerControl(conn net.Conn, words ...string) {
	w.pool.controlBytes.Add(writeAnswer(conn, words))
}

// writeAnswer writes an answer; one that can't be written ends its connection.
func writeAnswer(conn net.Conn, words []string) (size int64) {
	frame := resp.AppendArray(nil, words...)
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0
	}
	if _, err := conn.Write(frame); err != nil {
		conn.Close()
	}
	return int64(len(frame))
}
