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

// Status is how a call to a worker ended, as far as the front end can tell.
type Status int

// The fates. Of a launch, Unsent says that no byte of it left: it never ran. Broken, Recalled and Answered with a code
// that does not say otherwise mean that it may have run.
const (
	StatusAnswered       Status = iota
	StatusUnsent                // no connection, or the call was still waiting to be written
	StatusConnectionLost        // bytes have left and the connection is gone
	StatusCancelled             // given up by the front end before an answer came
)

// Outcome ends a call. Just one is given for each call.
type Outcome struct {
	Status        Status
	AttemptResult *AttemptResult // of a launch that was answered
	LoadResult    *LoadResult    // of an order
	ProbeReply    *ProbeReply    // of a probe
	Err           error          // why there is no answer
}

// NeverRan tells whether a launch provably never ran.
func (o Outcome) NeverRan() bool {
	return o.Status == StatusUnsent || o.Status == StatusAnswered && o.AttemptResult != nil && o.AttemptResult.Code.NeverRan()
}

// Limits bound what a Peer holds and how long it waits.
type Limits struct {
	DialTimeout    time.Duration // for a connection and its hello
	QueueTimeout   time.Duration // a call not written by then is unsent
	WriteTimeout   time.Duration // a write that takes longer breaks the connection
	MaxQueuedCalls int           // most calls that wait to be written
	MaxQueuedBytes int           // and their bodies together
}

// Counts are a Peer's numbers since its start.
type Counts struct {
	Connections, UnmatchedResponses, LateResponses int // stray: answers to calls never made or answered before; late: to calls given up
}

// callState follows a call from the queue to its outcome.
type callState int

const (
	callQueued callState = iota
	callWriting
	callSent
	callAbandoned // up: the outcome was told, the worker has not answered yet
	callCompleted
)

// Call is one launch, order or probe under way.
type Call struct {
	client      *Client
	seq         uint64
	attempt     *Attempt
	loadRequest *LoadRequest
	deadline    time.Time   // of a launch: the client's time is up
	maySend     func() bool // of a launch: whether it may, asked when it is about to be written; nil: it may
	state       callState
	queueTimer  *time.Timer
	done        func(Outcome)

	cancelRequested bool
}

// Client is a front end's side of one worker: one connection, made when it is needed. Its methods may be called by
// any goroutine; outcomes come from goroutines of its own.
type Client struct {
	// OnHandshake, if set before Run, is told each hello of the worker.
	OnHandshake func(*Handshake)

	worker, gateway, addr string
	limits                Limits
	dial                  func(context.Context, string) (net.Conn, error)

	mu              sync.Mutex
	wakeup          chan struct{} // there is something to write
	controlQueue    []*Call       // orders and probes that wait
	cancelQueue     []*Call       // whose workers are to be told
	attemptQueue    []*Call       // launches that wait
	queuedBytes     int           // of waiting bodies
	calls           map[uint64]*Call
	inFlight        int // launches written and not answered, given up or not
	maxInFlight     int // most of them
	lastSeq         uint64
	conn            net.Conn
	workerDraining  bool          // the worker said goodbye
	drainNoticeDue  bool          // goodbye is to be said
	drainNoticeSent chan struct{} // closed when it was said or there is nobody to say it to
	nextDialAt      time.Time
	dialBackoff     *backoff.ExponentialBackOff
	closed          bool
	stopped         bool      // nothing new goes there
	stopDeadline    time.Time // until then a launch or order under way may still leave
	counts          Counts
}

// Errors of calls that were not sent.
var (
	ErrQueueFull      = errors.New("too much waits for this worker")
	ErrStopped        = errors.New("nothing new goes to this worker")
	ErrQueueTimeout   = errors.New("waited too long to be written")
	ErrBackoff        = errors.New("a connection failed a moment ago")
	ErrWorkerDraining = errors.New("the worker said goodbye")
	ErrCancelled      = errors.New("given up")
	ErrWithheld       = errors.New("its sender does not let it leave any more")
)

