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
	reservedSockets        = 12 // what the process has beside: standard ones, the runtime's, the listener, the journal, one being accepted
	clientSocketDivisor    = 2  // one of so many of the other descriptors for clients, who use a third at most if they keep to the protocol
	workerSocketDivisor    = 3  // and for workers
	extraSocketDivisor     = 12 // and for workers that have none beyond that; the rest is for what is being closed
	bodyMemoryDivisor      = 8  // and of the memory for bodies in hand
	discoveryMemoryDivisor = 16
	bytesPerRecentID       = 1024                    // a generation of ids may have as many as the memory over this
	messageTimeoutDials    = 5                       // a client's message is whole, or its answer read, within so many times for a connection
	maxMessageTimeout      = 2500 * time.Millisecond // of the platform: a client that asks for nothing useful hears a word, or the end, within 3 s
	finalReadDivisor       = 8                       // what has come is read within one of so many parts of the time for a connection
	pollWaitGraces         = 2                       // the journal is asked anew after so much of the drain grace
	maxPollWait            = 5 * time.Second         // of the platform: the journal waits no longer
	deliveryBound          = 7 * time.Second         // of the platform: what the journal has to tell counts as told then, heard or not
	maxWriteTime           = 100 * time.Millisecond  // a request is written within that, as the time it tells goes on; of the platform's 150 ms
	lateArrivals           = 700 * time.Millisecond  // of the platform: requests go on coming so long after SIGTERM
	terminationGrace       = 3 * time.Second         // of the platform: SIGKILL comes so long after that, or after the longest max age
	maxElementBytes        = 1 << 20                 // bytes of one word of a worker's answer
	maxOpenRequests        = 32                      // of the platform: requests open on one connection of a client, whatever a worker takes on its own
)

// Gateway is one front end on the platform.
type Gateway struct {
	*engine
	decoder         requestDecoder
	longestMaxAge   time.Duration
	listener        net.Listener
	server          *thrift.Server
	bodyBytes       atomic.Int64 // of bodies in hand
	draining        atomic.Bool
	recentIDs       recentIDs
	closeCounts     closeCounts
	droppedLogLines func() int64 // log lines that found no reader; may be nil
}

// New makes a front end that serves on a listener; record gets a recording of the core where it is not nil.
func New(c Config, listener net.Listener, log *slog.Logger, record io.Writer) *Gateway {
	f := &Gateway{engine: newEngine(c, log, record), listener: listener, decoder: requestDecoder{keyed: map[string]bool{}, tenants: map[string]bool{}}}
	f.decoder.maxAges, f.longestMaxAge = c.maxAges()
	for _, t := range c.Core.Types {
		f.decoder.keyed[t.Name] = t.Effect == scheduler.IdempotencyKey
	}
	for _, t := range c.Core.Tenants {
		f.decoder.tenants[t.Name] = true
	}
	dial, idle := c.dialTimeout(), c.connIdleTimeout()
	f.server = thrift.NewServer(listener, thrift.Limits{MaxFrameBytes: maxBodyBytes + maxHeadBytes, MaxOpenCalls: maxOpenRequests,
		MaxConns: c.peerSockets() / clientSocketDivisor, MessageTimeout: min(messageTimeoutDials*dial, maxMessageTimeout), IdleTimeout: idle / 2, WriteTimeout: messageTimeoutDials * dial,
		FinalRead: max(dial/finalReadDivisor, 1)}, f.handle)
	f.server.OnClose(f.connectionClosed)
	f.recentIDs.retention, f.recentIDs.maxPerGeneration = f.longestMaxAge, int(c.Memory/bytesPerRecentID)
	return f
}

