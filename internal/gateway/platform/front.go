package platform

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/invariant"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/scheduler"
)

// Parts of what the platform allows that may be used for one purpose, and multiples of its times: protection, so that
// what others do wrong can't bring the front end down.
const (
	ownSockets    = 12 // what the process has beside: standard ones, the runtime's, the listener, the journal, one being accepted
	clientSockets = 2  // one of so many of the other descriptors for clients, who use a third at most if they keep to the protocol
	workerSockets = 3  // and for workers
	spareSockets  = 12 // and for workers that have none beyond that; the rest is for what is being closed
	bodyMemory    = 8  // and of the memory for bodies in hand
	feedMemory    = 16
	recentMemory  = 1024                    // a generation of ids may have as many as the memory over this
	muteDials     = 5                       // a client's message is whole, or its answer read, within so many times for a connection
	mostMute      = 2500 * time.Millisecond // of the platform: a client that asks for nothing useful hears a word, or the end, within 3 s
	restDials     = 8                       // what has come is read within one of so many parts of the time for a connection
	journalWaits  = 2                       // the journal is asked anew after so much of the drain grace
	mostWait      = 5 * time.Second         // of the platform: the journal waits no longer
	tellWithin    = 7 * time.Second         // of the platform: what the journal has to tell counts as told then, heard or not
	mostWriting   = 100 * time.Millisecond  // a request is written within that, as the time it tells goes on; of the platform's 150 ms
	comeLate      = 700 * time.Millisecond  // of the platform: requests go on coming so long after SIGTERM
	killAfter     = 3 * time.Second         // of the platform: SIGKILL comes so long after that, or after the longest max age
	mostAnswer    = 1 << 20                 // bytes of one word of a worker's answer
	mostOpen      = 32                      // of the platform: requests open on one connection of a client, whatever a worker takes on its own
)

// Front is one front end on the platform.
type Front struct {
	*engine
	reads    reads
	longest  time.Duration
	listener net.Listener
	server   *thrift.Server
	bytes    atomic.Int64 // of bodies in hand
	draining atomic.Bool
	recent   recent
	closings closings
	dropped  func() int64 // log lines that found no reader; may be nil
}

// New makes a front end that serves on a listener; record gets a recording of the core where it is not nil.
func New(c Config, listener net.Listener, log *slog.Logger, record io.Writer) *Front {
	f := &Front{engine: newEngine(c, log, record), listener: listener, reads: reads{keyed: map[string]bool{}, tenants: map[string]bool{}}}
	f.reads.ages, f.longest = c.ages()
	for _, t := range c.Front.Types {
		f.reads.keyed[t.Name] = t.Effect == scheduler.IdempotencyKey
	}
	for _, t := range c.Front.Tenants {
		f.reads.tenants[t.Name] = true
	}
	dial, idle := c.dial(), c.idle()
	f.server = thrift.NewServer(listener, thrift.Limits{Frame: mostBody + mostHead, Open: mostOpen,
		Conns: c.peerSockets() / clientSockets, Mute: min(muteDials*dial, mostMute), Idle: idle / 2, Write: muteDials * dial,
		Rest: max(dial/restDials, 1)}, f.handle)
	f.server.OnClose(f.connectionClosed)
	f.recent.keep, f.recent.most = f.longest, int(c.Memory/recentMemory)
	return f
}

// Run serves until ctx ends. Then it goes on taking requests for as long as the platform lets them come, answers all in
// hand before it would be killed, and returns.
func (f *Front) Run(ctx context.Context) error {
	return f.run(func(g *errgroup.Group, hard context.Context) {
		g.Go(func() error {
			defer f.stopped() // it is the last to have anything to do
			return f.server.Run(hard)
		})
		f.log.Info("front end listens", "address", f.listener.Addr().String())
		g.Go(func() error {
			select {
			case <-hard.Done():
			case <-ctx.Done():
				f.drain(hard)
			}
			return nil
		})
	})
}