// NewClient makes a Peer of worker name at addr for the front end self. Run serves it.
func NewClient(self, name, addr string, l Limits, dial func(context.Context, string) (net.Conn, error)) *Client {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = l.DialTimeout/20, 2*l.DialTimeout
	return &Client{worker: name, gateway: self, addr: addr, limits: l, dial: dial, wakeup: make(chan struct{}, 1), drainNoticeSent: make(chan struct{}),
		calls: map[uint64]*Call{}, maxInFlight: 1, dialBackoff: pause}
}

// Send sends a launch; left is what is left of the client's time. done is called once.
func (p *Client) Send(l Attempt, left time.Duration, done func(Outcome)) *Call {
	return p.SendIf(l, left, nil, done)
}

// SendIf is Launch, but the launch is withheld where leaves, which must not wait, says no when it is about to be written.
func (p *Client) SendIf(l Attempt, left time.Duration, leaves func() bool, done func(Outcome)) *Call {
	return p.enqueue(&Call{attempt: &l, deadline: time.Now().Add(left), maySend: leaves, done: done})
}

// Load sends a load order.
func (p *Client) Load(o LoadRequest, done func(Outcome)) *Call {
	return p.enqueue(&Call{loadRequest: &o, done: done})
}

// Probe asks for a report.
func (p *Client) Probe(done func(Outcome)) *Call { return p.enqueue(&Call{done: done}) }

func (p *Client) enqueue(c *Call) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeq++
	c.client, c.seq = p, p.lastSeq
	var err error
	size := 0
	if c.attempt != nil {
		size = len(c.attempt.Body)
	}
	switch {
	case p.closed || p.stopped && (c.attempt != nil || c.loadRequest != nil):
		err = ErrStopped
	case p.workerDraining:
		err = ErrWorkerDraining
	case p.conn == nil && time.Now().Before(p.nextDialAt):
		err = ErrBackoff
	case len(p.attemptQueue)+len(p.controlQueue) >= p.limits.MaxQueuedCalls || p.queuedBytes+size > p.limits.MaxQueuedBytes:
		err = ErrQueueFull
	}
	if err != nil {
		c.state = callCompleted
		go c.done(Outcome{Status: StatusUnsent, Err: err})
		return c
	}
	if c.attempt != nil {
		p.attemptQueue = append(p.attemptQueue, c)
	} else {
		p.controlQueue = append(p.controlQueue, c)
	}
	p.queuedBytes += size
	p.calls[c.seq] = c
	c.queueTimer = time.AfterFunc(p.limits.QueueTimeout, func() { p.abortQueued(c, ErrQueueTimeout) })
	p.wake()
	return c
}

func (p *Client) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// abortQueued ends a call that still waits to be written; false if it does not.
func (p *Client) abortQueued(c *Call, why error) bool {
	p.mu.Lock()
	is := c.state == callQueued
	if is {
		p.dequeue(c)
		p.finish(c)
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Status: StatusUnsent, Err: why})
	}
	return is
}

// dequeue removes a call from its queue.
func (p *Client) dequeue(c *Call) {
	line := &p.controlQueue
	if c.attempt != nil {
		line = &p.attemptQueue
		p.queuedBytes -= len(c.attempt.Body)
	}
	for i, x := range *line {
		if x == c {
			*line = append((*line)[:i], (*line)[i+1:]...)
			return
		}
	}
}

func (p *Client) finish(c *Call) {
	c.state = callCompleted
	delete(p.calls, c.seq)
	c.queueTimer.Stop()
}

// Cancel gives a launch up. One that waits is unsent. Of one that was sent, with tell, the worker is told, and the
// launch is recalled once that has left, so that another launch can't overtake the word that this one is given up; an
// answer that comes before is its outcome, one that comes later is counted and dropped. Without tell it is recalled at
// once. A call that has its outcome stays as it is.
func (c *Call) Cancel(tell bool) {
	p := c.client
	if p.abortQueued(c, ErrCancelled) {
		return
	}
	p.mu.Lock()
	is := c.state == callSent || c.state == callWriting
	if is && tell {
		if !c.cancelRequested {
			c.cancelRequested = true
			p.cancelQueue = append(p.cancelQueue, c)
			p.wake()
		}
		is = false
	} else if is {
		c.state = callAbandoned
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Status: StatusCancelled, Err: ErrCancelled})
	}
}

