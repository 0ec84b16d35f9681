package thrift_test

import (
	"context"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// blockedWriter is a connection whose writes wait until they are released, as with a client that does not read.
type blockedWriter struct {
	net.Conn
	release chan struct{}
}

func (c *blockedWriter) Write(b []byte) (int, error) {
	<-c.release
	return c.Conn.Write(b)
}

// A connection whose answer is not written yet is not evicted for a new one: the answer would never arrive.
func TestUnwrittenAnswerPreventsEviction(t *testing.T) {
	single := limits
	single.MaxConns = 1
	release := make(chan struct{})
	first := true
	d := startDrainingServer(t, single, func(conn net.Conn) net.Conn {
		if first {
			first = false
			return &blockedWriter{conn, release}
		}
		return conn
	})
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	d.answerNext("a")
	other := dial(t, d.listener.Addr().String())
	if err := other.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = other.Read(make([]byte, 1)) // it is closed by now, or waits for a place
	close(release)
	if m := readReply(t, conn); m.SeqID != 1 {
		t.Errorf("%+v instead of the answer", m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// blockedReader is a connection whose first read blocks until it is released, as in a process without a processor.
type blockedReader struct {
	net.Conn
	blocked chan struct{} // closed when it blocks
	release chan struct{}
	reads   atomic.Int32
}

func (c *blockedReader) Read(b []byte) (int, error) {
	if c.reads.Add(1) == 1 {
		close(c.blocked)
		<-c.release
	}
	return c.Conn.Read(b)
}

// SyscallConn is that of the connection itself.
func (c *blockedReader) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// A request that has come, but is not read yet when its connection is to be evicted, is read and answered.
func TestEvictionReadsPendingRequest(t *testing.T) {
	single := limits
	single.MaxConns = 1
	blocked, release := make(chan struct{}), make(chan struct{})
	first := true
	d := startDrainingServer(t, single, func(conn net.Conn) net.Conn {
		if first {
			first = false
			return &blockedReader{Conn: conn, blocked: blocked, release: release}
		}
		return conn
	})
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	<-blocked
	write(t, conn, callFrame(1, "a"))
	expectClosed(t, dial(t, d.listener.Addr().String())) // the first one is to be evicted, and has not looked yet
	close(release)
	d.answerNext("a")
	if m := readReply(t, conn); m.SeqID != 1 {
		t.Errorf("%+v instead of the answer", m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// scriptedListener is a listener for which a test chooses the result of each Accept: an error, or nil to accept.
type scriptedListener struct {
	net.Listener
	next chan error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if err := <-l.next; err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Errors of Accept for which no connection of the server is to blame cost no client its connection; where the process
// is short of descriptors, an idle one is evicted.
func TestAcceptErrors(t *testing.T) {
	for _, c := range []struct {
		err  syscall.Errno
		left int // connections, of two
	}{
		{syscall.ENFILE, 2},
		{syscall.ENOBUFS, 2},
		{syscall.ENOMEM, 2},
		{syscall.EPERM, 2},
		{syscall.ECONNABORTED, 2},
		{syscall.EMFILE, 1},
	} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := &scriptedListener{inner, make(chan error)}
		s := thrift.NewServer(listener, limits, func(*thrift.Conn, thrift.Message) {})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		for range 2 {
			dial(t, inner.Addr().String())
			listener.next <- nil
		}
		listener.next <- c.err
		listener.next <- nil // the error has been handled
		dial(t, inner.Addr().String())
		listener.next <- nil // and that connection is served
		if n := s.Connections(); n != c.left+1 {
			t.Errorf("%v: %d connections are left, want %d", c.err, n, c.left+1)
		}
		stop()
		close(listener.next)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// A client that stops in the middle of a message gets the answers to its requests before; then the connection ends.
func TestPartialMessageBesideOpenCalls(t *testing.T) {
	short := limits
	short.MessageTimeout = 50 * time.Millisecond
	d := startDrainingServer(t, short, nil)
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	write(t, conn, callFrame(2, "b")[:9])
	c, m := (<-d.calls)()
	time.Sleep(4 * short.MessageTimeout)
	c.Reply(m.SeqID, replyFrame(m.SeqID, "late"))
	expectLastReply(t, conn, 1)
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A client that reads slowly loses neither its answer nor a request that comes while the answer is written: the
// connection does not end as idle meanwhile.
func TestIdleTimeoutWaitsForSlowReader(t *testing.T) {
	short := limits
	short.IdleTimeout, short.FinalRead = 20*time.Millisecond, time.Millisecond
	release := make(chan struct{})
	d := startDrainingServer(t, short, func(conn net.Conn) net.Conn { return &blockedWriter{conn, release} })
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	d.answerNext("a")
	time.Sleep(5 * short.IdleTimeout)
	write(t, conn, callFrame(2, "b"))
	d.answerNext("b")
	close(release)
	for seq := range int32(2) {
		if m := readReply(t, conn); m.SeqID != seq+1 {
			t.Error(m)
		}
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// slowWriter is a connection that writes a little at a time, as to a client that reads slowly.
type slowWriter struct {
	net.Conn
	pause    time.Duration
	deadline time.Time
}

func (c *slowWriter) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *slowWriter) Write(b []byte) (n int, err error) {
	for n < len(b) {
		if time.Now().After(c.deadline) {
			return n, os.ErrDeadlineExceeded
		}
		time.Sleep(c.pause)
		m, err := c.Conn.Write(b[n:min(len(b), n+8<<10)])
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}

// A client that reads slowly, but reads, gets all its answers.
func TestSlowReaderReceivesAnswers(t *testing.T) {
	slow := limits
	slow.WriteTimeout, slow.MaxOpenCalls, slow.MaxFrameBytes = 200*time.Millisecond, 32, 16<<10
	d := startDrainingServer(t, slow, func(conn net.Conn) net.Conn {
		return &slowWriter{Conn: conn, pause: 20 * time.Millisecond}
	})
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	text := strings.Repeat("x", 8<<10)
	const calls = 30 // take 0.6 s
	for seq := range int32(calls) {
		write(t, conn, callFrame(seq+1, "a"))
	}
	for range calls {
		d.answerNext(text)
	}
	for seq := range int32(calls) {
		if m := readReply(t, conn); m.SeqID != seq+1 {
			t.Fatal(m.SeqID, "instead of", seq+1)
		}
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A connection that comes while something is owed on all others waits for a place.
func TestNewConnectionWaitsForCapacity(t *testing.T) {
	single := limits
	single.MaxConns = 1
	d := startDrainingServer(t, single, nil)
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	c, m := (<-d.calls)()
	other := dial(t, d.listener.Addr().String())
	write(t, other, callFrame(1, "b"))
	time.Sleep(100 * time.Millisecond)
	c.Reply(m.SeqID, replyFrame(m.SeqID, "a"))
	readReply(t, conn)
	d.answerNext("b")
	readReply(t, other)
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}
