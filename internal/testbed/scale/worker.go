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
	// maxArgBytes is the maximum size of an argument of a command.
	maxArgBytes = 64 << 10
	// writeTimeout is the time limit for writing an answer.
	writeTimeout = 5 * time.Second
	// workersPerCell is the number of workers in a cell.
	workersPerCell = 8
)

// emulatedWorker answers the commands of the worker protocol from a model of slots, a queue, loads and cold starts.
type emulatedWorker struct {
	pool   *workerPool
	number int

	mu          sync.Mutex
	random      *rand.Rand
	incarnation int
	endpoint    discovery.Endpoint
	listener    net.Listener // nil if the worker is stopped
	conns       map[net.Conn]bool
	replicas    map[string]*replica // by function
	running     int
	queue       []*job
	jobs        map[string]*job // by jobKey
	silent      bool            // the worker ignores commands and sends no answers
}

// replica is a function that a worker has loaded or is loading.
type replica struct {
	readyAt   time.Time // end of the load
	expiresAt time.Time // time at which the replica is removed if it stays idle
}

// job is an attempt at a worker.
type job struct {
	conn         net.Conn
	id           string
	key          string // key in emulatedWorker.jobs
	replicaState string
	replica      *replica
	finished     bool // no answer is sent: the attempt was cancelled or its connection has ended
}

func jobKey(conn net.Conn, id string) string { return conn.RemoteAddr().String() + " " + id }

// start starts a new incarnation of the worker, with a new name and without replicas. startedUnixMilli is the start
// time that its endpoint states; 0 means that it started long ago.
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

// stop simulates the end of the worker's process: its connections are reset and new ones are refused.
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

// silence makes the worker ignore all commands and send no answers, like a machine that is cut off from the network.
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

// serve handles the commands of a connection until it ends, and then cancels the connection's attempts.
func (w *emulatedWorker) serve(conn net.Conn) {
	defer w.pool.open.Add(-1)
	// The error is not needed: each one ends the connection.
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
		if j := w.jobs[jobKey(conn, words[1])]; j != nil {
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

// stats returns the worker's load report. The caller holds w.mu, as for all methods below that access the worker's
// state.
func (w *emulatedWorker) stats() string {
	return fmt.Sprintf("inflight:%d;pending:%d", w.running, len(w.queue))
}

// findOrLoadReplica returns the replica of a function and its state in the terms of the worker protocol. If the worker
// has no replica, its load starts.
func (w *emulatedWorker) findOrLoadReplica(function string) (r *replica, state string) {
	now := time.Now()
	r = w.replicas[function]
	switch {
	case r != nil && now.Before(r.readyAt):
		state = "queued"
	case r != nil && now.Before(r.expiresAt):
		state = "ready"
	default:
		w.pool.loads.Add(1)
		r = &replica{readyAt: now.Add(w.randomDuration(w.pool.plan.Workers.MeanLoadTime.Std()))}
		w.replicas[function] = r
		w.removeExpired(now)
		state = "loaded"
	}
	r.expiresAt = latest(now, r.readyAt).Add(w.pool.plan.Workers.ReplicaIdleTimeout.Std())
	return r, state
}

// removeExpired removes expired replicas, which would otherwise accumulate.
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

// randomDuration returns mean/2 plus an exponentially distributed duration with mean mean/2.
func (w *emulatedWorker) randomDuration(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(w.random.ExpFloat64()*float64(mean/2))
}

// handleLoadRequest loads a replica and answers when the load has ended.
func (w *emulatedWorker) handleLoadRequest(conn net.Conn, tag, function, replicas string) {
	r, _ := w.findOrLoadReplica(function)
	if replicas == "" {
		replicas = "1"
	}
	w.after(time.Until(r.readyAt), conn, func() { w.answerControl(conn, tag, "ok", "n="+replicas, "") })
}

// handleAttempt runs a request when its replica is ready and a slot is free. It rejects the request if more than
// QueueLimit requests already wait for a slot.
func (w *emulatedWorker) handleAttempt(conn net.Conn, id, function string) {
	if len(w.queue) >= w.pool.plan.Workers.QueueLimit+1 {
		w.pool.rejected.Add(1)
		w.answer(conn, id, "refused", "stats="+w.stats(), "")
		return
	}
	r, state := w.findOrLoadReplica(function)
	j := &job{conn: conn, id: id, key: jobKey(conn, id), replicaState: state, replica: r}
	w.jobs[j.key] = j
	w.after(time.Until(r.readyAt), conn, func() { w.dispatch(j) })
}

// after calls do after a time, with w.mu held, unless the connection has ended or the worker is silent at that time.
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

// dispatch runs a job, or queues it if no slot is free.
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
	time.AfterFunc(w.randomDuration(w.pool.plan.Workers.MeanRunTime.Std()), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation {
			w.finish(j)
		}
	})
}

// finish answers a job and runs queued ones. The body of the answer is the time when the replica was ready, by which
// the sender recognizes a cold start.
func (w *emulatedWorker) finish(j *job) {
	w.running--
	delete(w.jobs, j.key)
	if !j.finished && !w.silent {
		readyAt := strconv.FormatInt(j.replica.readyAt.UnixNano(), 10)
		w.answer(j.conn, j.id, "ok", "how="+j.replicaState+",stats="+w.stats(), readyAt)
	}
	for len(w.queue) > 0 && w.running < w.pool.plan.Workers.Slots {
		next := w.queue[0]
		w.queue = w.queue[1:]
		if next.finished {
			delete(w.jobs, next.key)
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

// writeAnswer writes an answer and returns its size. If the write fails, it closes the connection.
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