// Stop ends launches and orders that were not written yet as unsent, and those that are still asked for: the worker is
// drained or gone. A write of one that is under way and not done within grace breaks the connection, so that nothing
// leaves later. Probes and cancels go on.
func (p *Client) Stop(grace time.Duration) {
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return
	}
	p.stopped, p.stopDeadline = true, time.Now().Add(grace)
	waiting := append([]*Call(nil), p.attemptQueue...)
	for _, c := range p.controlQueue {
		if c.loadRequest != nil {
			waiting = append(waiting, c)
		}
	}
	for _, c := range p.calls {
		if p.conn != nil && c.state == callWriting {
			if err := p.conn.SetWriteDeadline(p.stopDeadline); err != nil {
				p.conn.Close()
			}
		}
	}
	p.mu.Unlock()
	for _, c := range waiting {
		p.abortQueued(c, ErrStopped)
	}
}

// Resume lets calls go there again: the worker is listed as in service.
func (p *Client) Resume() {
	p.mu.Lock()
	p.stopped = false
	p.mu.Unlock()
}

// NotifyDraining has the worker told that nothing more comes; Left waits until that was written, or for some time.
func (p *Client) NotifyDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainNoticeDue {
		return
	}
	p.drainNoticeDue = true
	if p.conn == nil {
		close(p.drainNoticeSent)
	}
	p.wake()
}

// AwaitDrainNotice waits until goodbye was written, at most so long.
func (p *Client) AwaitDrainNotice(most time.Duration) {
	timer := time.NewTimer(max(0, most))
	defer timer.Stop()
	select {
	case <-p.drainNoticeSent:
	case <-timer.C:
	}
}

// Counts tells the Peer's numbers.
func (p *Client) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Pending is the number of calls without an outcome.
func (p *Client) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.calls {
		if c.state != callAbandoned {
			n++
		}
	}
	return n
}

// Run connects when something waits and serves the connection, until ctx ends. Then whatever has no outcome gets one.
func (p *Client) Run(ctx context.Context) error {
	defer p.failCalls(errors.New("front end closes"), true)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wakeup:
		}
		p.mu.Lock()
		need := len(p.attemptQueue)+len(p.controlQueue) > 0
		wait := time.Until(p.nextDialAt)
		p.mu.Unlock()
		if !need {
			continue
		}
		if wait > 0 { // calls that came before the failure was known
			p.failCalls(ErrBackoff, false)
			continue
		}
		err := p.serve(ctx)
		p.failCalls(err, false)
	}
}

// serve makes one connection and works on it until it breaks.
func (p *Client) serve(ctx context.Context) error {
	conn, hello, read, err := p.connect(ctx)
	p.mu.Lock()
	if err != nil {
		p.nextDialAt = time.Now().Add(p.dialBackoff.NextBackOff())
		p.mu.Unlock()
		return fmt.Errorf("connect to %s: %w", p.worker, err)
	}
	p.dialBackoff.Reset()
	p.conn, p.maxInFlight, p.workerDraining, p.inFlight = conn, max(1, hello.MaxAttempts), false, 0
	p.counts.Connections++
	p.mu.Unlock()
	if p.OnHandshake != nil {
		p.OnHandshake(hello)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	g.Go(func() error { return p.readLoop(read) })
	g.Go(func() error { return p.writeLoop(ctx, conn) })
	return g.Wait()
}

func (p *Client) connect(ctx context.Context) (net.Conn, *Handshake, *FrameReader, error) {
	ctx, stop := context.WithTimeout(ctx, p.limits.DialTimeout)
	defer stop()
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, nil, nil, err
	}
	undo := context.AfterFunc(ctx, func() { conn.Close() })
	hello, read, err := p.handshake(conn)
	if !undo() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, nil, nil, err
	}
	return conn, hello, read, nil
}

