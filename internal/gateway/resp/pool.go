package resp

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the connections to workers.
type Limits struct {
	IOTimeout       time.Duration // for a connection, a write, and an answer that has begun
	IdleTimeout     time.Duration // a connection without a call is closed
	MaxCallsPerConn int           // calls at a time on a connection
	SoftMaxConns    int           // to all workers together; below that every call has one for itself
	MaxConns        int           // the same, where a worker without one needs one: past that its calls are not sent
	MaxElementBytes int           // bytes of one word of an answer
}

// Outcome is how a call ended.
type Outcome int

// The fates. Unsent: its last byte never left, it never came whole to the worker; Withheld: the same, as its sender said so
// when it was about to leave. Broken and GivenUp: it may have.
const (
	Answered Outcome = iota
	NotSent
	ConnectionLost
	Cancelled
	Withheld
)

// Result ends a call: what came after its id.
type Result struct {
	Outcome  Outcome
	Elements [][]byte
}

// Pool has the connections to all workers.
type Pool struct {
	limits    Limits
	openConns atomic.Int64 // connections
	ctx       context.Context
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	running   sync.WaitGroup
	unmatched atomic.Int64 // answers that no call waited for

	mu    sync.Mutex // taken after a worker's mu, never before
	conns map[*conn]bool
}

// NewPool makes a Pool whose connections end with ctx.
func NewPool(ctx context.Context, limits Limits) *Pool {
	dialer := &net.Dialer{Timeout: limits.IOTimeout}
	return &Pool{limits: limits, ctx: ctx, dial: dialer.DialContext, conns: map[*conn]bool{}}
}

// closeIdlest has the connection end that has been without a call longest: a worker that has none needs its descriptor.
func (p *Pool) closeIdlest() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	var idlest *conn
	var since time.Time
	for _, c := range conns {
		c.worker.mu.Lock()
		if c.isIdle() && (idlest == nil || c.lastUsed.Before(since)) {
			idlest, since = c, c.lastUsed
		}
		c.worker.mu.Unlock()
	}
	if idlest == nil {
		return
	}
	idlest.worker.mu.Lock()
	if idlest.isIdle() { // still
		idlest.closing = true
		idlest.wake()
	}
	idlest.worker.mu.Unlock()
}

// isIdle tells that a connection stands and has nothing on it.
func (c *conn) isIdle() bool {
	return c.conn != nil && !c.closing && !c.disconnected && len(c.calls) == 0
}

// Wait returns when every connection has ended.
func (p *Pool) Wait() { p.running.Wait() }

// OpenConns is the number of connections, those that do not stand yet included.
func (p *Pool) OpenConns() int64 { return p.openConns.Load() }

// UnmatchedResponses is the number of answers that no call waited for.
func (p *Pool) UnmatchedResponses() int64 { return p.unmatched.Load() }

// Worker is what stands at one address.
type Worker struct {
	pool *Pool
	addr string

	mu           sync.Mutex
	conns        []*conn // the last used last
	stopped      bool
	lastReceived time.Time // when something last came from there, a new connection too
}

// Worker makes the connections to one worker; none is made before it is needed.
func (p *Pool) Worker(addr string) *Worker { return &Worker{pool: p, addr: addr} }

type callState int

const (
	queued callState = iota
	sent
	cancelling
	completed
)

// Message is what a call sends.
type Message struct {
	// Encode spells it when it is about to be written, however long it waited for that; nil: it must not leave any more.
	// It must not wait.
	Encode       func() []byte
	OnWritten    func()        // called once its last byte has left; may be nil
	WriteTimeout time.Duration // its writing takes no longer, else its connection ends; 0 or more than Limits.Dial: that
}

// FixedMessage is a message that does not change while it waits.
func FixedMessage(frame []byte) Message { return Message{Encode: func() []byte { return frame }} }

// Call is a request under way.
type Call struct {
	worker *Worker
	conn   *conn
	id     string
	Message
	state         callState
	cancelCommand []byte // to be written when it is given up
	done          func(Result)
}

