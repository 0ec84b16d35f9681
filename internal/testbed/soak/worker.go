package soak

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/testbed/faultproxy"
)

// attempt is a request as it came to a worker.
type attempt struct {
	id, class, body, idempotencyKey string
	statedTimeLeft                  time.Duration
	receivedAt                      time.Time // its last byte was read
	worker                          string
	drainedAt                       time.Time // when the list told that the worker drains; zero: it does not
	readLate                        bool      // the worker let the connection wait: it can't judge when the request was written
}

// misbehavior is how a worker misbehaves. The zero value is well.
type misbehavior struct {
	silent     bool          // it reads and answers nothing
	extraDelay time.Duration // every run takes that much more
	fails      bool          // it answers with errors
	refuses    bool          // it is full
	corrupts   bool          // answers can't be read
	duplicates bool          // answers come a second time a little later
	resets     bool          // it runs the request, then resets the connection
}

// worker is one life of an emulated worker.
type worker struct {
	checker   *checker
	endpoint  discovery.Endpoint
	startedAt time.Time // zero: long ago
	listener  net.Listener
	done      sync.WaitGroup

	mu              sync.Mutex
	random          *rand.Rand
	misbehavior     misbehavior
	conns           map[net.Conn]bool
	replicas        map[string]time.Time // by function: when its load ends
	running         int
	queue           []*job
	cancelled       map[string]bool // requests given up, by connection and id
	drainedAt       time.Time       // when the list told that it drains or is gone; zero: it does not
	recentRequests  []time.Time     // requests of the last fallWithin
	acceptPaused    bool            // no connection is accepted
	acceptResumedAt time.Time       // when that ended last
}

// job is a request at a worker.
type job struct {
	conn           net.Conn
	id, name       string
	slow           bool // of a function whose runs are long
	replicaState   string
	replicaReadyAt time.Time
}

const (
	slots        = 8
	maxQueued    = 32
	meanRunTime  = 8 * time.Millisecond
	extraRunTime = 200 * time.Millisecond // more, of a function whose runs are long
	loadTime     = 60 * time.Millisecond
	maxArgBytes  = 64 << 10
	writeTimeout = 2 * time.Second
)

// newWorker starts a worker at an address; an empty one is a free port.
func newWorker(l *checker, name, addr string, zone int, born time.Time, seed uint64) (*worker, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := listenShortBacklog(addr)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", name, err)
	}
	w := &worker{checker: l, startedAt: born, listener: listener, random: rand.New(rand.NewPCG(seed, seed)), conns: map[net.Conn]bool{},
		replicas: map[string]time.Time{}, cancelled: map[string]bool{}}
	w.endpoint = discovery.Endpoint{Name: name, Addr: listener.Addr().String(), Zone: fmt.Sprint("zone", zone), Kind: "std", State: discovery.Up, Size: 1}
	if !born.IsZero() {
		w.endpoint.StartedUnixMilli = born.UnixMilli()
	}
	w.done.Add(1)
	go w.accept()
	return w, nil
}

// listenBacklog is how many connections wait to be accepted.
const listenBacklog = 4

