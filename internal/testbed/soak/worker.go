package soak

import (
	"errors"
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
	// maxArgBytes is the maximum size of a command's argument.
	maxArgBytes = 64 << 10
	// writeTimeout is the timeout of a write.
	writeTimeout = 2 * time.Second
	// acceptPollInterval is the interval at which a worker that has paused accepting checks whether it may resume.
	acceptPollInterval = 5 * time.Millisecond
	// resumeWindow is the time after a worker resumes accepting during which new connections may have waited in the
	// backlog.
	resumeWindow = 100 * time.Millisecond
)

// misbehavior is the way in which a worker misbehaves. The zero value is correct behavior.
type misbehavior struct {
	silent     bool          // the worker reads commands, but answers none
	extraDelay time.Duration // added to the execution time of every request
	fails      bool          // requests fail with an error
	rejects    bool          // requests are rejected as by a full worker
	corrupts   bool          // answers are malformed
	duplicates bool          // answers are sent a second time after duplicateDelay
	resets     bool          // the connection is reset after the execution of a request
}

// worker is one incarnation of an emulated worker.
type worker struct {
	checker   *checker
	endpoint  discovery.Endpoint
	startedAt time.Time // zero: started long ago
	listener  net.Listener
	done      sync.WaitGroup

	sender                 func(net.Conn) *gatewayProcess // the gateway at the other end of a connection; nil: unknown
	drainingAnswersQueries bool                           // answer replica queries while draining

	mu              sync.Mutex
	random          *rand.Rand
	misbehavior     misbehavior
	conns           map[net.Conn]bool
	replicas        map[string]time.Time // end of the load of each function's replica
	running         int
	queue           []*job
	cancelled       map[string]bool // cancelled requests, by cancelKey
	drainingSince   time.Time       // when its drain or removal was published; zero: it accepts new work
	recentRequests  []time.Time     // arrival times of the requests in the last crashWindow
	acceptPaused    bool
	acceptResumedAt time.Time
}

// newWorker starts a worker at an address; if addr is empty, at a free port of loopback. A zero startedAt means that
// the worker started long ago.
func newWorker(c *checker, name, addr string, zone int, startedAt time.Time, seed uint64) (*worker, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := listenShortBacklog(addr)
	if err != nil {
		return nil, fmt.Errorf("start worker %s: %w", name, err)
	}
	w := &worker{
		checker:   c,
		startedAt: startedAt,
		listener:  listener,
		random:    rand.New(rand.NewPCG(seed, seed)),
		conns:     map[net.Conn]bool{},
		replicas:  map[string]time.Time{},
		cancelled: map[string]bool{},
		endpoint: discovery.Endpoint{
			Name:  name,
			Addr:  listener.Addr().String(),
			Zone:  fmt.Sprint("zone", zone),
			Kind:  "std",
			State: discovery.Up,
			Size:  1,
		},
	}
	if !startedAt.IsZero() {
		w.endpoint.StartedUnixMilli = startedAt.UnixMilli()
	}
	w.done.Go(w.accept)
	return w, nil
}

// crash ends the worker like a crash of its process: connections are reset and new ones refused.
func (w *worker) crash() {
	w.resumeAccept()
	w.listener.Close()
	w.resetConns()
	w.done.Wait()
}

// vanish makes the worker silent, like a machine that has lost its network: connections stay open, and its address is
// free for another process.
func (w *worker) vanish() {
	w.setMisbehavior(misbehavior{silent: true})
	w.listener.Close()
}

func (w *worker) resetConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		faultproxy.ResetConn(conn)
	}
}

func (w *worker) setMisbehavior(m misbehavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.misbehavior = m
}

// markDraining records when the worker's drain or removal was published; the earlier one counts.
func (w *worker) markDraining(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drainingSince.IsZero() {
		w.drainingSince = at
	}
}

// pauseAccept makes the worker stop accepting connections. Those that don't fit into its short backlog are established
// late or never.
func (w *worker) pauseAccept() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptPaused = true
}