// Run serves until ctx ends. Then it goes on taking requests for as long as the platform lets them come, answers all in
// hand before it would be killed, and returns.
func (f *Gateway) Run(ctx context.Context) error {
	return f.run(func(g *errgroup.Group, hard context.Context) {
		g.Go(func() error {
			defer f.stopWork() // it is the last to have anything to do
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
func (f *Gateway) drain(hard context.Context) {
	left := min(f.longestMaxAge, terminationGrace) + lateArrivals/2
	f.draining.Store(true)
	f.ShutdownBy(time.Now().Add(left))
	f.log.Info("draining", "in hand", f.server.OpenCalls())
	come, end := time.After(lateArrivals), time.After(left+lateArrivals)
	for {
		select {
		case <-hard.Done():
			return
		case <-come:
			f.server.Drain()
		case <-end:
			f.stopWork()
		}
	}
}

// checkClosed checks that nothing was owed on a connection that this side has closed.
func (f *Gateway) checkClosed(c thrift.CloseEvent) {
	if !c.Reason.ByServer() {
		return
	}
	if c.OpenCalls > 0 {
		f.monitor.Violated(invariant.ClosedUnanswered, "", "reason", c.Reason.String(), "client", c.ClientAddr, "requests", c.OpenCalls)
	}
	if c.UnwrittenBytes > 0 {
		f.monitor.Violated(invariant.ClosedBeforeWritten, "", "reason", c.Reason.String(), "client", c.ClientAddr, "bytes", c.UnwrittenBytes)
	}
}

// handle takes one message of a client.
func (f *Gateway) handle(c *thrift.Conn, m thrift.Message) {
	args, err := thrift.ReadArgs(m.Args)
	refuse := func(code int32, reason string) {
		c.Send(thrift.EncodeException(m.Name, m.SeqID, code, reason))
		c.Close()
	}
	switch {
	case err != nil:
		refuse(thrift.ProtocolError, err.Error())
	case m.Name == methodDispatch && m.Type == thrift.Call:
		f.dispatch(c, m.SeqID, args, refuse)
	case m.Name == methodCancel && (m.Type == thrift.Oneway || m.Type == thrift.Call):
		c.CancelCall(args.Ints[1])
	case m.Name == methodAlive && m.Type == thrift.Call:
		c.Send(encodeReply(methodAlive, m.SeqID, nil, !f.draining.Load()))
	default:
		refuse(thrift.UnknownMethod, fmt.Sprintf("no method %q", m.Name))
	}
}

// dispatch takes an event.
func (f *Gateway) dispatch(c *thrift.Conn, seq int32, args thrift.Args, refuse func(int32, string)) {
	r, err := f.decoder.decode(args)
	if err != nil {
		r = clientRequest{fact: &scheduler.Request{}}
	}
	e := &gateway.Request{Scheduled: r.fact, Body: r.body, Call: invoke.Call{IdempotencyKey: r.idempotencyKey},
		Reply: func(a invoke.Response) { c.Reply(seq, encodeAnswer(seq, a)) }}
	// the number is checked first: an answer under one that is open would be the answer to another request
	if !c.BeginCall(seq, func() { f.ClientDisconnected(e) }) {
		refuse(thrift.BadSequenceID, "a number that is not new, or too many requests at a time")
		return
	}
	bad := func(reason string) {
		c.Reply(seq, thrift.EncodeException(methodDispatch, seq, thrift.InternalError, reason))
	}
	if err != nil {
		bad(err.Error())
		return
	}
	if !f.recentIDs.add(r.numericID, time.Now()) { // every request has an id of its own, a repeat too
		bad("an event of this id came before")
		return
	}
	size := int64(len(r.body)) + 1
	if f.bodyBytes.Add(size) > f.config.Memory/bodyMemoryDivisor {
		f.bodyBytes.Add(-size)
		c.Reply(seq, encodeException(seq, resultThrottled))
		return
	}
	e.Done = func() { f.bodyBytes.Add(-size) }
	f.Submit(e)
}

// encodeAnswer spells the final answer of an event.
func encodeAnswer(seq int32, a invoke.Response) []byte {
	switch a.Outcome {
	case invoke.Completed:
		return encodeReply(methodDispatch, seq, a.Body, true)
	case invoke.Rejected:
		if a.RetryAfter <= 0 {
			return encodeException(seq, resultThrottled)
		}
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		return encodeException(seq, resultThrottled, "after", strconv.FormatInt(int64(ms), 10))
	case invoke.Failed:
		return encodeException(seq, resultFailed)
	}
	return thrift.EncodeException(methodDispatch, seq, thrift.InternalError, a.Reason)
}
