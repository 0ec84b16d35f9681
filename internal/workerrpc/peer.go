package workerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
)

// Fate is how a call to a worker ended, as far as the front end can tell.
type Fate int

// The fates. Of a launch, Unsent says that no byte of it left: it never ran. Broken, Recalled and Answered with a code
// that does not say otherwise mean that it may have run.
const (
	Answered Fate = iota
	Unsent        // no connection, or the call was still waiting to be written
	Broken        // bytes have left and the connection is gone
	Recalled      // given up by the front end before an answer came
)

// Outcome ends a call. Just one is given for each call.
type Outcome struct {
	Fate    Fate
	Answer  *Answer  // of a launch that was answered
	Ordered *Ordered // of an order
	Echo    *Echo    // of a probe
	Err     error    // why there is no answer
}

// NeverRan tells whether a launch provably never ran.
func (o Outcome) NeverRan() bool {
	return o.Fate == Unsent || o.Fate == Answered && o.Answer != nil && o.Answer.Code.NeverRan()
}

// Limits bound what a Peer holds and how long it waits.
type Limits struct {
	Dial  time.Duration // for a connection and its hello
	Queue time.Duration // a call not written by then is unsent
	Stall time.Duration // a write that takes longer breaks the connection
	Calls int           // most calls that wait to be written
	Bytes int           // and their bodies together
}

// Counts are a Peer's numbers since its start.
type Counts struct {
	Connections, Stray, Late int // stray: answers to calls never made or answered before; late: to calls given up
}

// callState follows a call from the queue to its outcome.
type callState int

const (
	queued callState = iota
	writing
	sent
	given // up: the outcome was told, the worker has not answered yet
	ended
)

// Call is one launch, order or probe under way.
type Call struct {
	peer    *Peer
	seq     uint64
	launch  *Launch
	order   *Order
	until   time.Time   // of a launch: the client's time is up
	leaves  func() bool // of a launch: whether it may, asked when it is about to be written; nil: it may
	state   callState
	expires *time.Timer
	done    func(Outcome)

	recalled bool
}

// Peer is a front end's side of one worker: one connection, made when it is needed. Its methods may be called by
// any goroutine; outcomes come from goroutines of its own.
type Peer struct {
	// Greeted, if set before Run, is told each hello of the worker.
	Greeted func(*Hello)

	name, self, addr string
	limits           Limits
	dial             func(context.Context, string) (net.Conn, error)

	mu       sync.Mutex
	kick     chan struct{} // there is something to write
	control  []*Call       // orders and probes that wait
	cancels  []*Call       // whose workers are to be told
	launches []*Call       // launches that wait
	bytes    int           // of waiting bodies
	calls    map[uint64]*Call
	out      int // launches written and not answered, given up or not
	window   int // most of them
	seq      uint64
	conn     net.Conn
	leaving  bool          // the worker said goodbye
	bye      bool          // goodbye is to be said
	left     chan struct{} // closed when it was said or there is nobody to say it to
	retry    time.Time
	pause    *backoff.ExponentialBackOff
	closed   bool
	stopped  bool      // nothing new goes there
	stopBy   time.Time // until then a launch or order under way may still leave
	counts   Counts
}

// Errors of calls that were not sent.
var (
	ErrFull     = errors.New("too much waits for this worker")
	ErrStopped  = errors.New("nothing new goes to this worker")
	ErrWaited   = errors.New("waited too long to be written")
	ErrBackoff  = errors.New("a connection failed a moment ago")
	ErrGoodbye  = errors.New("the worker said goodbye")
	ErrRecalled = errors.New("given up")
	ErrWithheld = errors.New("its sender does not let it leave any more")
)

// NewPeer makes a Peer of worker name at addr for the front end self. Run serves it.
func NewPeer(self, name, addr string, l Limits, dial func(context.Context, string) (net.Conn, error)) *Peer {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = l.Dial/20, 2*l.Dial
	return &Peer{name: name, self: self, addr: addr, limits: l, dial: dial, kick: make(chan struct{}, 1), left: make(chan struct{}),
		calls: map[uint64]*Call{}, window: 1, pause: pause}
}

// Launch sends a launch; left is what is left of the client's time. done is called once.
func (p *Peer) Launch(l Launch, left time.Duration, done func(Outcome)) *Call {
	return p.LaunchIf(l, left, nil, done)
}

