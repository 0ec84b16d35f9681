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
	b := resp.Append(nil, "id", "", "b\r\ny")
	for n := range len(b) {
		if _, taken, err := resp.Parse(b[:n], 100); taken != 0 || err != nil {
			t.Errorf("of %d of %d bytes %d are taken: %v", n, len(b), taken, err)
		}
	}
	words, taken, err := resp.Parse(append(b, "*1"...), 100)
	if err != nil || taken != len(b) || len(words) != 3 || string(words[2]) != "b\r\ny" {
		t.Errorf("%q %d %v", words, taken, err)
	}
	for _, bad := range []string{"noise", "*0\r\n", "*-1\r\n", "*9\r\n", "*1\n", "*1\r\n$x", "*1\r\n$-1\r\n", "*1\r\n$3221225472\r\n",
		"*1\r\n$2\r\nabc", "*1\r\n$2\r\nab\rx", "*12345678901234567890", "*1\r\n:1\r\n", "*\r\n"} {
		if words, taken, err := resp.Parse([]byte(bad), 100); err == nil {
			t.Errorf("%q is taken as %q, %d bytes", bad, words, taken)
		}
	}
}

// A prefix is never judged otherwise than with the rest: it is refused only if the whole is, and not taken for more.
func FuzzParse(f *testing.F) {
	f.Add([]byte("*2\r\n$2\r\nid\r\n$0\r\n\r\n"), 3)
	f.Add([]byte("*1\r\n$5\r\nab"), 9)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		words, taken, err := resp.Parse(b, 64)
		if taken > len(b) || taken > 0 && len(words) == 0 {
			t.Error(taken, words)
		}
		_, early, earlyErr := resp.Parse(b[:min(max(0, cut), len(b))], 64)
		if earlyErr != nil && err == nil && taken > 0 || early > 0 && early != taken {
			t.Errorf("%q: %d, %v; its beginning: %d, %v", b, taken, err, early, earlyErr)
		}
	})
}

var limits = resp.Limits{Dial: 10 * time.Second, Idle: time.Minute, Streams: 4, Conns: 4, Most: 8, Word: 64}

// script is a worker's end of one connection.
type script struct {
	net.Conn
	t    *testing.T
	have []byte
}

func (s *script) next() []string {
	s.t.Helper()
	part := make([]byte, 512)
	for {
		words, taken, err := resp.Parse(s.have, 1<<26)
		if err != nil {
			s.t.Fatal(err)
		}
		if taken > 0 {
			var texts []string
			for _, w := range words {
				texts = append(texts, string(w))
			}
			s.have = s.have[taken:]
			return texts
		}
		n, err := s.Read(part)
		if err != nil {
			s.t.Fatal(err)
		}
		s.have = append(s.have, part[:n]...)
	}
}

func (s *script) send(b []byte) {
	s.t.Helper()
	if _, err := s.Write(b); err != nil {
		s.t.Error(err)
	}
}

// rig is a worker whose connections a test plays.
type rig struct {
	t      *testing.T
	accept func() *script
	pool   *resp.Pool
	worker *resp.Worker
	listen net.Listener
}

func start(t *testing.T, l resp.Limits) *rig {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{t: t, pool: resp.NewPool(ctx, l), listen: listener}
	r.worker = r.pool.Worker(listener.Addr().String())
	r.accept = func() *script {
		t.Helper()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
			t.Fatal(err)
		}
		return &script{Conn: conn, t: t}
	}
	t.Cleanup(func() {
		stop()
		listener.Close()
		r.pool.Wait()
	})
	return r
}

// call makes a call and gives what ends it.
func (r *rig) call(id string, alone bool) (*resp.Call, chan resp.Answer) {
	done := make(chan resp.Answer, 2)
	return r.worker.Call(id, resp.Fixed(resp.Append(nil, "FN", id)), alone, func(a resp.Answer) { done <- a }), done
}

func wants(t *testing.T, done chan resp.Answer, fate resp.Fate, word string) {
	t.Helper()
	a := <-done
	if a.Fate != fate || word != "" && (len(a.Words) == 0 || string(a.Words[0]) != word) {
		t.Errorf("fate %d %q, want %d %q", a.Fate, a.Words, fate, word)
	}
}

