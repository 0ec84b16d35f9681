package thrift_test

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// gatedListener is a listener that accepts no connections until opened is closed, like one of a stalled process.
type gatedListener struct {
	*net.TCPListener
	opened chan struct{}
	wrap   func(net.Conn) net.Conn // wraps accepted connections; may be nil
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.opened
	conn, err := l.TCPListener.Accept()
	if err == nil && l.wrap != nil {
		conn = l.wrap(conn)
	}
	return conn, err
}

// drainingServer is a server that passes its calls to the test and is drained by it.
type drainingServer struct {
	*thrift.Server
	t        *testing.T
	listener *gatedListener
	calls    chan func() (*thrift.Conn, thrift.Message) // received calls
	ended    chan error                                 // result of Run
	stop     context.CancelFunc
}

func startDrainingServer(t *testing.T, limits thrift.Limits, wrap func(net.Conn) net.Conn) *drainingServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &drainingServer{t: t, listener: &gatedListener{inner.(*net.TCPListener), make(chan struct{}), wrap},
		calls: make(chan func() (*thrift.Conn, thrift.Message), 100), ended: make(chan error, 1)}
	d.Server = thrift.NewServer(d.listener, limits, func(c *thrift.Conn, m thrift.Message) {
		if !c.BeginCall(m.SeqID, func() { t.Error("cancelled:", m.SeqID) }) {
			t.Error("BeginCall rejected call", m.SeqID)
			return
		}
		d.calls <- func() (*thrift.Conn, thrift.Message) { return c, m }
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	t.Cleanup(stop)
	go func() { d.ended <- d.Run(ctx) }()
	return d
}

// answerNext waits for the next call and answers it.
func (d *drainingServer) answerNext(text string) {
	d.t.Helper()
	select {
	case call := <-d.calls:
		c, m := call()
		c.Reply(m.SeqID, replyFrame(m.SeqID, text))
	case <-time.After(20 * time.Second):
		d.t.Fatal("received no call within 20 s to answer with", text)
	}
}

// expectLastReply checks that the connection carries the answer to a call and is then closed.
func expectLastReply(t *testing.T, conn net.Conn, seq int32) {
	t.Helper()
	if m := readReply(t, conn); m.SeqID != seq || m.Type != thrift.Reply {
		t.Errorf("got %+v, want the answer to call %d", m, seq)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Error("the connection was not closed after the answer:", err)
	}
}

// A connection in the listen backlog when the server starts draining must be accepted, and its request answered.
func TestDrainAcceptsListenQueue(t *testing.T) {
	d := startDrainingServer(t, limits, nil)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	d.Drain()
	close(d.listener.opened)
	d.answerNext("a")
	expectLastReply(t, conn, 1)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// When the server starts draining, a request that has been received in part must be read completely and answered. An
// open request must be answered, and so must one that follows it on the same connection.
func TestDrainReadsPartialMessages(t *testing.T) {
	d := startDrainingServer(t, limits, nil)
	close(d.listener.opened)
	partial, open := dial(t, d.listener.Addr().String()), dial(t, d.listener.Addr().String())
	write(t, partial, callFrame(1, "a"))
	d.answerNext("a")
	readReply(t, partial)
	frame := callFrame(2, "b")
	write(t, partial, frame[:9])
	write(t, open, callFrame(1, "c"))
	c, m := (<-d.calls)()
	d.Drain()
	write(t, open, callFrame(2, "d"))
	c.Reply(m.SeqID, replyFrame(m.SeqID, "c"))
	if m := readReply(t, open); m.SeqID != 1 {
		t.Error(m)
	}
	d.answerNext("d")
	expectLastReply(t, open, 2)
	write(t, partial, frame[9:])
	d.answerNext("b")
	expectLastReply(t, partial, 2)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// An answer that is being written when the server starts draining must be written completely.
func TestDrainFinishesWrites(t *testing.T) {
	large := limits
	large.MaxFrameBytes = 32 << 20
	d := startDrainingServer(t, large, nil)
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	d.answerNext(string(make([]byte, large.MaxFrameBytes/2))) // more than the socket buffers hold
	d.Drain()
	expectLastReply(t, conn, 1)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// An idle connection must be closed as soon as the server starts draining.
func TestDrainClosesIdleConnections(t *testing.T) {
	d := startDrainingServer(t, limits, nil)
	close(d.listener.opened)
	used, unused := dial(t, d.listener.Addr().String()), dial(t, d.listener.Addr().String())
	write(t, used, callFrame(1, "a"))
	d.answerNext("a")
	readReply(t, used)
	d.Drain()
	expectClosed(t, used)
	expectClosed(t, unused)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// stalledReader is a connection of a process that stalls until the deadline of the second read: the read times out
// although a message has arrived.
type stalledReader struct {
	net.Conn
	mu       sync.Mutex
	deadline time.Time
	reads    int
}

func (c *stalledReader) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *stalledReader) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	n, deadline := c.reads, c.deadline
	c.mu.Unlock()
	if n != 2 {
		return c.Conn.Read(b)
	}
	time.Sleep(time.Until(deadline))
	return 0, os.ErrDeadlineExceeded
}

// A request that arrives before its connection is closed as idle must be answered, even if the process stalls and the
// read of the request times out. Without the final read the request would be lost.
func TestIdleTimeoutRacesWithRequest(t *testing.T) {
	short := limits
	short.IdleTimeout, short.FinalReadTimeout = 20*time.Millisecond, 10*time.Second
	d := startDrainingServer(t, short, func(conn net.Conn) net.Conn { return &stalledReader{Conn: conn} })
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	d.answerNext("a")
	readReply(t, conn)
	write(t, conn, callFrame(2, "b"))
	d.answerNext("b")
	if m := readReply(t, conn); m.SeqID != 2 {
		t.Error(m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A connection on which a message is being read must not be evicted for a new one if another connection is idle, even
// if the idle one was used later.
func TestIdleConnectionIsEvictedBeforeReadingOne(t *testing.T) {
	few := limits
	few.MaxConns = 2
	d := startDrainingServer(t, few, nil)
	close(d.listener.opened)
	awaitReadingConns := func(n int) {
		for d.ReadingConns() != n {
			time.Sleep(time.Millisecond)
		}
	}
	partial := dial(t, d.listener.Addr().String())
	write(t, partial, callFrame(1, "a"))
	d.answerNext("a")
	readReply(t, partial)
	frame := callFrame(2, "b")
	write(t, partial, frame[:9])
	awaitReadingConns(1)
	idle := dial(t, d.listener.Addr().String())
	write(t, idle, callFrame(1, "c"))
	d.answerNext("c")
	readReply(t, idle)
	awaitReadingConns(1)
	last := dial(t, d.listener.Addr().String())
	expectClosed(t, idle)
	write(t, partial, frame[9:])
	d.answerNext("b")
	if m := readReply(t, partial); m.SeqID != 2 {
		t.Error(m)
	}
	last.Close()
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}