// LaunchIf is Launch, but the launch is withheld where leaves, which must not wait, says no when it is about to be written.
func (p *Peer) LaunchIf(l Launch, left time.Duration, leaves func() bool, done func(Outcome)) *Call {
	return p.add(&Call{launch: &l, until: time.Now().Add(left), leaves: leaves, done: done})
}

// Order sends a load order.
func (p *Peer) Order(o Order, done func(Outcome)) *Call { return p.add(&Call{order: &o, done: done}) }

// Probe asks for a report.
func (p *Peer) Probe(done func(Outcome)) *Call { return p.add(&Call{done: done}) }

func (p *Peer) add(c *Call) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	c.peer, c.seq = p, p.seq
	var err error
	size := 0
	if c.launch != nil {
		size = len(c.launch.Body)
	}
	switch {
	case p.closed || p.stopped && (c.launch != nil || c.order != nil):
		err = ErrStopped
	case p.leaving:
		err = ErrGoodbye
	case p.conn == nil && time.Now().Before(p.retry):
		err = ErrBackoff
	case len(p.launches)+len(p.control) >= p.limits.Calls || p.bytes+size > p.limits.Bytes:
		err = ErrFull
	}
	if err != nil {
		c.state = ended
		go c.done(Outcome{Fate: Unsent, Err: err})
		return c
	}
	if c.launch != nil {
		p.launches = append(p.launches, c)
	} else {
		p.control = append(p.control, c)
	}
	p.bytes += size
	p.calls[c.seq] = c
	c.expires = time.AfterFunc(p.limits.Queue, func() { p.unqueue(c, ErrWaited) })
	p.wake()
	return c
}

func (p *Peer) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// unqueue ends a call that still waits to be written; false if it does not.
func (p *Peer) unqueue(c *Call, why error) bool {
	p.mu.Lock()
	is := c.state == queued
	if is {
		p.take(c)
		p.finish(c)
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Fate: Unsent, Err: why})
	}
	return is
}

// take removes a call from its queue.
func (p *Peer) take(c *Call) {
	line := &p.control
	if c.launch != nil {
		line = &p.launches
		p.bytes -= len(c.launch.Body)
	}
	for i, x := range *line {
		if x == c {
			*line = append((*line)[:i], (*line)[i+1:]...)
			return
		}
	}
}

func (p *Peer) finish(c *Call) {
	c.state = ended
	delete(p.calls, c.seq)
	c.expires.Stop()
}

// Recall gives a launch up. One that waits is unsent. Of one that was sent, with tell, the worker is told, and the
// launch is recalled once that has left, so that another launch can't overtake the word that this one is given up; an
// answer that comes before is its outcome, one that comes later is counted and dropped. Without tell it is recalled at
// once. A call that has its outcome stays as it is.
func (c *Call) Recall(tell bool) {
	p := c.peer
	if p.unqueue(c, ErrRecalled) {
		return
	}
	p.mu.Lock()
	is := c.state == sent || c.state == writing
	if is && tell {
		if !c.recalled {
			c.recalled = true
			p.cancels = append(p.cancels, c)
			p.wake()
		}
		is = false
	} else if is {
		c.state = given
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Fate: Recalled, Err: ErrRecalled})
	}
}

// Stop ends launches and orders that were not written yet as unsent, and those that are still asked for: the worker is
// drained or gone. A write of one that is under way and not done within grace breaks the connection, so that nothing
// leaves later. Probes and cancels go on.
func (p *Peer) Stop(grace time.Duration) {
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return
	}
	p.stopped, p.stopBy = true, time.Now().Add(grace)
	waiting := append([]*Call(nil), p.launches...)
	for _, c := range p.control {
		if c.order != nil {
			waiting = append(waiting, c)
		}
	}
	for _, c := range p.calls {
		if p.conn != nil && c.state == writing {
			if err := p.conn.SetWriteDeadline(p.stopBy); err != nil {
				p.conn.Close()
			}
		}
	}
	p.mu.Unlock()
	for _, c := range waiting {
		p.unqueue(c, ErrStopped)
	}
}

// Resume lets calls go there again: the worker is listed as in service.
func (p *Peer) Resume() {
	p.mu.Lock()
	p.stopped = false
	p.mu.Unlock()
}

// Goodbye has the worker told that nothing more comes; Left waits until that was written, or for some time.
func (p *Peer) Goodbye() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bye {
		return
	}
	p.bye = true
	if p.conn == nil {
		close(p.left)
	}
	p.wake()
}