// conn is one connection, also before it stands. Its worker's mu guards it.
type conn struct {
	worker       *Worker
	conn         net.Conn // nil: it does not stand yet
	calls        map[string]*Call
	queue        []*Call // to be written; those given up have their kill
	completedIDs []string
	closing      bool // takes no more calls, ends with the last
	disconnected bool
	lastUsed     time.Time
	wakeup       chan struct{}
}

// Call sends a message; what comes under id ends it, and done is told once, perhaps at once. alone asks for a connection
// that carries nothing else meanwhile, as what breaks one breaks all on it.
func (w *Worker) Call(id string, message Message, alone bool, done func(Result)) *Call {
	if w.pool.openConns.Load() >= int64(w.pool.limits.SoftMaxConns) && w.hasNoConns() {
		w.pool.closeIdlest()
	}
	w.mu.Lock()
	c := &Call{worker: w, id: id, Message: message, done: done}
	on := w.pickConn(id, alone)
	if on == nil {
		c.state = completed
		w.mu.Unlock()
		done(Result{Outcome: NotSent})
		return c
	}
	c.conn = on
	on.calls[id] = c
	on.queue = append(on.queue, c)
	on.wake()
	w.mu.Unlock()
	return c
}

// pickConn finds or makes a connection that has not carried this id before: a second answer to an earlier request under it
// would be taken for this one's.
func (w *Worker) pickConn(id string, alone bool) *conn {
	if w.stopped || w.pool.ctx.Err() != nil {
		return nil
	}
	var least *conn
	// a machine that is gone leaves its connections open and swallows what is sent on them; a new one tells, and what
	// waited for it never ran
	silent := time.Since(w.lastReceived) > w.pool.limits.IOTimeout
	for _, c := range slices.Backward(w.conns) {
		if c.closing || c.disconnected || len(c.calls) >= w.pool.limits.MaxCallsPerConn || c.calls[id] != nil || slices.Contains(c.completedIDs, id) {
			continue
		}
		if least == nil || len(c.calls) < len(least.calls) {
			least = c
		}
	}
	if least != nil && (least.conn == nil || !silent) && (len(least.calls) == 0 || !alone) {
		return least
	}
	if n := w.pool.openConns.Add(1); n > int64(w.pool.limits.SoftMaxConns) && len(w.conns) > 0 || n > int64(w.pool.limits.MaxConns) {
		w.pool.openConns.Add(-1)
		return least
	}
	c := &conn{worker: w, calls: map[string]*Call{}, wakeup: make(chan struct{}, 1)}
	w.conns = append(w.conns, c)
	w.pool.mu.Lock()
	w.pool.conns[c] = true
	w.pool.mu.Unlock()
	w.pool.running.Add(1)
	go c.run()
	return c
}

// hasNoConns tells that a worker has no connection.
func (w *Worker) hasNoConns() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns) == 0
}

func (c *conn) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Cancel gives a call up. One that has not left is unsent. Of another the worker is told with kill, and the call has
// ended once that is written, so that nothing sent later can overtake it; the connection then takes no more calls, as an
// answer may still come.
func (c *Call) Cancel(kill []byte) {
	w := c.worker
	w.mu.Lock()
	switch c.state {
	case queued:
		c.conn.dequeue(c)
		c.conn.complete(c)
		w.mu.Unlock()
		c.done(Result{Outcome: NotSent})
		return
	case sent:
		c.conn.closing = true
		if kill != nil {
			c.state, c.cancelCommand = cancelling, kill
			c.conn.queue = append(c.conn.queue, c)
			c.conn.wake()
			break
		}
		c.conn.complete(c)
		w.mu.Unlock()
		c.done(Result{Outcome: Cancelled})
		return
	}
	w.mu.Unlock()
}

