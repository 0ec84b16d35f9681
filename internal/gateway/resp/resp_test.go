package resp_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/gateway/resp"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestParse(t *testing.T) {
	b := resp.AppendArray(nil, "id", "", "b\r\ny")
	for n := range len(b) {
		if _, consumed, err := resp.ParseArray(b[:n], 100); consumed != 0 || err != nil {
			t.Errorf("from an array truncated to %d of %d bytes, ParseArray consumed %d: %v", n, len(b), consumed, err)
		}
	}
	elements, consumed, err := resp.ParseArray(append(b, "*1"...), 100)
	if err != nil || consumed != len(b) || len(elements) != 3 || string(elements[2]) != "b\r\ny" {
		t.Errorf("got %q, %d bytes, %v", elements, consumed, err)
	}
	for _, bad := range []string{
		"noise", "*0\r\n", "*-1\r\n", "*9\r\n", "*1\n", "*12345678901234567890", "*\r\n",
		"*1\r\n$x", "*1\r\n$-1\r\n", "*1\r\n$3221225472\r\n", "*1\r\n:1\r\n",
		"*1\r\n$2\r\nabc", "*1\r\n$2\r\nab\rx",
	} {
		if elements, consumed, err := resp.ParseArray([]byte(bad), 100); err == nil {
			t.Errorf("malformed %q was parsed as %q, %d bytes", bad, elements, consumed)
		}
	}
}

// A prefix of the input must give a result that is consistent with that of the whole input: it is malformed only if the
// whole is, and if it is parsed, the same number of bytes is consumed.
func FuzzParse(f *testing.F) {
	f.Add([]byte("*2\r\n$2\r\nid\r\n$0\r\n\r\n"), 3)
	f.Add([]byte("*1\r\n$5\r\nab"), 9)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		elements, consumed, err := resp.ParseArray(b, 64)
		if consumed > len(b) || consumed > 0 && len(elements) == 0 {
			t.Error(consumed, elements)
		}
		_, prefixConsumed, prefixErr := resp.ParseArray(b[:min(max(0, cut), len(b))], 64)
		if prefixErr != nil && err == nil && consumed > 0 || prefixConsumed > 0 && prefixConsumed != consumed {
			t.Errorf("%q: consumed %d, %v; for its prefix: %d, %v", b, consumed, err, prefixConsumed, prefixErr)
		}
	})
}

var limits = resp.Limits{
	IOTimeout:       10 * time.Second,
	IdleTimeout:     time.Minute,
	MaxCallsPerConn: 4,
	SoftMaxConns:    4,
	MaxConns:        8,
	MaxElementBytes: 64,
}

// scriptedConn is the worker's side of a connection, controlled by the test.
type scriptedConn struct {
	net.Conn
	t        *testing.T
	buffered []byte // data read and not returned as commands yet
}

// nextCommand reads the next command and returns its elements.
func (s *scriptedConn) nextCommand() []string {
	s.t.Helper()
	chunk := make([]byte, 512)
	for {
		elements, consumed, err := resp.ParseArray(s.buffered, 1<<26)
		if err != nil {
			s.t.Fatal(err)
		}
		if consumed > 0 {
			var texts []string
			for _, element := range elements {
				texts = append(texts, string(element))
			}
			s.buffered = s.buffered[consumed:]
			return texts
		}
		n, err := s.Read(chunk)
		if err != nil {
			s.t.Fatal(err)
		}
		s.buffered = append(s.buffered, chunk[:n]...)
	}
}

func (s *scriptedConn) send(b []byte) {
	s.t.Helper()
	if _, err := s.Write(b); err != nil {
		s.t.Error(err)
	}
}

// harness is a pool with one worker, whose connections are accepted by the test.
type harness struct {
	t        *testing.T
	accept   func() *scriptedConn
	pool     *resp.Pool
	worker   *resp.Worker
	listener net.Listener
}

// listen opens a worker's listener until the test ends, and returns it with a function that accepts its connections.
func listen(t *testing.T) (listener net.Listener, accept func() *scriptedConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener, func() *scriptedConn {
		t.Helper()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
			t.Fatal(err)
		}
		return &scriptedConn{Conn: conn, t: t}
	}
}

func start(t *testing.T, limits resp.Limits) *harness {
	t.Helper()
	listener, accept := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	h := &harness{t: t, pool: resp.NewPool(ctx, limits), listener: listener, accept: accept}
	h.worker = h.pool.Worker(listener.Addr().String())
	t.Cleanup(func() {
		stop()
		listener.Close()
		h.pool.Wait()
	})
	return h
}

// call makes a call and returns it with a channel that receives its result.
func (h *harness) call(id string, sharing resp.Sharing) (*resp.Call, chan resp.Result) {
	done := make(chan resp.Result, 2)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", id))
	return h.worker.Call(id, message, sharing, func(result resp.Result) { done <- result }), done
}

// expect receives the result of a call, and checks its outcome and, if status is not empty, its first element.
func expect(t *testing.T, done chan resp.Result, outcome resp.Outcome, status string) {
	t.Helper()
	result := <-done
	if result.Outcome != outcome ||
		status != "" && (len(result.Elements) == 0 || string(result.Elements[0]) != status) {
		t.Errorf("got the outcome %d %q, want %d %q", result.Outcome, result.Elements, outcome, status)
	}
}

