package resp_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"lupinpond/internal/gateway/resp"
)

// hugeBody is more than the sockets take while nobody reads.
var hugeBody = strings.Repeat("x", 32<<20)

// callBeingWritten makes a call whose command is being written: the worker has read its beginning.
func (h *harness) callBeingWritten(id string) (*scriptedConn, *resp.Call, chan resp.Result) {
	h.t.Helper()
	done := make(chan resp.Result, 2)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", id, hugeBody))
	call := h.worker.Call(id, message, resp.Shared, func(result resp.Result) { done <- result })
	conn := h.accept()
	conn.buffered = make([]byte, 1)
	if _, err := io.ReadFull(conn, conn.buffered); err != nil {
		h.t.Fatal(err)
	}
	return conn, call, done
}

// A command that is cut off before its last byte left never ran: an at-most-once request may be sent elsewhere.
func TestConnectionLostWhileWriting(t *testing.T) {
	h := start(t, limits)
	conn, _, done := h.callBeingWritten("a")
	conn.Close()
	expect(t, done, resp.NotSent, "")
}

// A call that is cancelled while its command is being written is open until the cancel command is written after it.
func TestCancelWhileWriting(t *testing.T) {
	h := start(t, limits)
	conn, call, done := h.callBeingWritten("a")
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	if len(done) > 0 {
		t.Error("over before its cancel command was written")
	}
	chunk := make([]byte, 1<<20)
	for len(conn.buffered) < len(hugeBody) { // most of the command in large chunks, as next reads small ones
		n, err := conn.Read(chunk)
		if err != nil {
			t.Fatal(err)
		}
		conn.buffered = append(conn.buffered, chunk[:n]...)
	}
	if got := conn.next(); got[0] != "FN" || len(got[2]) != len(hugeBody) {
		t.Error("a command of", len(got[2]), "bytes")
	}
	if got := conn.next(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	expect(t, done, resp.Cancelled, "")
}

// otherWorker is another worker of the pool, whose connections a test accepts.
func (h *harness) otherWorker() (*resp.Worker, func() *scriptedConn) {
	h.t.Helper()
	listener, accept := listen(h.t)
	return h.pool.Worker(listener.Addr().String()), accept
}

// Past the soft limit of connections a worker without one gets that of an idle one; past the limit its call is not
// sent.
func TestConnectionLimits(t *testing.T) {
	few := limits
	few.SoftMaxConns, few.MaxConns = 1, 2
	h := start(t, few)
	_, a := h.call("a", resp.Exclusive)
	first := h.accept()
	first.next()
	first.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	for i := range int64(2) { // the first takes the place of the idle connection, the second one past the soft limit
		worker, accept := h.otherWorker()
		worker.Call("b", resp.FixedMessage(resp.AppendArray(nil, "FN", "b")), resp.Exclusive, func(resp.Result) {})
		accept().next()
		if _, err := io.Copy(io.Discard, first); err != nil {
			t.Error("the idle connection stays:", err)
		}
		h.pool.AwaitOpenConns(1 + i) // the end of the idle connection has been counted
	}
	worker, _ := h.otherWorker()
	done := make(chan resp.Result, 1)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", "c"))
	worker.Call("c", message, resp.Exclusive, func(result resp.Result) { done <- result })
	expect(t, done, resp.NotSent, "")
}

// A worker that is stopped while a command waits for its connection gets none of it.
func TestStopWhileConnecting(t *testing.T) {
	h := start(t, limits)
	open := make(chan struct{})
	h.pool.BlockDials(open)
	_, done := h.call("a", resp.Exclusive)
	h.worker.Stop()
	expect(t, done, resp.NotSent, "")
	close(open)
	if n, err := h.accept().Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the command was sent")
	}
}

// A call that is cancelled while its connection is being established, as its client has disconnected, is over at once
// and never sent; later calls go over that connection.
func TestCancelWhileConnecting(t *testing.T) {
	h := start(t, limits)
	open := make(chan struct{})
	h.pool.BlockDials(open)
	call, done := h.call("a", resp.Exclusive)
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	expect(t, done, resp.NotSent, "")
	close(open)
	_, other := h.call("b", resp.Exclusive)
	conn := h.accept()
	if got := conn.next(); got[1] != "b" {
		t.Error(got)
	}
	conn.send(resp.AppendArray(nil, "b", "ok", "-", ""))
	expect(t, other, resp.Answered, "ok")
}

// The end of the pool ends every call.
func TestPoolShutdown(t *testing.T) {
	listener, accept := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, limits)
	done := make(chan resp.Result, 1)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", "a"))
	pool.Worker(listener.Addr().String()).Call("a", message, resp.Exclusive, func(result resp.Result) { done <- result })
	accept().next()
	stop()
	expect(t, done, resp.ConnectionLost, "")
	pool.Wait()
}