// drain has every request answered that comes while the platform lets them come, and ends the front end then. Clients that
// never stop sending, or never read, can't hold it for longer than that and one more such time.
func (f *Front) drain(hard context.Context) {
	left := min(f.longest, killAfter) + comeLate/2
	f.draining.Store(true)
	f.ShutdownBy(time.Now().Add(left))
	f.log.Info("draining", "in hand", f.server.Open())
	come, end := time.After(comeLate), time.After(left+comeLate)
	for {
		select {
		case <-hard.Done():
			return
		case <-come:
			f.server.Drain()
		case <-end:
			f.stopped()
		}
	}
}

// checkClosed checks that nothing was owed on a connection that this side has closed.
func (f *Front) checkClosed(c thrift.Closed) {
	if !c.Reason.Ours() {
		return
	}
	if c.Open > 0 {
		f.monitor.Violated(invariant.ClosedUnanswered, "", "reason", c.Reason.String(), "client", c.Client, "requests", c.Open)
	}
	if c.Unwritten > 0 {
		f.monitor.Violated(invariant.ClosedBeforeWritten, "", "reason", c.Reason.String(), "client", c.Client, "bytes", c.Unwritten)
	}
}

// handle takes one message of a client.
func (f *Front) handle(c *thrift.Conn, m thrift.Message) {
	args, err := thrift.ReadArgs(m.Args)
	refuse := func(code int32, reason string) {
		c.Send(thrift.Refusal(m.Name, m.Seq, code, reason))
		c.Close()
	}
	switch {
	case err != nil:
		refuse(thrift.ProtocolError, err.Error())
	case m.Name == methodDispatch && m.Kind == thrift.Call:
		f.dispatch(c, m.Seq, args, refuse)
	case m.Name == methodCancel && (m.Kind == thrift.Oneway || m.Kind == thrift.Call):
		c.Cancel(args.Ints[1])
	case m.Name == methodAlive && m.Kind == thrift.Call:
		c.Send(answer(methodAlive, m.Seq, nil, !f.draining.Load()))
	default:
		refuse(thrift.UnknownMethod, fmt.Sprintf("no method %q", m.Name))
	}
}

// dispatch takes an event.
func (f *Front) dispatch(c *thrift.Conn, seq int32, args thrift.Args, refuse func(int32, string)) {
	r, err := f.reads.read(args)
	if err != nil {
		r = request{fact: &scheduler.Request{}}
	}
	e := &gateway.Request{Scheduled: r.fact, Body: r.body, Call: invoke.Call{IdempotencyKey: r.mark},
		Reply: func(a invoke.Response) { c.Answer(seq, spellAnswer(seq, a)) }}
	// the number is checked first: an answer under one that is open would be the answer to another request
	if !c.Begin(seq, func() { f.ClientDisconnected(e) }) {
		refuse(thrift.BadSequence, "a number that is not new, or too many requests at a time")
		return
	}
	bad := func(reason string) {
		c.Answer(seq, thrift.Refusal(methodDispatch, seq, thrift.InternalError, reason))
	}
	if err != nil {
		bad(err.Error())
		return
	}
	if !f.recent.add(r.number, time.Now()) { // every request has an id of its own, a repeat too
		bad("an event of this id came before")
		return
	}
	size := int64(len(r.body)) + 1
	if f.bytes.Add(size) > f.config.Memory/bodyMemory {
		f.bytes.Add(-size)
		c.Answer(seq, thrown(seq, resultThrottled))
		return
	}
	e.Done = func() { f.bytes.Add(-size) }
	f.Submit(e)
}

// spellAnswer spells the final answer of an event.
func spellAnswer(seq int32, a invoke.Response) []byte {
	switch a.Outcome {
	case invoke.Completed:
		return answer(methodDispatch, seq, a.Body, true)
	case invoke.Rejected:
		if a.RetryAfter <= 0 {
			return thrown(seq, resultThrottled)
		}
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		return thrown(seq, resultThrottled, "after", strconv.FormatInt(int64(ms), 10))
	case invoke.Failed:
		return thrown(seq, resultBroken)
	}
	return thrift.Refusal(methodDispatch, seq, thrift.InternalError, a.Reason)
}
