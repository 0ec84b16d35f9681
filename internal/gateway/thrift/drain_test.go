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

// gatedListener accepts nothing until it is opened, as a process that stalls does, and wraps the connections.
type gatedListener struct {
	*net.TCPListener
	opened chan struct{}
	wrap   func(net.Conn) net.Conn
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.opened
	conn, err := l.TCPListener.Accept()
	if err == nil && l.wrap != nil {
		conn = l.wrap(conn)
	}
	return conn, err
}

// drainingServer is a server whose calls come to the test, which drains it.
type drainingServer struct {
	*thrift.Server
	t        *testing.T
	listener *gatedListener
	calls    chan func() (*thrift.Conn, thrift.Message)
	ended    chan error
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
			t.Error("not begun:", m.SeqID)
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

// answerNext answers the next call.
func (d *drainingServer) answerNext(text string) {
	d.t.Helper()
	select {
	case call := <-d.calls:
		c, m := call()
		c.Reply(m.SeqID, replyFrame(m.SeqID, text))
	case <-time.After(20 * time.Second):
		d.t.Fatal("no call came for", text)
	}
}

// expectLastReply reads an answer, and the end of the connection after it.
func expectLastReply(t *testing.T, conn net.Conn, seq int32) {
	t.Helper()
	if m := readReply(t, conn); m.SeqID != seq || m.Type != thrift.Reply {
		t.Errorf("%+v instead of the answer to %d", m, seq)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Error("instead of the end:", err)
	}
}

// What is in the listen backlog when the server begins to drain is accepted, read and answered.
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

// A request that has come in part when the server begins to drain is read to its end and answered; an open one is
// answered, and one that follows it on its connection.
func TestDrainReadsPartialMessages(t *testing.T) {
	d := startDrainingServer(t, limits, nil)
	close(d.listener.opened)
	half, open := dial(t, d.listener.Addr().String()), dial(t, d.listener.Addr().String())
	write(t, half, callFrame(1, "a"))
	d.answerNext("a")
	readReply(t, half)
	frame := callFrame(2, "b")
	write(t, half, frame[:9])
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
	write(t, half, frame[9:])
	d.answerNext("b")
	expectLastReply(t, half, 2)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// An answer that is being written when the server begins to drain is written to its end.
func TestDrainFinishesWrites(t *testing.T) {
	large := limits
	large.MaxFrameBytes = 32 << 20
	d := startDrainingServer(t, large, nil)
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	d.answerNext(string(make([]byte, large.MaxFrameBytes/2))) // more than the sockets take while nobody reads
	d.Drain()
	expectLastReply(t, conn, 1)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// An idle connection ends as soon as the server begins to drain.
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

// lateReader is a connection whose process stalls past the deadline of the second read: the time is up when it reads,
// though a message is there.
type lateReader struct {
	net.Conn
	mu    sync.Mutex
	until time.Time
	reads int
}

func (c *lateReader) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
	return c.Conn.SetReadDeadline(t)
}

func (c *lateReader) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	n, until := c.reads, c.until
	c.mu.Unlock()
	if n != 2 {
		return c.Conn.Read(b)
	}
	time.Sleep(time.Until(until))
	return 0, os.ErrDeadlineExceeded
}

// A request that came before a connection is closed as idle is read, however late its reader is.
func TestIdleTimeoutRacesWithRequest(t *testing.T) {
	short := limits
	short.IdleTimeout, short.FinalRead = 20*time.Millisecond, 10*time.Second
	d := startDrainingServer(t, short, func(conn net.Conn) net.Conn { return &lateReader{Conn: conn} })
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

// A connection of which a message is being read is not evicted for a new one while another is idle, though that one was
// used later.
func TestIdleConnectionIsEvictedBeforeReadingOne(t *testing.T) {
	few := limits
	few.MaxConns = 2
	d := startDrainingServer(t, few, nil)
	close(d.listener.opened)
	reading := func(n int) {
		for d.ReadingConns() != n {
			time.Sleep(time.Millisecond)
		}
	}
	half := dial(t, d.listener.Addr().String())
	write(t, half, callFrame(1, "a"))
	d.answerNext("a")
	readReply(t, half)
	frame := callFrame(2, "b")
	write(t, half, frame[:9])
	reading(1)
	idle := dial(t, d.listener.Addr().String())
	write(t, idle, callFrame(1, "c"))
	d.answerNext("c")
	readReply(t, idle)
	reading(1)
	last := dial(t, d.listener.Addr().String())
	expectClosed(t, idle)
	write(t, half, frame[9:])
	d.answerNext("b")
	if m := readReply(t, half); m.SeqID != 2 {
		t.Error(m)
	}
	last.Close()
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}
