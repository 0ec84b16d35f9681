package resp_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"lupinpond/internal/gateway/resp"
)

// hugeBody is more than the sockets take while nobody reads.
var hugeBody = strings.Repeat("x", 32<<20)

// callBeingWritten makes a call whose command is being written: the worker has read its beginning.
func (r *harness) callBeingWritten(id string) (*scriptedConn, *resp.Call, chan resp.Result) {
	done := make(chan resp.Result, 2)
	c := r.worker.Call(id, resp.FixedMessage(resp.AppendArray(nil, "FN", id, hugeBody)), false, func(a resp.Result) { done <- a })
	s := r.accept()
	s.buffered = make([]byte, 1)
	if _, err := io.ReadFull(s, s.buffered); err != nil {
		r.t.Fatal(err)
	}
	return s, c, done
}

// A command that is cut off before its last byte left never ran: an at-most-once event may go elsewhere.
func TestConnectionLostWhileWriting(t *testing.T) {
	r := start(t, limits)
	s, _, done := r.callBeingWritten("a")
	s.Close()
	expect(t, done, resp.NotSent, "")
}

// A call that is given up while its command is being written is out until its kill is written after it.
func TestCancelWhileWriting(t *testing.T) {
	r := start(t, limits)
	s, call, done := r.callBeingWritten("a")
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	if len(done) > 0 {
		t.Error("over before its kill was written")
	}
	part := make([]byte, 1<<20)
	for len(s.buffered) < len(hugeBody) { // most of the command in large parts, as next reads small ones
		n, err := s.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		s.buffered = append(s.buffered, part[:n]...)
	}
	if got := s.next(); got[0] != "FN" || len(got[2]) != len(hugeBody) {
		t.Error("a command of", len(got[2]), "bytes")
	}
	if got := s.next(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	expect(t, done, resp.Cancelled, "")
}

// otherWorker is another worker of the pool, whose connections a test plays.
func (r *harness) otherWorker() (*resp.Worker, func() *scriptedConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { listener.Close() })
	return r.pool.Worker(listener.Addr().String()), func() *scriptedConn {
		conn, err := listener.Accept()
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { conn.Close() })
		return &scriptedConn{Conn: conn, t: r.t}
	}
}

// Where the descriptors for workers are used up, a worker without a connection gets that of one that has nothing to do; past
// the last reserve its call is not sent, and nothing of it is held.
func TestConnectionLimits(t *testing.T) {
	l := limits
	l.SoftMaxConns, l.MaxConns = 1, 2
	r := start(t, l)
	_, a := r.call("a", true)
	first := r.accept()
	first.next()
	first.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	for i := range int64(2) { // the first of them takes what the idle connection had, the second one the reserve
		w, accept := r.otherWorker()
		w.Call("b", resp.FixedMessage(resp.AppendArray(nil, "FN", "b")), true, func(resp.Result) {})
		accept().next()
		if _, err := io.Copy(io.Discard, first); err != nil {
			t.Error("the idle connection stays:", err)
		}
		r.pool.AwaitOpenConns(1 + i) // the end of the idle connection has been counted
	}
	w, _ := r.otherWorker()
	done := make(chan resp.Result, 1)
	w.Call("c", resp.FixedMessage(resp.AppendArray(nil, "FN", "c")), true, func(a resp.Result) { done <- a })
	expect(t, done, resp.NotSent, "")
}

// A worker that is drained while a command waits for its connection to come up gets none of it.
func TestStopWhileConnecting(t *testing.T) {
	r := start(t, limits)
	open := make(chan struct{})
	r.pool.BlockDials(open)
	_, done := r.call("a", true)
	r.worker.Stop()
	expect(t, done, resp.NotSent, "")
	close(open)
	if n, err := r.accept().Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the command came")
	}
}

// A call that is given up while its connection is coming up, as its client left, is over at once and never sent; what comes
// later goes over that connection.
func TestCancelWhileConnecting(t *testing.T) {
	r := start(t, limits)
	open := make(chan struct{})
	r.pool.BlockDials(open)
	call, done := r.call("a", true)
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	expect(t, done, resp.NotSent, "")
	close(open)
	_, other := r.call("b", true)
	s := r.accept()
	if got := s.next(); got[1] != "b" {
		t.Error(got)
	}
	s.send(resp.AppendArray(nil, "b", "ok", "-", ""))
	expect(t, other, resp.Answered, "ok")
}

// The end of the pool gives every call its fate.
func TestPoolShutdown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, limits)
	done := make(chan resp.Result, 1)
	pool.Worker(listener.Addr().String()).Call("a", resp.FixedMessage(resp.AppendArray(nil, "FN", "a")), true, func(a resp.Result) { done <- a })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	(&scriptedConn{Conn: conn, t: t}).next()
	stop()
	expect(t, done, resp.ConnectionLost, "")
	pool.Wait()
}
