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
	Dial    time.Duration // for a connection, a write, and an answer that has begun
	Idle    time.Duration // a connection without a call is closed
	Streams int           // calls at a time on a connection
	Conns   int           // to all workers together; below that every call has one for itself
	Most    int           // the same, where a worker without one needs one: past that its calls are not sent
	Word    int           // bytes of one word of an answer
}

// Fate is how a call ended.
type Fate int

// The fates. Unsent: its last byte never left, it never came whole to the worker; Withheld: the same, as its sender said so
// when it was about to leave. Broken and GivenUp: it may have.
const (
	Answered Fate = iota
	Unsent
	Broken
	GivenUp
	Withheld
)

// Answer ends a call: what came after its id.
type Answer struct {
	Fate  Fate
	Words [][]byte
}

// Pool has the connections to all workers.
type Pool struct {
	limits Limits
	open   atomic.Int64 // connections
	ctx    context.Context
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	done   sync.WaitGroup
	stray  atomic.Int64 // answers that no call waited for

	mu    sync.Mutex // taken after a worker's mu, never before
	conns map[*conn]bool
}

// NewPool makes a Pool whose connections end with ctx.
func NewPool(ctx context.Context, limits Limits) *Pool {
	dialer := &net.Dialer{Timeout: limits.Dial}
	return &Pool{limits: limits, ctx: ctx, dial: dialer.DialContext, conns: map[*conn]bool{}}
}

// yield has the connection end that has been without a call longest: a worker that has none needs its descriptor.
func (p *Pool) yield() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	var idlest *conn
	var since time.Time
	for _, c := range conns {
		c.worker.mu.Lock()
		if c.idle() && (idlest == nil || c.used.Before(since)) {
			idlest, since = c, c.used
		}
		c.worker.mu.Unlock()
	}
	if idlest == nil {
		return
	}
	idlest.worker.mu.Lock()
	if idlest.idle() { // still
		idlest.closing = true
		idlest.wake()
	}
	idlest.worker.mu.Unlock()
}

// idle tells that a connection stands and has nothing on it.
func (c *conn) idle() bool { return c.conn != nil && !c.closing && !c.gone && len(c.calls) == 0 }

// Wait returns when every connection has ended.
func (p *Pool) Wait() { p.done.Wait() }

// Open is the number of connections, those that do not stand yet included.
func (p *Pool) Open() int64 { return p.open.Load() }

// Stray is the number of answers that no call waited for.
func (p *Pool) Stray() int64 { return p.stray.Load() }

// Worker is what stands at one address.
type Worker struct {
	pool *Pool
	addr string

	mu      sync.Mutex
	conns   []*conn // the last used last
	stopped bool
	heard   time.Time // when something last came from there, a new connection too
}

// Worker makes the connections to one worker; none is made before it is needed.
func (p *Pool) Worker(addr string) *Worker { return &Worker{pool: p, addr: addr} }

type state int

const (
	queued state = iota
	sent
	given
	ended
)

// Message is what a call sends.
type Message struct {
	// Compose spells it when it is about to be written, however long it waited for that; nil: it must not leave any more.
	// It must not wait.
	Compose func() []byte
	Written func()        // called once its last byte has left; may be nil
	Within  time.Duration // its writing takes no longer, else its connection ends; 0 or more than Limits.Dial: that
}

// Fixed is a message that does not change while it waits.
func Fixed(frame []byte) Message { return Message{Compose: func() []byte { return frame }} }

// Call is a request under way.
type Call struct {
	worker *Worker
	conn   *conn
	id     string
	Message
	state state
	kill  []byte // to be written when it is given up
	done  func(Answer)
}

// conn is one connection, also before it stands. Its worker's mu guards it.
type conn struct {
	worker  *Worker
	conn    net.Conn // nil: it does not stand yet
	calls   map[string]*Call
	queue   []*Call // to be written; those given up have their kill
	past    []string
	closing bool // takes no more calls, ends with the last
	gone    bool
	used    time.Time
	kick    chan struct{}
}

// Call sends a message; what comes under id ends it, and done is told once, perhaps at once. alone asks for a connection
// that carries nothing else meanwhile, as what breaks one breaks all on it.
func (w *Worker) Call(id string, message Message, alone bool, done func(Answer)) *Call {
	if w.pool.open.Load() >= int64(w.pool.limits.Conns) && w.bare() {
		w.pool.yield()
	}
	w.mu.Lock()
	c := &Call{worker: w, id: id, Message: message, done: done}
	on := w.pick(id, alone)
	if on == nil {
		c.state = ended
		w.mu.Unlock()
		done(Answer{Fate: Unsent})
		return c
	}
	c.conn = on
	on.calls[id] = c
	on.queue = append(on.queue, c)
	on.wake()
	w.mu.Unlock()
	return c
}

