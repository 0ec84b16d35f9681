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
	for _, bad := range []string{"noise", "*0\r\n", "*-1\r\n", "*9\r\n", "*1\n", "*1\r\n$x", "*1\r\n$-1\r\n", "*1\r\n$3221225472\r\n",
		"*1\r\n$2\r\nabc", "*1\r\n$2\r\nab\rx", "*12345678901234567890", "*1\r\n:1\r\n", "*\r\n"} {
		if words, taken, err := resp.ParseArray([]byte(bad), 100); err == nil {
			t.Errorf("%q is taken as %q, %d bytes", bad, words, taken)
		}
	}
}

// A prefix is never judged otherwise than with the rest: it is refused only if the whole is, and not taken for more.
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

var limits = resp.Limits{IOTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxCallsPerConn: 4, SoftMaxConns: 4, MaxConns: 8, MaxElementBytes: 64}

// scriptedConn is a worker's end of one connection.
type scriptedConn struct {
	net.Conn
	t        *testing.T
	buffered []byte
}

func (s *scriptedConn) next() []string {
	s.t.Helper()
	part := make([]byte, 512)
	for {
		words, taken, err := resp.ParseArray(s.buffered, 1<<26)
		if err != nil {
			s.t.Fatal(err)
		}
		if taken > 0 {
			var texts []string
			for _, w := range words {
				texts = append(texts, string(w))
			}
			s.buffered = s.buffered[taken:]
			return texts
		}
		n, err := s.Read(part)
		if err != nil {
			s.t.Fatal(err)
		}
		s.buffered = append(s.buffered, part[:n]...)
	}
}

func (s *scriptedConn) send(b []byte) {
	s.t.Helper()
	if _, err := s.Write(b); err != nil {
		s.t.Error(err)
	}
}

// harness is a worker whose connections a test plays.
type harness struct {
	t        *testing.T
	accept   func() *scriptedConn
	pool     *resp.Pool
	worker   *resp.Worker
	listener net.Listener
}