// Left waits until goodbye was written, at most so long.
func (p *Peer) Left(most time.Duration) {
	timer := time.NewTimer(max(0, most))
	defer timer.Stop()
	select {
	case <-p.left:
	case <-timer.C:
	}
}

// Counts tells the Peer's numbers.
func (p *Peer) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Outstanding is the number of calls without an outcome.
func (p *Peer) Outstanding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.calls {
		if c.state != given {
			n++
		}
	}
	return n
}

// Run connects when something waits and serves the connection, until ctx ends. Then whatever has no outcome gets one.
func (p *Peer) Run(ctx context.Context) error {
	defer p.end(errors.New("front end closes"), true)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.kick:
		}
		p.mu.Lock()
		need := len(p.launches)+len(p.control) > 0
		wait := time.Until(p.retry)
		p.mu.Unlock()
		if !need {
			continue
		}
		if wait > 0 { // calls that came before the failure was known
			p.end(ErrBackoff, false)
			continue
		}
		err := p.serve(ctx)
		p.end(err, false)
	}
}

// serve makes one connection and works on it until it breaks.
func (p *Peer) serve(ctx context.Context) error {
	conn, hello, read, err := p.connect(ctx)
	p.mu.Lock()
	if err != nil {
		p.retry = time.Now().Add(p.pause.NextBackOff())
		p.mu.Unlock()
		return fmt.Errorf("connect to %s: %w", p.name, err)
	}
	p.pause.Reset()
	p.conn, p.window, p.leaving, p.out = conn, max(1, hello.Launches), false, 0
	p.counts.Connections++
	p.mu.Unlock()
	if p.Greeted != nil {
		p.Greeted(hello)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	g.Go(func() error { return p.read(read) })
	g.Go(func() error { return p.write(ctx, conn) })
	return g.Wait()
}

func (p *Peer) connect(ctx context.Context) (net.Conn, *Hello, *Reader, error) {
	ctx, stop := context.WithTimeout(ctx, p.limits.Dial)
	defer stop()
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, nil, nil, err
	}
	undo := context.AfterFunc(ctx, func() { conn.Close() })
	hello, read, err := p.greet(conn)
	if !undo() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, nil, nil, err
	}
	return conn, hello, read, nil
}

func (p *Peer) greet(conn net.Conn) (*Hello, *Reader, error) {
	frame, err := Append(nil, &Hello{Version: Version, Name: p.self, MaxFrame: MaxFrame})
	if err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, nil, err
	}
	read := NewReader(conn, MaxFrame)
	body, err := read.Next()
	if err != nil {
		return nil, nil, err
	}
	hello, is := body.(*Hello)
	switch {
	case !is:
		return nil, nil, fmt.Errorf("%w: %T instead of hello", ErrProtocol, body)
	case hello.Version != Version:
		return nil, nil, fmt.Errorf("%w: the worker speaks version %d, this program %d", ErrProtocol, hello.Version, Version)
	case hello.Name != p.name:
		return nil, nil, fmt.Errorf("%w: %q answers at the address of %q", ErrProtocol, hello.Name, p.name)
	}
	return hello, read, nil
}

// end gives an outcome to every call after a connection is gone or none was made.
func (p *Peer) end(err error, forever bool) {
	p.mu.Lock()
	var gone []*Call
	var how []Fate
	for _, c := range p.calls {
		switch c.state {
		case queued:
			gone, how = append(gone, c), append(how, Unsent)
		case writing, sent:
			gone, how = append(gone, c), append(how, Broken)
		}
		p.finish(c)
	}
	p.launches, p.control, p.cancels, p.bytes = nil, nil, nil, 0
	p.conn, p.out, p.leaving = nil, 0, false
	p.closed = p.closed || forever
	p.mu.Unlock()
	for i, c := range gone {
		c.done(Outcome{Fate: how[i], Err: err})
	}
}

func (p *Peer) read(r *Reader) error {
	for {
		body, err := r.Next()
		if err != nil {
			return fmt.Errorf("read from %s: %w", p.name, err)
		}
		switch b := body.(type) {
		case *Answer:
			p.ended(b.Seq, func(c *Call) (Outcome, bool) {
				return Outcome{Answer: b}, c.launch != nil && c.launch.Event == b.Event
			})
		case *Ordered:
			p.ended(b.Seq, func(c *Call) (Outcome, bool) { return Outcome{Ordered: b}, c.order != nil })
		case *Echo:
			p.ended(b.Seq, func(c *Call) (Outcome, bool) { return Outcome{Echo: b}, c.launch == nil && c.order == nil })
		case *Goodbye:
			p.mu.Lock()
			p.leaving = true
			waiting := append(append([]*Call(nil), p.launches...), p.control...)
			p.mu.Unlock()
			for _, c := range waiting {
				p.unqueue(c, ErrGoodbye)
			}
		default:
			return fmt.Errorf("%w: %s sent a %T", ErrProtocol, p.name, body)
		}
	}
}