// pick finds or makes a connection that has not carried this id before: a second answer to an earlier request under it
// would be taken for this one's.
func (w *Worker) pick(id string, alone bool) *conn {
	if w.stopped || w.pool.ctx.Err() != nil {
		return nil
	}
	var least *conn
	// a machine that is gone leaves its connections open and swallows what is sent on them; a new one tells, and what
	// waited for it never ran
	silent := time.Since(w.heard) > w.pool.limits.Dial
	for _, c := range slices.Backward(w.conns) {
		if c.closing || c.gone || len(c.calls) >= w.pool.limits.Streams || c.calls[id] != nil || slices.Contains(c.past, id) {
			continue
		}
		if least == nil || len(c.calls) < len(least.calls) {
			least = c
		}
	}
	if least != nil && (least.conn == nil || !silent) && (len(least.calls) == 0 || !alone) {
		return least
	}
	if n := w.pool.open.Add(1); n > int64(w.pool.limits.Conns) && len(w.conns) > 0 || n > int64(w.pool.limits.Most) {
		w.pool.open.Add(-1)
		return least
	}
	c := &conn{worker: w, calls: map[string]*Call{}, kick: make(chan struct{}, 1)}
	w.conns = append(w.conns, c)
	w.pool.mu.Lock()
	w.pool.conns[c] = true
	w.pool.mu.Unlock()
	w.pool.done.Add(1)
	go c.run()
	return c
}

// bare tells that a worker has no connection.
func (w *Worker) bare() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns) == 0
}

func (c *conn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Recall gives a call up. One that has not left is unsent. Of another the worker is told with kill, and the call has
// ended once that is written, so that nothing sent later can overtake it; the connection then takes no more calls, as an
// answer may still come.
func (c *Call) Recall(kill []byte) {
	w := c.worker
	w.mu.Lock()
	switch c.state {
	case queued:
		c.conn.unqueue(c)
		c.conn.end(c)
		w.mu.Unlock()
		c.done(Answer{Fate: Unsent})
		return
	case sent:
		c.conn.closing = true
		if kill != nil {
			c.state, c.kill = given, kill
			c.conn.queue = append(c.conn.queue, c)
			c.conn.wake()
			break
		}
		c.conn.end(c)
		w.mu.Unlock()
		c.done(Answer{Fate: GivenUp})
		return
	}
	w.mu.Unlock()
}

// end forgets a call; the caller tells its fate.
func (c *conn) end(call *Call) {
	call.state = ended
	delete(c.calls, call.id)
	c.past = append(c.past, call.id)
	if n := len(c.past) - c.worker.pool.limits.Streams; n > 0 {
		c.past = slices.Delete(c.past, 0, n)
	}
	c.used = time.Now()
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
				c.end(x)
			}
		}
		c.wake()
	}
	w.mu.Unlock()
	for _, x := range unsent {
		x.done(Answer{Fate: Unsent})
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
	defer p.done.Done()
	nc, err := p.dial(p.ctx, "tcp", c.worker.addr)
	if err != nil {
		c.fail()
		return
	}
	c.worker.mu.Lock()
	c.conn, c.used = nc, time.Now()
	c.worker.heard = c.used
	c.worker.mu.Unlock()
	stop := context.AfterFunc(p.ctx, func() { nc.Close() })
	defer stop()
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		c.read(nc)
		nc.Close()
		c.worker.mu.Lock()
		c.gone = true
		c.worker.mu.Unlock()
		c.wake()
	}()
	c.write(nc)
	nc.Close()
	c.fail()
}

// fail gives every call of a connection that is gone its fate.
func (c *conn) fail() {
	w := c.worker
	w.mu.Lock()
	c.gone = true
	w.conns = slices.DeleteFunc(w.conns, func(x *conn) bool { return x == c })
	w.pool.open.Add(-1)
	w.pool.mu.Lock()
	delete(w.pool.conns, c)
	w.pool.mu.Unlock()
	var calls []*Call
	var fates []Fate
	for _, x := range c.calls {
		switch {
		case x.state == queued:
			calls, fates = append(calls, x), append(fates, Unsent)
		case x.state == sent:
			calls, fates = append(calls, x), append(fates, Broken)
		case x.state == given: // its kill was not written; the end of the connection gives it up
			calls, fates = append(calls, x), append(fates, GivenUp)
		}
		c.end(x)
	}
	w.mu.Unlock()
	for i, x := range calls {
		x.done(Answer{Fate: fates[i]})
	}
}