func start(t *testing.T, l resp.Limits) *harness {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &harness{t: t, pool: resp.NewPool(ctx, l), listener: listener}
	r.worker = r.pool.Worker(listener.Addr().String())
	r.accept = func() *scriptedConn {
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
	t.Cleanup(func() {
		stop()
		listener.Close()
		r.pool.Wait()
	})
	return r
}

// call makes a call and gives what ends it.
func (r *harness) call(id string, alone bool) (*resp.Call, chan resp.Result) {
	done := make(chan resp.Result, 2)
	return r.worker.Call(id, resp.FixedMessage(resp.AppendArray(nil, "FN", id)), alone, func(a resp.Result) { done <- a }), done
}

func expect(t *testing.T, done chan resp.Result, fate resp.Outcome, word string) {
	t.Helper()
	a := <-done
	if a.Outcome != fate || word != "" && (len(a.Elements) == 0 || string(a.Elements[0]) != word) {
		t.Errorf("fate %d %q, want %d %q", a.Outcome, a.Elements, fate, word)
	}
}

// Answers are matched by id; what belongs to no call, and a second copy, is dropped.
func TestResponsesMatchCalls(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", false)
	s := r.accept()
	_, b := r.call("b", false)
	s.next()
	s.next()
	ok := resp.AppendArray(nil, "b", "ok", "-", "body")
	s.send(bytes.Join([][]byte{resp.AppendArray(nil, "z", "ok", "-", "stray"), ok, ok, resp.AppendArray(nil, "a", "error", "-", "")}, nil))
	expect(t, b, resp.Answered, "ok")
	expect(t, a, resp.Answered, "error")
	if n := r.pool.UnmatchedResponses(); n != 2 {
		t.Error(n, "strays")
	}
	// the same id again goes over another connection: a late second answer would be taken for this request's
	_, again := r.call("a", true)
	other := r.accept()
	other.next()
	s.send(resp.AppendArray(nil, "a", "ok", "-", "second copy"))
	other.send(resp.AppendArray(nil, "a", "nothing", "-", ""))
	expect(t, again, resp.Answered, "nothing")
}

// An answer that can't be read breaks its connection: what was on it may have run. Calls that asked to be alone on
// another one are not touched; a line that has begun and stops counts as well.
func TestMalformedResponse(t *testing.T) {
	l := limits
	l.IOTimeout = 300 * time.Millisecond
	r := start(t, l)
	_, a := r.call("a", true)
	first := r.accept()
	first.next()
	_, b := r.call("b", true)
	second := r.accept()
	second.next()
	first.send([]byte("*4\r\n$1\r\na\r\n$2\r\nok\r\n$1\r\n-\r\n$3221225472\r\nabc"))
	expect(t, a, resp.ConnectionLost, "")
	second.send([]byte("*4\r\n$1\r\nb\r\n$2\r\nok\r\n$1\r\n-\r\n$9\r\nabc"))
	expect(t, b, resp.ConnectionLost, "")
}

// A call given up has ended when its kill is written, and its connection carries nothing new.
func TestCancel(t *testing.T) {
	r := start(t, limits)
	call, done := r.call("a", true)
	s := r.accept()
	s.next()
	call.Cancel(resp.AppendArray(nil, "KILL", "a"))
	expect(t, done, resp.Cancelled, "")
	if got := s.next(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	_, other := r.call("b", true)
	s = r.accept()
	s.next()
	s.send(resp.AppendArray(nil, "b", "ok", "-", ""))
	expect(t, other, resp.Answered, "ok")
	call.Cancel(nil) // has its outcome
	if len(done) > 0 {
		t.Error("a second end:", <-done)
	}
}

// What is given up without a word, as an order that was lost, lets its connection end.
func TestCancelWithoutCommand(t *testing.T) {
	r := start(t, limits)
	call, done := r.call("t1", false)
	s := r.accept()
	s.next()
	call.Cancel(nil)
	expect(t, done, resp.Cancelled, "")
	if _, err := s.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
}

// What had not left when a worker was drained never came there; what is under way is still answered.
func TestStop(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", true)
	s := r.accept()
	s.next()
	r.worker.Stop()
	_, b := r.call("b", true)
	expect(t, b, resp.NotSent, "")
	s.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	if _, err := s.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
	r.worker.Resume()
	_, c := r.call("c", true)
	r.accept().next()
	r.listener.Close()
	r.worker.Stop()
	if len(c) > 0 {
		t.Error("given up:", <-c)
	}
}

// No connection: never ran. A connection that is lost under a request: may have run.
func TestUnreachableWorker(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", true)
	s := r.accept()
	s.next()
	s.Close()
	expect(t, a, resp.ConnectionLost, "")
	r.listener.Close()
	_, b := r.call("b", true)
	expect(t, b, resp.NotSent, "")
}

// A worker from which nothing was heard for a while is asked over a new connection: where its machine is gone, what is
// sent on the old one may have run, what waits for the new one never did.
func TestSilentWorkerGetsNewConnection(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", true)
	s := r.accept()
	s.next()
	s.send(resp.AppendArray(nil, "a", "ok", "-", ""))
	expect(t, a, resp.Answered, "ok")
	r.worker.SetSilentFor(2 * limits.IOTimeout)
	r.listener.Close()
	_, b := r.call("b", true)
	expect(t, b, resp.NotSent, "")
}

// Past the limit of connections calls share them, up to the streams that one carries.
func TestCallsShareConnections(t *testing.T) {
	l := limits
	l.SoftMaxConns, l.MaxCallsPerConn = 1, 2
	r := start(t, l)
	_, a := r.call("a", true)
	_, b := r.call("b", true)
	_, c := r.call("c", true)
	expect(t, c, resp.NotSent, "")
	s := r.accept()
	s.next()
	s.next()
	s.send(append(resp.AppendArray(nil, "b", "ok", "-", ""), resp.AppendArray(nil, "a", "ok", "-", "")...))
	expect(t, a, resp.Answered, "ok")
	expect(t, b, resp.Answered, "ok")
}