func (w *worker) resumeAccept() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptPaused, w.acceptResumedAt = false, time.Now()
}

func (w *worker) isAcceptPaused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acceptPaused
}

func (w *worker) accept() {
	for {
		for w.isAcceptPaused() {
			time.Sleep(acceptPollInterval)
		}
		conn, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		w.mu.Lock()
		w.conns[conn] = true
		waited := !w.acceptResumedAt.IsZero() && time.Since(w.acceptResumedAt) < resumeWindow
		w.mu.Unlock()
		w.done.Go(func() { w.serve(conn, waited) })
	}
}

// serve handles the commands on a connection. waited means that the connection may have waited in the backlog.
func (w *worker) serve(conn net.Conn, waited bool) {
	accepted := time.Now()
	// The connection is closed for any read error.
	_ = resp.ReadCommands(conn, maxArgBytes, func(args []string, _ int) error {
		return w.handleCommand(conn, args, waited && time.Since(accepted) < resumeWindow)
	})
	conn.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

var errUnknownCommand = errors.New("unknown command")

// handleCommand handles one command. readLate means that the command may have been written long before it was read.
func (w *worker) handleCommand(conn net.Conn, args []string, readLate bool) error {
	now := time.Now()
	switch {
	case args[0] == "FN" && len(args) == 4:
		fields := resp.ParsePairs(args[2])
		wait, _ := strconv.ParseInt(fields["wait"], 10, 64)
		w.checker.attemptReceived(attempt{
			id:             args[1],
			class:          fields["class"],
			body:           args[3],
			idempotencyKey: fields["once"],
			statedTimeLeft: time.Duration(wait) * time.Millisecond,
			receivedAt:     now,
			worker:         w.endpoint.Name,
			drainingSince:  w.drainStart(),
			readLate:       readLate,
		})
		w.handleAttempt(conn, args[1], fields["key"], now)
	case args[0] == "KILL" && len(args) == 2:
		w.mu.Lock()
		w.cancelled[cancelKey(conn, args[1])] = true
		w.mu.Unlock()
	case args[0] == "SPAWN" && len(args) == 3:
		fields := resp.ParsePairs(args[2])
		replicas, err := strconv.Atoi(fields["n"])
		if err != nil || replicas < 0 {
			return errUnknownCommand
		}
		if replicas == 0 {
			w.checker.count(func(counts *Counts) { counts.Queries++ })
			w.handleReplicaQuery(conn, args[1], fields["key"], now)
			return nil
		}
		w.checkLoadRequest(conn, now, readLate)
		w.handleLoadRequest(conn, args[1], fields["key"], now)
	case args[0] == "TOP" && len(args) == 2:
		w.checker.count(func(counts *Counts) { counts.Probes++ })
		w.mu.Lock()
		w.answer(conn, args[1], "yes", "stats="+w.stats(), "")
		w.mu.Unlock()
	case args[0] == "REAP":
	default:
		return errUnknownCommand
	}
	return nil
}

func (w *worker) drainStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainingSince
}

// answer sends an answer, unless the worker is silent; w.mu must be held.
func (w *worker) answer(conn net.Conn, elements ...string) {
	if !w.misbehavior.silent {
		writeAnswer(conn, resp.AppendArray(nil, elements...))
	}
}

// writeAnswer writes an answer, and closes the connection if the write fails.
func writeAnswer(conn net.Conn, frame []byte) {
	if conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	if _, err := conn.Write(frame); err != nil {
		conn.Close()
	}
}

// stats returns the worker's load report; w.mu must be held.
func (w *worker) stats() string {
	return fmt.Sprintf("inflight:%d;pending:%d", w.running, len(w.queue))
}

// number returns the number in the worker's name, by which workers are sorted.
func (w *worker) number() (number int64) {
	_, _ = fmt.Sscanf(w.endpoint.Name, "w%d", &number) // names are assigned by the run and always have a number
	return number
}