// Responses must be matched to calls by ID. A response that matches no call, or is a duplicate, must be dropped.
func TestResponsesMatchCalls(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Shared)
	conn := h.accept()
	_, b := h.call("b", resp.Shared)
	conn.nextCommand()
	conn.nextCommand()
	ok := resp.AppendArray(nil, "b", "ok", "-", "body")
	conn.send(bytes.Join([][]byte{
		resp.AppendArray(nil, "z", "ok", "-", "unmatched"),
		ok,
		ok,
		resp.AppendArray(nil, "a", "error", "-", ""),
	}, nil))
	expect(t, b, resp.Answered, "ok")
	expect(t, a, resp.Answered, "error")
	if n := h.pool.UnmatchedResponses(); n != 2 {
		t.Error(n, "unmatched responses were counted, want 2")
	}
	// A call with the same ID must use another connection, as a late duplicate would be taken for its response.
	_, again := h.call("a", resp.Exclusive)
	other := h.accept()
	other.nextCommand()
	conn.send(resp.AppendArray(nil, "a", "ok", "-", "duplicate"))
	other.send(resp.AppendArray(nil, "a", "nothing", "-", ""))
	expect(t, again, resp.Answered, "nothing")
}

// A malformed response must end its connection, and so must a response that is not completed in time. The calls on that
// connection end as lost, as they may have run. Exclusive calls on other connections must not be affected.
func TestMalformedResponse(t *testing.T) {
	short := limits
	short.IOTimeout = 300 * time.Millisecond
	h := start(t, short)
	_, a := h.call("a", resp.Exclusive)
	first := h.accept()
	first.nextCommand()
	_, b := h.call("b", resp.Exclusive)
	second := h.accept()
	second.nextCommand()
	first.send([]byte("*4\r\n$1\r\na\r\n$2\r\nok\r\n$1\r\n-\r\n$3221225472\r\nabc"))
	expect(t, a, resp.ConnectionLost, "")
	second.send([]byte("*4\r\n$1\r\nb\r\n$2\r\nok\r\n$1\r\n-\r\n$9\r\nabc"))
	expect(t, b, resp.ConnectionLost, "")
}

// A cancelled call must end once its cancel command is written, and its connection must not carry new calls.
func TestCancel(t *testing.T) {
	h := start(t, limits)
	call, done := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.nextCommand()
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	expect(t, done, resp.Cancelled, "")
	if got := conn.nextCommand(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	_, other := h.call("b", resp.Exclusive)
	conn = h.accept()
	conn.nextCommand()
	conn.send(resp.AppendArray(nil, "b", "ok", "-", ""))
	expect(t, other, resp.Answered, "ok")
	call.Cancel(nil) // no effect: the call has ended
	if len(done) > 0 {
		t.Error("done was called again with", <-done)
	}
}

// A call that is cancelled without a command, like a load request that times out, must end its connection.
func TestCancelWithoutCommand(t *testing.T) {
	h := start(t, limits)
	call, done := h.call("t1", resp.Shared)
	conn := h.accept()
	conn.nextCommand()
	call.Cancel(nil)
	expect(t, done, resp.Cancelled, "")
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was not closed")
	}
}

// When a worker is stopped, calls that have not been written must not be sent, and calls that have been sent must still
// be answered.
func TestStop(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.nextCommand()
	h.worker.Stop()
	_, b := h.call("b", resp.Exclusive)
	expect(t, b, resp.NotSent, "")
	conn.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was not closed")
	}
	h.worker.Resume()
	_, c := h.call("c", resp.Exclusive)
	h.accept().nextCommand()
	h.listener.Close()
	h.worker.Stop()
	if len(c) > 0 {
		t.Error("ended:", <-c)
	}
}

// A message that is no new work must be sent to a stopped worker too: it asks a draining worker for its replicas.
func TestNoNewWorkAfterStop(t *testing.T) {
	h := start(t, limits)
	h.worker.Stop()
	query := resp.FixedMessage(resp.AppendArray(nil, "SPAWN", "q", "n=0"))
	query.NoNewWork = true
	done := make(chan resp.Result, 1)
	h.worker.Call("q", query, resp.Shared, func(result resp.Result) { done <- result })
	conn := h.accept()
	conn.nextCommand()
	conn.send(resp.AppendArray(nil, "q", "refused", "-", ""))
	expect(t, done, resp.Answered, "refused")
	_, attempt := h.call("a", resp.Exclusive)
	expect(t, attempt, resp.NotSent, "")
}

// A call for which no connection can be established must end as not sent. A call whose connection is lost after it was
// sent must end as lost, as it may have run.
func TestUnreachableWorker(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.nextCommand()
	conn.Close()
	expect(t, a, resp.ConnectionLost, "")
	h.listener.Close()
	_, b := h.call("b", resp.Exclusive)
	expect(t, b, resp.NotSent, "")
}

// A call to a worker from which no data has been received for a while must use a new connection. If the worker's
// machine is down, a call sent on the old connection may have run, while one that waits for the new connection can't
// have run.
func TestUnresponsiveWorkerGetsNewConnection(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.nextCommand()
	conn.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	h.worker.SetUnresponsiveFor(2 * limits.IOTimeout)
	h.listener.Close()
	_, b := h.call("b", resp.Exclusive)
	expect(t, b, resp.NotSent, "")
}

// Once the soft limit of connections is reached, calls must share connections, up to the limit of calls on each.
func TestCallsShareConnections(t *testing.T) {
	few := limits
	few.SoftMaxConns, few.MaxCallsPerConn = 1, 2
	h := start(t, few)
	_, a := h.call("a", resp.Exclusive)
	_, b := h.call("b", resp.Exclusive)
	_, c := h.call("c", resp.Exclusive)
	expect(t, c, resp.NotSent, "")
	conn := h.accept()
	conn.nextCommand()
	conn.nextCommand()
	conn.send(append(resp.AppendArray(nil, "b", "ok", "-", ""), resp.AppendArray(nil, "a", "ok", "-", "")...))
	expect(t, a, resp.Answered, "ok")
	expect(t, b, resp.Answered, "ok")
}