// next takes what is to be written, a call, or what gives it up (kill); nil and false: the connection has done its work.
func (c *conn) next() (x *Call, kill []byte, more bool) {
	c.worker.mu.Lock()
	defer c.worker.mu.Unlock()
	if c.gone || c.closing && len(c.calls) == 0 {
		return nil, nil, false
	}
	if len(c.queue) == 0 {
		return nil, nil, true
	}
	x, c.queue = c.queue[0], c.queue[1:]
	if x.state == given {
		return x, x.kill, true
	}
	x.state = sent
	return x, nil, true
}

func (c *conn) write(nc net.Conn) {
	idle := time.NewTicker(max(c.worker.pool.limits.Idle/4, time.Millisecond))
	defer idle.Stop()
	for {
		x, kill, more := c.next()
		switch {
		case !more:
			return
		case x == nil:
			c.await(idle.C)
		case !c.put(nc, x, kill):
			return
		}
	}
}

// await waits until there may be something to write. A connection that has been idle for too long ends.
func (c *conn) await(idle <-chan time.Time) {
	select {
	case <-c.kick:
	case <-idle:
		c.worker.mu.Lock()
		if len(c.calls) == 0 && time.Since(c.used) > c.worker.pool.limits.Idle {
			c.closing = true
		}
		c.worker.mu.Unlock()
	}
}

// put writes a call, or what gives it up; false: the connection ends.
func (c *conn) put(nc net.Conn, x *Call, kill []byte) bool {
	frame, within := kill, c.worker.pool.limits.Dial
	if kill == nil {
		if frame = x.Compose(); frame == nil {
			c.withheld(x)
			return true
		}
		if x.Within > 0 {
			within = min(within, x.Within)
		}
	}
	if nc.SetWriteDeadline(time.Now().Add(within)) != nil {
		c.unwritten(x)
		return false
	}
	n, err := nc.Write(frame)
	if err != nil {
		if n < len(frame) {
			c.unwritten(x)
		}
		return false
	}
	c.written(x, kill != nil)
	return true
}

// withheld ends a call whose sender does not let it leave any more. Its kill is not needed.
func (c *conn) withheld(x *Call) {
	c.worker.mu.Lock()
	if x.state == ended {
		c.worker.mu.Unlock()
		return
	}
	c.unqueue(x)
	c.end(x)
	c.worker.mu.Unlock()
	x.done(Answer{Fate: Withheld})
}

// unqueue takes a call, or its kill, out of what is to be written.
func (c *conn) unqueue(x *Call) {
	c.queue = slices.DeleteFunc(c.queue, func(other *Call) bool { return other == x })
}

// unwritten takes back that a request was sent whose last byte never left: a worker can't have read it whole.
func (c *conn) unwritten(x *Call) {
	c.worker.mu.Lock()
	if x.state == sent {
		x.state = queued
	}
	c.worker.mu.Unlock()
}

// written ends a call whose kill has left. One that is given up while it is being written itself has its kill still to come.
func (c *conn) written(x *Call, kill bool) {
	if kill {
		c.worker.mu.Lock()
		c.end(x)
		c.worker.mu.Unlock()
		x.done(Answer{Fate: GivenUp})
	} else if x.Written != nil {
		x.Written()
	}
}

// read takes answers until the connection ends or one can't be read.
func (c *conn) read(nc net.Conn) {
	limits := c.worker.pool.limits
	var have []byte
	part := make([]byte, 4096)
	for {
		n, err := nc.Read(part)
		have = append(have, part[:n]...)
		if n > 0 {
			c.worker.mu.Lock()
			c.worker.heard = time.Now()
			c.worker.mu.Unlock()
		}
		for len(have) > 0 {
			words, taken, bad := Parse(have, limits.Word)
			if bad != nil {
				return
			}
			if taken == 0 {
				break
			}
			c.answered(words)
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
			until = time.Now().Add(limits.Dial)
		}
		if nc.SetReadDeadline(until) != nil {
			return
		}
	}
}

// answered matches an answer with its call; what belongs to none is dropped.
func (c *conn) answered(words [][]byte) {
	c.worker.mu.Lock()
	x := c.calls[string(words[0])]
	if x == nil || x.state != sent {
		c.worker.pool.stray.Add(1)
		c.worker.mu.Unlock()
		return
	}
	c.end(x)
	c.worker.mu.Unlock()
	x.done(Answer{Words: words[1:]})
}
