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

// blockedWriter is a connection whose writes block until release is closed, like those to a client that does not read.
type blockedWriter struct {
	net.Conn
	release chan struct{}
}

func (c *blockedWriter) Write(b []byte) (int, error) {
	<-c.release
	return c.Conn.Write(b)
}

// A connection whose answer is not completely written must not be evicted for a new one, as the answer would be lost.
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
	_, _ = other.Read(make([]byte, 1)) // by then the new connection is closed or waits for capacity
	close(release)
	if m := readReply(t, conn); m.SeqID != 1 {
		t.Errorf("got %+v, want the answer to call 1", m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// blockedReader is a connection whose first read blocks until release is closed, like one of a process that is not
// scheduled.
type blockedReader struct {
	net.Conn
	blocked chan struct{} // closed when the first read blocks
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

// SyscallConn returns the raw connection of the wrapped connection.
func (c *blockedReader) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// A request that has arrived, but is not read when its connection is chosen for eviction, must be read and answered.
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
	expectClosed(t, dial(t, d.listener.Addr().String())) // the first one was asked to close; its reader still blocks
	close(release)
	d.answerNext("a")
	if m := readReply(t, conn); m.SeqID != 1 {
		t.Errorf("got %+v, want the answer to call 1", m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// scriptedListener is a listener for which the test chooses the result of each Accept.
type scriptedListener struct {
	net.Listener
	next chan error // result of the next Accept: an error, or nil to accept a connection
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if err := <-l.next; err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// An error of Accept must cause an eviction only if the process is short of descriptors, as an eviction helps only
// then. After any other error all clients must keep their connections.
func TestAcceptErrors(t *testing.T) {
	for _, c := range []struct {
		err       syscall.Errno
		wantConns int // number of connections that are left of two
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
		listener.next <- nil // the connection is served
		if n := s.Connections(); n != c.wantConns+1 {
			t.Errorf("%v: %d connections are left, want %d", c.err, n, c.wantConns+1)
		}
		stop()
		close(listener.next)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// A client that sends only a part of a message must get the answers to its earlier requests before the connection is
// closed.
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

// A connection must not be closed as idle while an answer is being written to a client that reads slowly: the client
// would lose the answer, and a request that it sends in the meantime.
func TestIdleTimeoutWaitsForSlowReader(t *testing.T) {
	short := limits
	short.IdleTimeout, short.FinalReadTimeout = 20*time.Millisecond, time.Millisecond
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

// slowWriter is a connection that writes 8 KiB at a time, with a pause before each, like to a client that reads slowly.
type slowWriter struct {
	net.Conn
	pause    time.Duration
	deadline time.Time // write deadline, which slowWriter itself enforces
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

// A client that reads slowly must get all its answers. This guards against a write timeout that covers all enqueued
// answers instead of a chunk of them.
func TestSlowReaderReceivesAnswers(t *testing.T) {
	slow := limits
	slow.WriteTimeout, slow.MaxOpenCalls, slow.MaxFrameBytes = 200*time.Millisecond, 32, 16<<10
	d := startDrainingServer(t, slow, func(conn net.Conn) net.Conn {
		return &slowWriter{Conn: conn, pause: 20 * time.Millisecond}
	})
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	text := strings.Repeat("x", 8<<10)
	const calls = 30 // their answers take 0.6 s to write, longer than the write timeout
	for seq := range int32(calls) {
		write(t, conn, callFrame(seq+1, "a"))
	}
	for range calls {
		d.answerNext(text)
	}
	for seq := range int32(calls) {
		if m := readReply(t, conn); m.SeqID != seq+1 {
			t.Fatal(m.SeqID, "is the answered call, want", seq+1)
		}
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}

// A connection that is accepted while no other one is idle must wait for capacity instead of being closed.
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
