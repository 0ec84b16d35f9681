package resp_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"lupinpond/internal/gateway/resp"
)

// hugeBody is larger than the socket buffers, so that a write of it blocks until the worker reads.
var hugeBody = strings.Repeat("x", 32<<20)

// callBeingWritten makes a call and returns while its command is being written: the worker has read one byte of it.
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

// A call whose connection is lost before the last byte is written must end as not sent. The worker can't have run it,
// so even an at-most-once request may be sent to another worker.
func TestConnectionLostWhileWriting(t *testing.T) {
	h := start(t, limits)
	conn, _, done := h.callBeingWritten("a")
	conn.Close()
	expect(t, done, resp.NotSent, "")
}

// A call that is cancelled while its command is being written must stay open until the cancel command is written.
func TestCancelWhileWriting(t *testing.T) {
	h := start(t, limits)
	conn, call, done := h.callBeingWritten("a")
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	if len(done) > 0 {
		t.Error("the call ended before its cancel command was written")
	}
	chunk := make([]byte, 1<<20)
	for len(conn.buffered) < len(hugeBody) { // read most of the command in large chunks; nextCommand reads small ones
		n, err := conn.Read(chunk)
		if err != nil {
			t.Fatal(err)
		}
		conn.buffered = append(conn.buffered, chunk[:n]...)
	}
	if got := conn.nextCommand(); got[0] != "FN" || len(got[2]) != len(hugeBody) {
		t.Error("the worker received a command with a body of", len(got[2]), "bytes")
	}
	if got := conn.nextCommand(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	expect(t, done, resp.Cancelled, "")
}

// otherWorker returns the client of another worker of the pool, and a function that accepts its connections.
func (h *harness) otherWorker() (*resp.Worker, func() *scriptedConn) {
	h.t.Helper()
	listener, accept := listen(h.t)
	return h.pool.Worker(listener.Addr().String()), accept
}

// Once the soft limit of connections is reached, a new connection to a worker without one must replace an idle
// connection. Once the hard limit is reached, a call to such a worker must not be sent.
func TestConnectionLimits(t *testing.T) {
	few := limits
	few.SoftMaxConns, few.MaxConns = 1, 2
	h := start(t, few)
	_, a := h.call("a", resp.Exclusive)
	first := h.accept()
	first.nextCommand()
	first.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	for i := range int64(2) { // the first connection replaces the idle one, the second is above the soft limit
		worker, accept := h.otherWorker()
		worker.Call("b", resp.FixedMessage(resp.AppendArray(nil, "FN", "b")), resp.Exclusive, func(resp.Result) {})
		accept().nextCommand()
		if _, err := io.Copy(io.Discard, first); err != nil {
			t.Error("the idle connection was not closed:", err)
		}
		h.pool.AwaitOpenConns(1 + i) // the closed idle connection is not counted any more
	}
	worker, _ := h.otherWorker()
	done := make(chan resp.Result, 1)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", "c"))
	worker.Call("c", message, resp.Exclusive, func(result resp.Result) { done <- result })
	expect(t, done, resp.NotSent, "")
}

// A command that waits for a connection to be established must not be sent if the worker is stopped in the meantime.
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

// A call that is cancelled while its connection is being established must end immediately and not be sent. Later calls
// must be able to use the connection.
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
	if got := conn.nextCommand(); got[1] != "b" {
		t.Error(got)
	}
	conn.send(resp.AppendArray(nil, "b", "ok", "-", ""))
	expect(t, other, resp.Answered, "ok")
}

// The end of a pool's context must end all open calls.
func TestPoolShutdown(t *testing.T) {
	listener, accept := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, limits)
	done := make(chan resp.Result, 1)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", "a"))
	pool.Worker(listener.Addr().String()).Call("a", message, resp.Exclusive, func(result resp.Result) { done <- result })
	accept().nextCommand()
	stop()
	expect(t, done, resp.ConnectionLost, "")
	pool.Wait()
}