// complete forgets a call; the caller tells its fate.
func (c *conn) complete(call *Call) {
	call.state = completed
	delete(c.calls, call.id)
	c.completedIDs = append(c.completedIDs, call.id)
	if n := len(c.completedIDs) - c.worker.pool.limits.MaxCallsPerConn; n > 0 {
		c.completedIDs = slices.Delete(c.completedIDs, 0, n)
	}
	c.lastUsed = time.Now()
	if c.closing && len(c.calls) == 0 {
		c.wake()
	}
}

// Stop ends what has not left yet as unsent, and all that comes later: the worker is drained or gone. What is under way
// goes on. No write lasts longer than Limits.Dial.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	var unsent []*Call
	for _, c := range w.conns {
		c.closing = true
		c.queue = slices.DeleteFunc(c.queue, func(x *Call) bool {
			if x.state == queued {
				unsent = append(unsent, x)
			}
			return x.state == queued
		})
		for _, x := range unsent {
			if x.conn == c {
				c.complete(x)
			}
		}
		c.wake()
	}
	w.mu.Unlock()
	for _, x := range unsent {
		x.done(Result{Outcome: NotSent})
	}
}

// Resume lets calls go there again.
func (w *Worker) Resume() {
	w.mu.Lock()
	w.stopped = false
	w.mu.Unlock()
}

// run makes the connection and writes to it until it ends.
func (c *conn) run() {
	p := c.worker.pool
	defer p.running.Done()
	nc, err := p.dial(p.ctx, "tcp", c.worker.addr)
	if err != nil {
		c.finish()
		return
	}
	c.worker.mu.Lock()
	c.conn, c.lastUsed = nc, time.Now()
	c.worker.lastReceived = c.lastUsed
	c.worker.mu.Unlock()
	stop := context.AfterFunc(p.ctx, func() { nc.Close() })
	defer stop()
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		c.readLoop(nc)
		nc.Close()
		c.worker.mu.Lock()
		c.disconnected = true
		c.worker.mu.Unlock()
		c.wake()
	}()
	c.writeLoop(nc)
	nc.Close()
	c.finish()
}

// finish gives every call of a connection that is gone its fate.
func (c *conn) finish() {
	w := c.worker
	w.mu.Lock()
	c.disconnected = true
	w.conns = slices.DeleteFunc(w.conns, func(x *conn) bool { return x == c })
	w.pool.openConns.Add(-1)
	w.pool.mu.Lock()
	delete(w.pool.conns, c)
	w.pool.mu.Unlock()
	var calls []*Call
	var fates []Outcome
	for _, x := range c.calls {
		switch {
		case x.state == queued:
			calls, fates = append(calls, x), append(fates, NotSent)
		case x.state == sent:
			calls, fates = append(calls, x), append(fates, ConnectionLost)
		case x.state == cancelling: // its kill was not written; the end of the connection gives it up
			calls, fates = append(calls, x), append(fates, Cancelled)
		}
		c.complete(x)
	}
	w.mu.Unlock()
	for i, x := range calls {
		x.done(Result{Outcome: fates[i]})
	}
}

// nextWrite takes what is to be written, a call, or what gives it up (kill); nil and false: the connection has done its work.
func (c *conn) nextWrite() (x *Call, kill []byte, more bool) {
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	if c.disconnected || c.closing && len(c.calls) == 0 {
		return nil, nil, false
	}
	if len(c.queue) == 0 {
		return nil, nil, true
	}
	x, c.queue = c.queue[0], c.queue[1:]
	if x.state == cancelling {
		return x, x.cancelCommand, true
	}
	x.state = sent
	return x, nil, true
}

func (c *conn) writeLoop(nc net.Conn) {
	idle := time.NewTicker(max(c.worker.pool.limits.IdleTimeout/4, time.Millisecond))
	defer idle.Stop()
	for {
		x, kill, more := c.nextWrite()
		switch {
		case !more:
			return
		case x == nil:
			c.awaitWork(idle.C)
		case !c.writeNext(nc, x, kill):
			return
		}
	}
}

