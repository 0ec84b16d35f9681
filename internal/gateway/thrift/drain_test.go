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

// listener holds connections back until it is opened, as a process that stands still does, and gives out conns that a
// test changes.
type listener struct {
	*net.TCPListener
	opened chan struct{}
	wrap   func(net.Conn) net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	<-l.opened
	conn, err := l.TCPListener.Accept()
	if err == nil && l.wrap != nil {
		conn = l.wrap(conn)
	}
	return conn, err
}

// drains is a server that ends by itself; its calls come to the test.
type drains struct {
	*thrift.Server
	t        *testing.T
	listener *listener
	came     chan func() (*thrift.Conn, thrift.Message)
	ended    chan error
	stop     context.CancelFunc
}

func newDrains(t *testing.T, l thrift.Limits, wrap func(net.Conn) net.Conn) *drains {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &drains{t: t, listener: &listener{inner.(*net.TCPListener), make(chan struct{}), wrap},
		came: make(chan func() (*thrift.Conn, thrift.Message), 100), ended: make(chan error, 1)}
	d.Server = thrift.NewServer(d.listener, l, func(c *thrift.Conn, m thrift.Message) {
		if !c.Begin(m.Seq, func() { t.Error("taken back:", m.Seq) }) {
			t.Error("not taken:", m.Seq)
			return
		}
		d.came <- func() (*thrift.Conn, thrift.Message) { return c, m }
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	t.Cleanup(stop)
	go func() { d.ended <- d.Run(ctx) }()
	return d
}

// answers answers the next call that comes.
func (d *drains) answers(text string) {
	d.t.Helper()
	select {
	case came := <-d.came:
		c, m := came()
		c.Answer(m.Seq, reply(m.Seq, text))
	case <-time.After(20 * time.Second):
		d.t.Fatal("no call came for", text)
	}
}

// wants reads an answer and the end of the connection after it.
func wants(t *testing.T, conn net.Conn, seq int32) {
	t.Helper()
	if m := next(t, conn); m.Seq != seq || m.Kind != thrift.Reply {
		t.Errorf("%+v instead of the answer to %d", m, seq)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Error("instead of the end:", err)
	}
}

// What is still in the listen queue when the server is told to end is accepted, read and answered.
func TestDrainTakesTheListenQueue(t *testing.T) {
	d := newDrains(t, limits, nil)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, call(1, "a"))
	d.Drain()
	close(d.listener.opened)
	d.answers("a")
	wants(t, conn, 1)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A request that has come in part when the server is told to end is read to its end and answered; one that is open is
// answered, and one that follows it on its connection.
func TestDrainReadsWhatHasBegun(t *testing.T) {
	d := newDrains(t, limits, nil)
	close(d.listener.opened)
	half, open := dial(t, d.listener.Addr().String()), dial(t, d.listener.Addr().String())
	write(t, half, call(1, "a"))
	d.answers("a")
	next(t, half)
	frame := call(2, "b")
	write(t, half, frame[:9])
	write(t, open, call(1, "c"))
	c, m := (<-d.came)()
	d.Drain()
	write(t, open, call(2, "d"))
	c.Answer(m.Seq, reply(m.Seq, "c"))
	if m := next(t, open); m.Seq != 1 {
		t.Error(m)
	}
	d.answers("d")
	wants(t, open, 2)
	write(t, half, frame[9:])
	d.answers("b")
	wants(t, half, 2)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// An answer that is still being written when the server is told to end comes whole.
func TestDrainWritesToTheEnd(t *testing.T) {
	l := limits
	l.Frame = 32 << 20
	d := newDrains(t, l, nil)
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, call(1, "a"))
	d.answers(string(make([]byte, l.Frame/2))) // more than the sockets take while nobody reads
	d.Drain()
	wants(t, conn, 1)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A connection with nothing open ends when the server is told to end, at once.
func TestDrainEndsWhatRests(t *testing.T) {
	d := newDrains(t, limits, nil)
	close(d.listener.opened)
	asked, mute := dial(t, d.listener.Addr().String()), dial(t, d.listener.Addr().String())
	write(t, asked, call(1, "a"))
	d.answers("a")
	next(t, asked)
	d.Drain()
	closed(t, asked)
	closed(t, mute)
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// late is a connection whose process stands still past the time of the second read: its time is up when it looks, though a
// message is there.
type late struct {
	net.Conn
	mu    sync.Mutex
	until time.Time
	reads int
}

func (c *late) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
	return c.Conn.SetReadDeadline(t)
}

func (c *late) Read(b []byte) (int, error) {
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
func TestIdleCloseCrossesARequest(t *testing.T) {
	l := limits
	l.Idle, l.Rest = 20*time.Millisecond, 10*time.Second
	d := newDrains(t, l, func(conn net.Conn) net.Conn { return &late{Conn: conn} })
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, call(1, "a"))
	d.answers("a")
	next(t, conn)
	write(t, conn, call(2, "b"))
	d.answers("b")
	if m := next(t, conn); m.Seq != 2 {
		t.Error(m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A connection of which a message is being read does not give way to a new one while another rests, though that one was
// heard of later.
func TestGivesWayWhileItRests(t *testing.T) {
	l := limits
	l.Conns = 2
	d := newDrains(t, l, nil)
	close(d.listener.opened)
	reading := func(n int) {
		for d.Reading() != n {
			time.Sleep(time.Millisecond)
		}
	}
	half := dial(t, d.listener.Addr().String())
	write(t, half, call(1, "a"))
	d.answers("a")
	next(t, half)
	frame := call(2, "b")
	write(t, half, frame[:9])
	reading(1)
	rests := dial(t, d.listener.Addr().String())
	write(t, rests, call(1, "c"))
	d.answers("c")
	next(t, rests)
	reading(1)
	last := dial(t, d.listener.Addr().String())
	closed(t, rests)
	write(t, half, frame[9:])
	d.answers("b")
	if m := next(t, half); m.Seq != 2 {
		t.Error(m)
	}
	last.Close()
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}