// ended matches an answer with its call.
func (p *Peer) ended(seq uint64, match func(*Call) (Outcome, bool)) {
	p.mu.Lock()
	c := p.calls[seq]
	if c == nil || c.state == queued {
		p.counts.Stray++
		p.mu.Unlock()
		return
	}
	o, fits := match(c)
	if !fits {
		p.counts.Stray++
		p.mu.Unlock()
		return
	}
	was := c.state
	if c.launch != nil {
		p.out--
		p.wake()
	}
	if was == given {
		p.counts.Late++
	}
	p.finish(c)
	p.mu.Unlock()
	if was != given {
		c.done(o)
	}
}

// withhold ends the launches at the front of the queue that must not leave any more; the lock is held.
func (p *Peer) withhold() {
	for len(p.launches) > 0 && p.out < p.window {
		c := p.launches[0]
		if c.leaves == nil || c.leaves() {
			return
		}
		p.take(c)
		p.finish(c)
		go c.done(Outcome{Fate: Unsent, Err: ErrWithheld})
	}
}

// next takes what is to be written, or nothing.
func (p *Peer) next() (c *Call, body any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withhold()
	switch {
	case len(p.cancels) > 0:
		c, p.cancels = p.cancels[0], p.cancels[1:]
		return c, &Cancel{Seq: c.seq}
	case len(p.control) > 0:
		c = p.control[0]
		if c.order != nil {
			c.order.Seq = c.seq
			body = c.order
		} else {
			body = &Probe{Seq: c.seq}
		}
	case len(p.launches) > 0 && p.out < p.window:
		c = p.launches[0]
		c.launch.Seq, c.launch.Left = c.seq, max(0, time.Until(c.until))
		body = c.launch
		p.out++
	case p.bye:
		select {
		case <-p.left:
			return nil, nil
		default:
		}
		close(p.left)
		return nil, &Goodbye{Reason: "front end closes"}
	default:
		return nil, nil
	}
	p.take(c)
	c.expires.Stop()
	c.state = writing
	return c, body
}

func (p *Peer) write(ctx context.Context, conn net.Conn) error {
	var frame []byte
	for {
		c, body := p.next()
		var given *Call // whose cancel is written
		if _, is := body.(*Cancel); is {
			c, given = nil, c
		}
		if body == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-p.kick:
			}
			continue
		}
		var err error
		if frame, err = Append(frame[:0], body); err != nil {
			if c != nil {
				p.unwritten(c, err)
			}
			continue
		}
		if err := p.deadline(conn, c); err != nil {
			if c != nil {
				p.unwritten(c, err)
			}
			return fmt.Errorf("write to %s: %w", p.name, err)
		}
		n, err := conn.Write(frame)
		if err != nil {
			if c != nil && n == 0 {
				p.unwritten(c, err)
			}
			return fmt.Errorf("write to %s: %w", p.name, err)
		}
		if c != nil {
			p.mu.Lock()
			if c.state == writing {
				c.state = sent
			}
			p.mu.Unlock()
		}
		if given != nil {
			p.gaveUp(given)
		}
		if cap(frame) > 1<<20 {
			frame = nil
		}
	}
}

// gaveUp ends a launch whose worker was told that it is given up.
func (p *Peer) gaveUp(c *Call) {
	p.mu.Lock()
	is := c.state == sent || c.state == writing
	if is {
		c.state = given
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Fate: Recalled, Err: ErrRecalled})
	}
}

// deadline bounds the write to come. What was taken from the queue just before a Stop may not leave after its grace.
func (p *Peer) deadline(conn net.Conn, c *Call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	by := time.Now().Add(p.limits.Stall)
	if c != nil && (c.launch != nil || c.order != nil) && p.stopped && p.stopBy.Before(by) {
		by = p.stopBy
	}
	return conn.SetWriteDeadline(by)
}

// unwritten ends a call of which no byte has left.
func (p *Peer) unwritten(c *Call, err error) {
	p.mu.Lock()
	is := c.state == writing
	p.finish(c)
	if c.launch != nil {
		p.out--
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Fate: Unsent, Err: err})
	}
}