func (p *Client) handshake(conn net.Conn) (*Handshake, *FrameReader, error) {
	frame, err := AppendFrame(nil, &Handshake{Version: ProtocolVersion, Name: p.gateway, MaxFrame: MaxFrame})
	if err != nil {
		return nil, nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, nil, err
	}
	read := NewFrameReader(conn, MaxFrame)
	body, err := read.Next()
	if err != nil {
		return nil, nil, err
	}
	hello, is := body.(*Handshake)
	switch {
	case !is:
		return nil, nil, fmt.Errorf("%w: %T instead of hello", ErrProtocol, body)
	case hello.Version != ProtocolVersion:
		return nil, nil, fmt.Errorf("%w: the worker speaks version %d, this program %d", ErrProtocol, hello.Version, ProtocolVersion)
	case hello.Name != p.worker:
		return nil, nil, fmt.Errorf("%w: %q answers at the address of %q", ErrProtocol, hello.Name, p.worker)
	}
	return hello, read, nil
}

// failCalls gives an outcome to every call after a connection is gone or none was made.
func (p *Client) failCalls(err error, forever bool) {
	p.mu.Lock()
	var gone []*Call
	var how []Status
	for _, c := range p.calls {
		switch c.state {
		case callQueued:
			gone, how = append(gone, c), append(how, StatusUnsent)
		case callWriting, callSent:
			gone, how = append(gone, c), append(how, StatusConnectionLost)
		}
		p.finish(c)
	}
	p.attemptQueue, p.controlQueue, p.cancelQueue, p.queuedBytes = nil, nil, nil, 0
	p.conn, p.inFlight, p.workerDraining = nil, 0, false
	p.closed = p.closed || forever
	p.mu.Unlock()
	for i, c := range gone {
		c.done(Outcome{Status: how[i], Err: err})
	}
}

func (p *Client) readLoop(r *FrameReader) error {
	for {
		body, err := r.Next()
		if err != nil {
			return fmt.Errorf("read from %s: %w", p.worker, err)
		}
		switch b := body.(type) {
		case *AttemptResult:
			p.completeCall(b.Seq, func(c *Call) (Outcome, bool) {
				return Outcome{AttemptResult: b}, c.attempt != nil && c.attempt.RequestID == b.RequestID
			})
		case *LoadResult:
			p.completeCall(b.Seq, func(c *Call) (Outcome, bool) { return Outcome{LoadResult: b}, c.loadRequest != nil })
		case *ProbeReply:
			p.completeCall(b.Seq, func(c *Call) (Outcome, bool) { return Outcome{ProbeReply: b}, c.attempt == nil && c.loadRequest == nil })
		case *DrainNotice:
			p.mu.Lock()
			p.workerDraining = true
			waiting := append(append([]*Call(nil), p.attemptQueue...), p.controlQueue...)
			p.mu.Unlock()
			for _, c := range waiting {
				p.abortQueued(c, ErrWorkerDraining)
			}
		default:
			return fmt.Errorf("%w: %s sent a %T", ErrProtocol, p.worker, body)
		}
	}
}

// completeCall matches an answer with its call.
func (p *Client) completeCall(seq uint64, match func(*Call) (Outcome, bool)) {
	p.mu.Lock()
	c := p.calls[seq]
	if c == nil || c.state == callQueued {
		p.counts.UnmatchedResponses++
		p.mu.Unlock()
		return
	}
	o, fits := match(c)
	if !fits {
		p.counts.UnmatchedResponses++
		p.mu.Unlock()
		return
	}
	was := c.state
	if c.attempt != nil {
		p.inFlight--
		p.wake()
	}
	if was == callAbandoned {
		p.counts.LateResponses++
	}
	p.finish(c)
	p.mu.Unlock()
	if was != callAbandoned {
		c.done(o)
	}
}

