package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a command that came whole to a worker.
type arrival struct {
	at      time.Time
	worker  string
	command string // FN, SPAWN, TOP, ...
	id      string
	key     string
	n       int // of SPAWN
	status  string
}

// worker is a stand-in of a worker that speaks RESP as PROTOCOL.md says. It loads a function when a request or an order
// needs it, and runs requests for a fixed time.
type worker struct {
	name     string
	site     string
	rec      *record
	addr     string
	listener net.Listener
	loadTime time.Duration
	runTime  time.Duration
	refuses  bool // while it drains it turns away questions too
	miss     bool // a function that is not loaded is answered with `nothing`
	// onRequest, if not nil, is called with each request and may take it over by returning true.
	onRequest func(c *workerConn, id string, fields map[string]string, body string) bool

	onKill  func(id string)    // called with each request that is given up; may be nil
	onClose func(ids []string) // called with the requests that are open on a connection that ends; may be nil

	mu       sync.Mutex
	draining bool
	silent   bool // requests are taken and nothing is answered
	arrivals []arrival
	loaded   map[string]int       // copies that stand
	ready    map[string]time.Time // when the copy being loaded stands
	inFlight int
	open     map[string]bool // requests that are out: not answered and not given up
	conns    map[net.Conn]bool
}

type workerConn struct {
	worker *worker
	conn   net.Conn
	mu     sync.Mutex
}

func newWorker(rec *record, name string, loadTime, runTime time.Duration) *worker {
	w := &worker{name: name, rec: rec, loadTime: loadTime, runTime: runTime, loaded: map[string]int{},
		ready: map[string]time.Time{}, open: map[string]bool{}, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.listener, w.addr = listener, listener.Addr().String()
	go w.accept()
	return w
}

func (w *worker) host(health string) host {
	return host{Host: w.name, Dial: w.addr, Site: w.site, Class: "fast-5core", Block: 1, Health: health, Share: 1}
}

// drain makes the worker turn away new requests and orders to load, as a draining worker does.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	w.silent = silent
	w.mu.Unlock()
}

// all returns the commands that have come so far.
func (w *worker) all() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		c := &workerConn{worker: w, conn: conn}
		go c.read()
	}
}

func (c *workerConn) read() {
	w := c.worker
	in := bufio.NewReader(c.conn)
	own := map[string]bool{}
	defer func() {
		c.conn.Close()
		w.mu.Lock()
		delete(w.conns, c.conn)
		for id := range own { // when the connection closes, all that is open on it is given up
			delete(w.open, id)
		}
		w.mu.Unlock()
		if w.onClose != nil {
			var ids []string
			for id := range own {
				ids = append(ids, id)
			}
			w.onClose(ids)
		}
	}()
	for {
		elements, err := readArray(in)
		if err != nil {
			return
		}
		c.handle(elements, own)
	}
}