// awaitWork waits until there may be something to write. A connection that has been idle for too long ends.
func (c *conn) awaitWork(idle <-chan time.Time) {
	select {
	case <-c.wakeup:
	case <-idle:
		c.worker.mu.Lock()
		if len(c.calls) == 0 && time.Since(c.lastUsed) > c.worker.pool.limits.IdleTimeout {
			c.closing = true
		}
		c.worker.mu.Unlock()
	}
}

// writeNext writes a call, or what gives it up; false: the connection ends.
func (c *conn) writeNext(nc net.Conn, x *Call, kill []byte) bool {
	frame, within := kill, c.worker.pool.limits.IOTimeout
	if kill == nil {
		if frame = x.Encode(); frame == nil {
			c.withhold(x)
			return true
		}
		if x.WriteTimeout > 0 {
			within = min(within, x.WriteTimeout)
		}
	}
	if nc.SetWriteDeadline(time.Now().Add(within)) != nil {
		c.markUnsent(x)
		return false
	}
	n, err := nc.Write(frame)
	if err != nil {
		if n < len(frame) {
			c.markUnsent(x)
		}
		return false
	}
	c.markWritten(x, kill != nil)
	return true
}

// withhold ends a call whose sender does not let it leave any more. Its kill is not needed.
func (c *conn) withhold(x *Call) {
	c.worker.mu.Lock()
	if x.state == completed {
		c.worker.mu.Unlock()
		return
	}
	c.dequeue(x)
	c.complete(x)
	c.worker.mu.Unlock()
	x.done(Result{Outcome: Withheld})
}

// dequeue takes a call, or its kill, out of what is to be written.
func (c *conn) dequeue(x *Call) {
	c.queue = slices.DeleteFunc(c.queue, func(other *Call) bool { return other == x })
}

// markUnsent takes back that a request was sent whose last byte never left: a worker can't have read it whole.
func (c *conn) markUnsent(x *Call) {
	c.worker.mu.Lock()
	if x.state == sent {
		x.state = queued
	}
	c.worker.mu.Unlock()
}

// markWritten ends a call whose kill has left. One that is given up while it is being written itself has its kill still to come.
func (c *conn) markWritten(x *Call, kill bool) {
	if kill {
		c.worker.mu.Lock()
		c.complete(x)
		c.worker.mu.Unlock()
		x.done(Result{Outcome: Cancelled})
	} else if x.OnWritten != nil {
		x.OnWritten()
	}
}

// readLoop takes answers until the connection ends or one can't be read.
func (c *conn) readLoop(nc net.Conn) {
	limits := c.worker.pool.limits
	var have []byte
	part := make([]byte, 4096)
	for {
		n, err := nc.Read(part)
		have = append(have, part[:n]...)
		if n > 0 {
			c.worker.mu.Lock()
			c.worker.lastReceived = time.Now()
			c.worker.mu.Unlock()
		}
		for len(have) > 0 {
			words, taken, bad := ParseArray(have, limits.MaxElementBytes)
			if bad != nil {
				return
			}
			if taken == 0 {
				break
			}
			c.handleResponse(words)
			have = have[taken:]
		}
		if len(have) == 0 {
			have = nil
		}
		if err != nil {
			return
		}
		// an answer that has begun and does not go on holds up all behind it
		until := time.Time{}
		if len(have) > 0 {
			until = time.Now().Add(limits.IOTimeout)
		}
		if nc.SetReadDeadline(until) != nil {
			return
		}
	}
}

// handleResponse matches an answer with its call; what belongs to none is dropped.
func (c *conn) handleResponse(words [][]byte) {
	c.worker.mu.Lock()
	x := c.calls[string(words[0])]
	if x == nil || x.state != sent {
		c.worker.pool.unmatched.Add(1)
		c.worker.mu.Unlock()
		return
	}
	c.complete(x)
	c.worker.mu.Unlock()
	x.done(Result{Elements: words[1:]})
}