// dropWithheld ends the launches at the front of the queue that must not leave any more; the lock is held.
func (p *Client) dropWithheld() {
	for len(p.attemptQueue) > 0 && p.inFlight < p.maxInFlight {
		c := p.attemptQueue[0]
		if c.maySend == nil || c.maySend() {
			return
		}
		p.dequeue(c)
		p.finish(c)
		go c.done(Outcome{Status: StatusUnsent, Err: ErrWithheld})
	}
}

// nextMessage takes what is to be written, or nothing.
func (p *Client) nextMessage() (c *Call, body any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropWithheld()
	switch {
	case len(p.cancelQueue) > 0:
		c, p.cancelQueue = p.cancelQueue[0], p.cancelQueue[1:]
		return c, &Cancel{Seq: c.seq}
	case len(p.controlQueue) > 0:
		c = p.controlQueue[0]
		if c.loadRequest != nil {
			c.loadRequest.Seq = c.seq
			body = c.loadRequest
		} else {
			body = &Probe{Seq: c.seq}
		}
	case len(p.attemptQueue) > 0 && p.inFlight < p.maxInFlight:
		c = p.attemptQueue[0]
		c.attempt.Seq, c.attempt.TimeLeft = c.seq, max(0, time.Until(c.deadline))
		body = c.attempt
		p.inFlight++
	case p.drainNoticeDue:
		select {
		case <-p.drainNoticeSent:
			return nil, nil
		default:
		}
		close(p.drainNoticeSent)
		return nil, &DrainNotice{Reason: "front end closes"}
	default:
		return nil, nil
	}
	p.dequeue(c)
	c.queueTimer.Stop()
	c.state = callWriting
	return c, body
}

func (p *Client) writeLoop(ctx context.Context, conn net.Conn) error {
	var frame []byte
	for {
		c, body := p.nextMessage()
		var given *Call // whose cancel is written
		if _, is := body.(*Cancel); is {
			c, given = nil, c
		}
		if body == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-p.wakeup:
			}
			continue
		}
		var err error
		if frame, err = AppendFrame(frame[:0], body); err != nil {
			if c != nil {
				p.failUnwritten(c, err)
			}
			continue
		}
		if err := p.setWriteDeadline(conn, c); err != nil {
			if c != nil {
				p.failUnwritten(c, err)
			}
			return fmt.Errorf("write to %s: %w", p.worker, err)
		}
		n, err := conn.Write(frame)
		if err != nil {
			if c != nil && n == 0 {
				p.failUnwritten(c, err)
			}
			return fmt.Errorf("write to %s: %w", p.worker, err)
		}
		if c != nil {
			p.mu.Lock()
			if c.state == callWriting {
				c.state = callSent
			}
			p.mu.Unlock()
		}
		if given != nil {
			p.abandon(given)
		}
		if cap(frame) > 1<<20 {
			frame = nil
		}
	}
}

// abandon ends a launch whose worker was told that it is given up.
func (p *Client) abandon(c *Call) {
	p.mu.Lock()
	is := c.state == callSent || c.state == callWriting
	if is {
		c.state = callAbandoned
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Status: StatusCancelled, Err: ErrCancelled})
	}
}

// setWriteDeadline bounds the write to come. What was taken from the queue just before a Stop may not leave after its grace.
func (p *Client) setWriteDeadline(conn net.Conn, c *Call) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	by := time.Now().Add(p.limits.WriteTimeout)
	if c != nil && (c.attempt != nil || c.loadRequest != nil) && p.stopped && p.stopDeadline.Before(by) {
		by = p.stopDeadline
	}
	return conn.SetWriteDeadline(by)
}

// failUnwritten ends a call of which no byte has left.
func (p *Client) failUnwritten(c *Call, err error) {
	p.mu.Lock()
	is := c.state == callWriting
	p.finish(c)
	if c.attempt != nil {
		p.inFlight--
	}
	p.mu.Unlock()
	if is {
		c.done(Outcome{Status: StatusUnsent, Err: err})
	}
}