// Answers are matched by id; what belongs to no call, and a second copy, is dropped.
func TestAnswers(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", false)
	s := r.accept()
	_, b := r.call("b", false)
	s.next()
	s.next()
	ok := resp.Append(nil, "b", "ok", "-", "body")
	s.send(bytes.Join([][]byte{resp.Append(nil, "z", "ok", "-", "stray"), ok, ok, resp.Append(nil, "a", "error", "-", "")}, nil))
	wants(t, b, resp.Answered, "ok")
	wants(t, a, resp.Answered, "error")
	if n := r.pool.Stray(); n != 2 {
		t.Error(n, "strays")
	}
	// the same id again goes over another connection: a late second answer would be taken for this request's
	_, again := r.call("a", true)
	other := r.accept()
	other.next()
	s.send(resp.Append(nil, "a", "ok", "-", "second copy"))
	other.send(resp.Append(nil, "a", "nothing", "-", ""))
	wants(t, again, resp.Answered, "nothing")
}

// An answer that can't be read breaks its connection: what was on it may have run. Calls that asked to be alone on
// another one are not touched; a line that has begun and stops counts as well.
func TestSpoilt(t *testing.T) {
	l := limits
	l.Dial = 300 * time.Millisecond
	r := start(t, l)
	_, a := r.call("a", true)
	first := r.accept()
	first.next()
	_, b := r.call("b", true)
	second := r.accept()
	second.next()
	first.send([]byte("*4\r\n$1\r\na\r\n$2\r\nok\r\n$1\r\n-\r\n$3221225472\r\nabc"))
	wants(t, a, resp.Broken, "")
	second.send([]byte("*4\r\n$1\r\nb\r\n$2\r\nok\r\n$1\r\n-\r\n$9\r\nabc"))
	wants(t, b, resp.Broken, "")
}

// A call given up has ended when its kill is written, and its connection carries nothing new.
func TestRecall(t *testing.T) {
	r := start(t, limits)
	call, done := r.call("a", true)
	s := r.accept()
	s.next()
	call.Recall(resp.Append(nil, "KILL", "a"))
	wants(t, done, resp.GivenUp, "")
	if got := s.next(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	_, other := r.call("b", true)
	s = r.accept()
	s.next()
	s.send(resp.Append(nil, "b", "ok", "-", ""))
	wants(t, other, resp.Answered, "ok")
	call.Recall(nil) // has its outcome
	if len(done) > 0 {
		t.Error("a second end:", <-done)
	}
}

// What is given up without a word, as an order that was lost, lets its connection end.
func TestRecallQuietly(t *testing.T) {
	r := start(t, limits)
	call, done := r.call("t1", false)
	s := r.accept()
	s.next()
	call.Recall(nil)
	wants(t, done, resp.GivenUp, "")
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
	wants(t, b, resp.Unsent, "")
	s.send(resp.Append(nil, "a", "ok", "-", ""))
	wants(t, a, resp.Answered, "ok")
	if _, err := s.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
	r.worker.Resume()
	_, c := r.call("c", true)
	r.accept().next()
	r.listen.Close()
	r.worker.Stop()
	if len(c) > 0 {
		t.Error("given up:", <-c)
	}
}

// No connection: never ran. A connection that is lost under a request: may have run.
func TestUnreached(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", true)
	s := r.accept()
	s.next()
	s.Close()
	wants(t, a, resp.Broken, "")
	r.listen.Close()
	_, b := r.call("b", true)
	wants(t, b, resp.Unsent, "")
}

// A worker from which nothing was heard for a while is asked over a new connection: where its machine is gone, what is
// sent on the old one may have run, what waits for the new one never did.
func TestSilent(t *testing.T) {
	r := start(t, limits)
	_, a := r.call("a", true)
	s := r.accept()
	s.next()
	s.send(resp.Append(nil, "a", "ok", "-", ""))
	wants(t, a, resp.Answered, "ok")
	r.worker.Quiet(2 * limits.Dial)
	r.listen.Close()
	_, b := r.call("b", true)
	wants(t, b, resp.Unsent, "")
}

// Past the limit of connections calls share them, up to the streams that one carries.
func TestShare(t *testing.T) {
	l := limits
	l.Conns, l.Streams = 1, 2
	r := start(t, l)
	_, a := r.call("a", true)
	_, b := r.call("b", true)
	_, c := r.call("c", true)
	wants(t, c, resp.Unsent, "")
	s := r.accept()
	s.next()
	s.next()
	s.send(append(resp.Append(nil, "b", "ok", "-", ""), resp.Append(nil, "a", "ok", "-", "")...))
	wants(t, a, resp.Answered, "ok")
	wants(t, b, resp.Answered, "ok")
}
