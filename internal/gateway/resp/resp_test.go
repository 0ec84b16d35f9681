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
		if _, taken, err := resp.ParseArray(b[:n], 100); taken != 0 || err != nil {
			t.Errorf("of %d of %d bytes %d are taken: %v", n, len(b), taken, err)
		}
	}
	words, taken, err := resp.ParseArray(append(b, "*1"...), 100)
	if err != nil || taken != len(b) || len(words) != 3 || string(words[2]) != "b\r\ny" {
		t.Errorf("%q %d %v", words, taken, err)
	}
	for _, bad := range []string{
		"noise", "*0\r\n", "*-1\r\n", "*9\r\n", "*1\n", "*12345678901234567890", "*\r\n",
		"*1\r\n$x", "*1\r\n$-1\r\n", "*1\r\n$3221225472\r\n", "*1\r\n:1\r\n",
		"*1\r\n$2\r\nabc", "*1\r\n$2\r\nab\rx",
	} {
		if words, taken, err := resp.ParseArray([]byte(bad), 100); err == nil {
			t.Errorf("%q is taken as %q, %d bytes", bad, words, taken)
		}
	}
}

// A prefix gets the same verdict as with the rest: it is malformed only if that is, and never parsed as more.
func FuzzParse(f *testing.F) {
	f.Add([]byte("*2\r\n$2\r\nid\r\n$0\r\n\r\n"), 3)
	f.Add([]byte("*1\r\n$5\r\nab"), 9)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		words, taken, err := resp.ParseArray(b, 64)
		if taken > len(b) || taken > 0 && len(words) == 0 {
			t.Error(taken, words)
		}
		_, early, earlyErr := resp.ParseArray(b[:min(max(0, cut), len(b))], 64)
		if earlyErr != nil && err == nil && taken > 0 || early > 0 && early != taken {
			t.Errorf("%q: %d, %v; its beginning: %d, %v", b, taken, err, early, earlyErr)
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

// scriptedConn is a worker's end of one connection, which a test plays.
type scriptedConn struct {
	net.Conn
	t        *testing.T
	buffered []byte
}

// next is the next command.
func (s *scriptedConn) next() []string {
	s.t.Helper()
	chunk := make([]byte, 512)
	for {
		elements, taken, err := resp.ParseArray(s.buffered, 1<<26)
		if err != nil {
			s.t.Fatal(err)
		}
		if taken > 0 {
			var texts []string
			for _, element := range elements {
				texts = append(texts, string(element))
			}
			s.buffered = s.buffered[taken:]
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

// harness is a pool with one worker, whose connections a test accepts.
type harness struct {
	t        *testing.T
	accept   func() *scriptedConn
	pool     *resp.Pool
	worker   *resp.Worker
	listener net.Listener
}

// listen listens as a worker does until the test ends.
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

// call makes a call and returns what ends it.
func (h *harness) call(id string, sharing resp.Sharing) (*resp.Call, chan resp.Result) {
	done := make(chan resp.Result, 2)
	message := resp.FixedMessage(resp.AppendArray(nil, "FN", id))
	return h.worker.Call(id, message, sharing, func(result resp.Result) { done <- result }), done
}

// expect receives the result of a call and checks its outcome, and its first element where one is given.
func expect(t *testing.T, done chan resp.Result, outcome resp.Outcome, status string) {
	t.Helper()
	result := <-done
	if result.Outcome != outcome ||
		status != "" && (len(result.Elements) == 0 || string(result.Elements[0]) != status) {
		t.Errorf("outcome %d %q, want %d %q", result.Outcome, result.Elements, outcome, status)
	}
}

// Responses are matched by ID; what belongs to no call, and a duplicate, is dropped.
func TestResponsesMatchCalls(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Shared)
	conn := h.accept()
	_, b := h.call("b", resp.Shared)
	conn.next()
	conn.next()
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
		t.Error(n, "unmatched responses")
	}
	// The same ID goes over another connection: a late duplicate would be taken for the response to this call.
	_, again := h.call("a", resp.Exclusive)
	other := h.accept()
	other.next()
	conn.send(resp.AppendArray(nil, "a", "ok", "-", "duplicate"))
	other.send(resp.AppendArray(nil, "a", "nothing", "-", ""))
	expect(t, again, resp.Answered, "nothing")
}

// A malformed response ends its connection: what was on it may have run. Exclusive calls on other connections are not
// affected; a response that has begun and does not go on ends its connection as well.
func TestMalformedResponse(t *testing.T) {
	short := limits
	short.IOTimeout = 300 * time.Millisecond
	h := start(t, short)
	_, a := h.call("a", resp.Exclusive)
	first := h.accept()
	first.next()
	_, b := h.call("b", resp.Exclusive)
	second := h.accept()
	second.next()
	first.send([]byte("*4\r\n$1\r\na\r\n$2\r\nok\r\n$1\r\n-\r\n$3221225472\r\nabc"))
	expect(t, a, resp.ConnectionLost, "")
	second.send([]byte("*4\r\n$1\r\nb\r\n$2\r\nok\r\n$1\r\n-\r\n$9\r\nabc"))
	expect(t, b, resp.ConnectionLost, "")
}

// A cancelled call has ended when its cancel command is written, and its connection carries nothing new.
func TestCancel(t *testing.T) {
	h := start(t, limits)
	call, done := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.next()
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	expect(t, done, resp.Cancelled, "")
	if got := conn.next(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	_, other := h.call("b", resp.Exclusive)
	conn = h.accept()
	conn.next()
	conn.send(resp.AppendArray(nil, "b", "ok", "-", ""))
	expect(t, other, resp.Answered, "ok")
	call.Cancel(nil) // it has ended already
	if len(done) > 0 {
		t.Error("a second end:", <-done)
	}
}

// A call that is cancelled without a command, as a lost load request is, ends its connection.
func TestCancelWithoutCommand(t *testing.T) {
	h := start(t, limits)
	call, done := h.call("t1", resp.Shared)
	conn := h.accept()
	conn.next()
	call.Cancel(nil)
	expect(t, done, resp.Cancelled, "")
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
}

// What has not left when a worker is stopped is not sent; what has been sent is still answered.
func TestStop(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.next()
	h.worker.Stop()
	_, b := h.call("b", resp.Exclusive)
	expect(t, b, resp.NotSent, "")
	conn.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
	h.worker.Resume()
	_, c := h.call("c", resp.Exclusive)
	h.accept().next()
	h.listener.Close()
	h.worker.Stop()
	if len(c) > 0 {
		t.Error("ended:", <-c)
	}
}

// Without a connection a call was not sent; when one is lost under a call, that may have run.
func TestUnreachableWorker(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.next()
	conn.Close()
	expect(t, a, resp.ConnectionLost, "")
	h.listener.Close()
	_, b := h.call("b", resp.Exclusive)
	expect(t, b, resp.NotSent, "")
}

// A worker that has been silent for a while is called over a new connection: where its machine is down, what is sent
// on the old one may have run, what waits for the new one never does.
func TestSilentWorkerGetsNewConnection(t *testing.T) {
	h := start(t, limits)
	_, a := h.call("a", resp.Exclusive)
	conn := h.accept()
	conn.next()
	conn.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	h.worker.SetSilentFor(2 * limits.IOTimeout)
	h.listener.Close()
	_, b := h.call("b", resp.Exclusive)
	expect(t, b, resp.NotSent, "")
}

// Past the limit of connections calls share them, up to the number of calls that one carries.
func TestCallsShareConnections(t *testing.T) {
	few := limits
	few.SoftMaxConns, few.MaxCallsPerConn = 1, 2
	h := start(t, few)
	_, a := h.call("a", resp.Exclusive)
	_, b := h.call("b", resp.Exclusive)
	_, c := h.call("c", resp.Exclusive)
	expect(t, c, resp.NotSent, "")
	conn := h.accept()
	conn.next()
	conn.next()
	conn.send(append(resp.AppendArray(nil, "b", "ok", "-", ""), resp.AppendArray(nil, "a", "ok", "-", "")...))
	expect(t, a, resp.Answered, "ok")
	expect(t, b, resp.Answered, "ok")
}