func (c *workerConn) handle(elements []string, own map[string]bool) {
	w := c.worker
	a := arrival{at: time.Now(), worker: w.name, command: elements[0]}
	if len(elements) > 1 {
		a.id = elements[1]
	}
	fields := map[string]string{}
	if len(elements) > 2 {
		for _, part := range strings.Split(elements[2], ",") {
			if name, value, found := strings.Cut(part, "="); found {
				fields[name] = value
			}
		}
	}
	a.key = fields["key"]
	a.n, _ = strconv.Atoi(fields["n"])
	w.mu.Lock()
	draining, silent := w.draining, w.silent
	w.arrivals = append(w.arrivals, a)
	switch a.command {
	case "FN":
		w.open[a.id] = true
		own[a.id] = true
	case "KILL":
		delete(w.open, a.id)
	}
	w.mu.Unlock()
	w.rec.line("%s received %s", w.name, describe(elements))
	if silent {
		return
	}
	switch a.command {
	case "HELO", "TOP":
		if draining && w.refuses {
			c.answer(a.id, "no", "-")
			return
		}
		c.answer(a.id, "yes", "stats="+w.stats())
	case "REAP":
	case "KILL":
		if w.onKill != nil {
			w.onKill(a.id)
		}
	case "SPAWN":
		switch {
		case a.n == 0 && !(draining && w.refuses):
			w.mu.Lock()
			standing := w.standing(a.key)
			w.mu.Unlock()
			c.answer(a.id, "ok", fmt.Sprintf("n=%d", standing))
		case draining:
			c.answer(a.id, "refused", "n=0")
		default:
			wait := w.load(a.key, a.n)
			time.AfterFunc(wait, func() { c.answer(a.id, "ok", fmt.Sprintf("n=%d", a.n)) })
		}
	case "FN":
		body := ""
		if len(elements) > 3 {
			body = elements[3]
		}
		if w.onRequest != nil && w.onRequest(c, a.id, fields, body) {
			return
		}
		if draining {
			c.end(a.id, "refused", "stats="+w.stats(), "")
			return
		}
		w.mu.Lock()
		missing := w.miss && w.standing(a.key) == 0 && w.ready[a.key].IsZero()
		w.mu.Unlock()
		if missing {
			c.end(a.id, "nothing", "-", "")
			return
		}
		c.run(a.id, a.key, body)
	}
}

// run runs a request and answers it.
func (c *workerConn) run(id, key, body string) {
	w := c.worker
	how := "ready"
	w.mu.Lock()
	if w.loaded[key] == 0 {
		how = "loaded"
		if !w.ready[key].IsZero() {
			how = "queued"
		}
	}
	w.mu.Unlock()
	wait := w.load(key, 1)
	time.AfterFunc(wait+w.runTime, func() {
		w.rec.line("%s ran %s", w.name, id)
		c.end(id, "ok", "how="+how+",stats="+w.stats(), "done:"+body)
	})
}

// end answers a request; from then on it is not out any more.
func (c *workerConn) end(id, status, fields, body string) {
	c.worker.mu.Lock()
	delete(c.worker.open, id)
	c.worker.mu.Unlock()
	c.answer(id, status, fields, body)
}

// standing returns the number of copies of a function that stand. The caller holds the lock.
func (w *worker) standing(key string) int {
	if at := w.ready[key]; !at.IsZero() && !time.Now().Before(at) {
		w.loaded[key] = max(1, w.loaded[key])
	}
	return w.loaded[key]
}

// load makes n copies stand and returns how long that takes.
func (w *worker) load(key string, n int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.standing(key) >= n {
		return 0
	}
	if at := w.ready[key]; at.After(time.Now()) && n == 1 {
		return time.Until(at)
	}
	w.ready[key] = time.Now().Add(w.loadTime)
	time.AfterFunc(w.loadTime, func() {
		w.mu.Lock()
		w.loaded[key] = max(n, w.loaded[key])
		w.mu.Unlock()
	})
	return w.loadTime
}

func (w *worker) stats() string { return "busy_reqs:0;pending:0;x0:0.1;x1:0" }

func (c *workerConn) answer(elements ...string) {
	for len(elements) < 4 {
		elements = append(elements, "")
	}
	frame := appendArray(nil, elements...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.conn.Write(frame); err == nil {
		c.worker.rec.line("%s answered %s", c.worker.name, describe(elements))
	}
}

// closeAll closes the listener and all connections: the process has ended.
func (w *worker) closeAll() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.Close()
	}
}

func describe(elements []string) string {
	shown := make([]string, 0, len(elements))
	for i, element := range elements {
		if i == 3 && len(element) > 24 {
			element = fmt.Sprintf("(%d bytes)", len(element))
		}
		shown = append(shown, element)
	}
	return strings.Join(shown, " ")
}

func appendArray(b []byte, elements ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(elements))
	for _, element := range elements {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(element), element)
	}
	return b
}

func readArray(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	elements := make([]string, n)
	for i := range elements {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		elements[i] = string(b[:size])
	}
	return elements, nil
}

func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != prefix {
		return 0, fmt.Errorf("got %q", line)
	}
	return strconv.Atoi(line[1:])
}