// listenShortBacklog listens at an address of loopback with a short queue.
func listenShortBacklog(addr string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // the listener has its own descriptor
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := syscall.Listen(fd, listenBacklog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}

// crash ends it as a process that dies does: its connections are reset, new ones refused.
func (w *worker) crash() {
	w.pauseAccept(false)
	w.listener.Close()
	w.resetAll()
	w.done.Wait()
}

func (w *worker) resetAll() {
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

// markDrained notes that the list tells it as draining or gone.
func (w *worker) markDrained(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drainedAt.IsZero() {
		w.drainedAt = at
	}
}

// pauseAccept has it accept no connection: those that find no room in its short queue come up late, or never.
func (w *worker) pauseAccept(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptPaused = on
	if !on {
		w.acceptResumedAt = time.Now()
	}
}

func (w *worker) isAcceptPaused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acceptPaused
}

func (w *worker) accept() {
	defer w.done.Done()
	for {
		for w.isAcceptPaused() {
			time.Sleep(5 * time.Millisecond)
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
		w.done.Add(1)
		go w.serve(conn, waited)
	}
}

// resumeWindow is how long after it accepts again connections come that may have waited.
const resumeWindow = 100 * time.Millisecond

func (w *worker) serve(conn net.Conn, waited bool) {
	defer w.done.Done()
	accepted := time.Now()
	_ = resp.ReadCommands(conn, maxArgBytes, func(words []string, _ int) error { // whatever ends it, the connection is over
		return w.handleCommand(conn, words, waited && time.Since(accepted) < resumeWindow)
	})
	conn.Close()
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
}

var errUnknownCommand = errors.New("soak: no command")

// handleCommand takes one command.
func (w *worker) handleCommand(conn net.Conn, words []string, readLate bool) error {
	now := time.Now()
	switch {
	case words[0] == "FN" && len(words) == 4:
		fields := resp.ParsePairs(words[2])
		w.mu.Lock()
		drained := w.drainedAt
		w.mu.Unlock()
		wait, _ := strconv.ParseInt(fields["wait"], 10, 64)
		w.checker.attemptReceived(attempt{id: words[1], class: fields["class"], body: words[3], idempotencyKey: fields["once"],
			statedTimeLeft: time.Duration(wait) * time.Millisecond, receivedAt: now, worker: w.endpoint.Name, drainedAt: drained, readLate: readLate})
		w.handleAttempt(conn, words[1], fields["key"], now)
	case words[0] == "KILL" && len(words) == 2:
		w.mu.Lock()
		w.cancelled[jobName(conn, words[1])] = true
		w.mu.Unlock()
	case words[0] == "SPAWN" && len(words) == 3:
		w.checker.count(func(s *Counts) { s.LoadRequests++ })
		w.handleLoadRequest(conn, words[1], resp.ParsePairs(words[2])["key"], now)
	case words[0] == "TOP" && len(words) == 2:
		w.mu.Lock()
		w.answer(conn, words[1], "yes", "stats="+w.stats(), "")
		w.mu.Unlock()
	case words[0] == "REAP":
	default:
		return errUnknownCommand
	}
	return nil
}

func jobName(conn net.Conn, id string) string { return conn.RemoteAddr().String() + " " + id }

func (w *worker) stats() string {
	return fmt.Sprintf("inflight:%d;pending:%d", w.running, len(w.queue))
}

// replica finds when a function is loaded, or begins to load it; the lock is held.
func (w *worker) replica(key string, now time.Time) (ready time.Time, how string) {
	ready, is := w.replicas[key]
	switch {
	case !is:
		ready, how = now.Add(loadTime), "loaded"
		w.replicas[key] = ready
	case now.Before(ready):
		how = "queued"
	default:
		how = "ready"
	}
	return ready, how
}

func (w *worker) handleLoadRequest(conn net.Conn, tag, key string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ready, _ := w.replica(key, now)
	time.AfterFunc(ready.Sub(now), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answer(conn, tag, "ok", "n=1", "")
	})
}

// handleAttempt takes a request: it runs, waits, or is turned away.
func (w *worker) handleAttempt(conn net.Conn, id, key string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkSlowStart(now)
	switch {
	case w.misbehavior.silent:
		return
	case w.misbehavior.refuses || len(w.queue) >= maxQueued:
		w.answer(conn, id, "refused", "stats="+w.stats(), "")
		return
	case w.misbehavior.fails:
		w.checker.executionStarted(id, w.endpoint.Name)
		w.answer(conn, id, "error", "stats="+w.stats(), "")
		return
	}
	ready, how := w.replica(key, now)
	j := &job{conn: conn, id: id, name: jobName(conn, id), slow: longRuns(key), replicaState: how, replicaReadyAt: ready}
	if w.running < slots {
		w.run(j, now)
	} else {
		w.queue = append(w.queue, j)
	}
}

// checkSlowStart judges what came to a worker that has just started; the lock is held.
func (w *worker) checkSlowStart(now time.Time) {
	w.recentRequests = append(w.recentRequests, now)
	for len(w.recentRequests) > 0 && now.Sub(w.recentRequests[0]) > crashWindow {
		w.recentRequests = w.recentRequests[1:]
	}
	age := now.Sub(w.startedAt)
	if w.startedAt.IsZero() || age >= warmUpTime {
		return
	}
	warm := initialShare + (1-initialShare)*float64(age)/float64(warmUpTime)
	n := crashMultiple * warm * slots * float64(crashWindow) / float64(meanRunTime+loadTime/4)
	most := n + 2*math.Sqrt(n) + 2
	if got := float64(len(w.recentRequests)); got > most {
		w.checker.Violated(SlowStartOverrun, "", "", "worker %s, %v old, got %v of %.0f requests", w.endpoint.Name, age, got, most)
		w.recentRequests = nil
	}
}

// longRuns tells whether the runs of a function are long: of one in four.
func longRuns(key string) bool { return key != "" && (key[len(key)-1]-'0')%4 == 0 }

// run runs a request; the lock is held.
func (w *worker) run(j *job, now time.Time) {
	w.running++
	takes := max(0, j.replicaReadyAt.Sub(now)) + meanRunTime/2 + time.Duration(w.random.ExpFloat64()*float64(meanRunTime/2)) + w.misbehavior.extraDelay
	if j.slow {
		takes += extraRunTime/2 + time.Duration(w.random.Int64N(int64(extraRunTime)))
	}
	time.AfterFunc(max(0, j.replicaReadyAt.Sub(now)), func() {
		w.mu.Lock()
		over := w.cancelled[j.name]
		w.mu.Unlock()
		if !over {
			w.checker.executionStarted(j.id, w.endpoint.Name)
		}
	})
	time.AfterFunc(takes, func() { w.finish(j) })
}

// finish answers a request that has run, and runs the next.
func (w *worker) finish(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if !w.cancelled[j.name] {
		w.reply(j)
	}
	delete(w.cancelled, j.name)
	for len(w.queue) > 0 && w.running < slots {
		next := w.queue[0]
		w.queue = w.queue[1:]
		if !w.cancelled[next.name] {
			w.run(next, time.Now())
		}
		delete(w.cancelled, next.name)
	}
}

// reply answers a request as the mood is; the lock is held.
func (w *worker) reply(j *job) {
	words := []string{j.id, "ok", "how=" + j.replicaState + ",stats=" + w.stats(), expectedBody(j.id)}
	switch {
	case w.misbehavior.silent:
	case w.misbehavior.resets:
		faultproxy.ResetConn(j.conn)
	case w.misbehavior.corrupts:
		w.write(j.conn, []byte("*4\r\n$16\r\nnoise\r\n$-1\r\n"))
	case w.misbehavior.duplicates:
		w.answer(j.conn, words...)
		time.AfterFunc(3*time.Millisecond, func() { w.write(j.conn, resp.AppendArray(nil, words...)) })
	default:
		w.answer(j.conn, words...)
	}
}

func (w *worker) answer(conn net.Conn, words ...string) {
	if !w.misbehavior.silent {
		w.write(conn, resp.AppendArray(nil, words...))
	}
}

// write writes an answer; one that can't be written ends its connection.
func (w *worker) write(conn net.Conn, frame []byte) {
	if conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	if _, err := conn.Write(frame); err != nil {
		conn.Close()
	}
}

// number is the number in its name, which orders workers.
func (w *worker) number() (n int64) {
	_, _ = fmt.Sscanf(w.endpoint.Name, "w%d", &n) // names are given by the run
	return n
}
