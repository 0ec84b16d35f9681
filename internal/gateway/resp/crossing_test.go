package resp_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"lupinpond/internal/gateway/resp"
)

// huge is more than the sockets take while nobody reads.
var huge = strings.Repeat("x", 32<<20)

// big makes a call whose command is being written: the worker has read its beginning.
func (r *rig) big(id string) (*script, *resp.Call, chan resp.Answer) {
	done := make(chan resp.Answer, 2)
	c := r.worker.Call(id, resp.Fixed(resp.Append(nil, "FN", id, huge)), false, func(a resp.Answer) { done <- a })
	s := r.accept()
	s.have = make([]byte, 1)
	if _, err := io.ReadFull(s, s.have); err != nil {
		r.t.Fatal(err)
	}
	return s, c, done
}

// A command that is cut off before its last byte left never ran: an at-most-once event may go elsewhere.
func TestCutOffInWriting(t *testing.T) {
	r := start(t, limits)
	s, _, done := r.big("a")
	s.Close()
	wants(t, done, resp.Unsent, "")
}

// A call that is given up while its command is being written is out until its kill is written after it.
func TestRecallInWriting(t *testing.T) {
	r := start(t, limits)
	s, call, done := r.big("a")
	call.Recall(resp.Append(nil, "KILL", "a"))
	if len(done) > 0 {
		t.Error("over before its kill was written")
	}
	part := make([]byte, 1<<20)
	for len(s.have) < len(huge) { // most of the command in large parts, as next reads small ones
		n, err := s.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		s.have = append(s.have, part[:n]...)
	}
	if got := s.next(); got[0] != "FN" || len(got[2]) != len(huge) {
		t.Error("a command of", len(got[2]), "bytes")
	}
	if got := s.next(); got[0] != "KILL" || got[1] != "a" {
		t.Error(got)
	}
	wants(t, done, resp.GivenUp, "")
}

// other is another worker of the pool, whose connections a test plays.
func (r *rig) other() (*resp.Worker, func() *script) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { listener.Close() })
	return r.pool.Worker(listener.Addr().String()), func() *script {
		conn, err := listener.Accept()
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { conn.Close() })
		return &script{Conn: conn, t: r.t}
	}
}

// Where the descriptors for workers are used up, a worker without a connection gets that of one that has nothing to do; past
// the last reserve its call is not sent, and nothing of it is held.
func TestDescriptors(t *testing.T) {
	l := limits
	l.Conns, l.Most = 1, 2
	r := start(t, l)
	_, a := r.call("a", true)
	first := r.accept()
	first.next()
	first.send(resp.Append(nil, "a", "ok", "-", ""))
	wants(t, a, resp.Answered, "ok")
	for i := range int64(2) { // the first of them takes what the idle connection had, the second one the reserve
		w, accept := r.other()
		w.Call("b", resp.Fixed(resp.Append(nil, "FN", "b")), true, func(resp.Answer) {})
		accept().next()
		if _, err := io.Copy(io.Discard, first); err != nil {
			t.Error("the idle connection stays:", err)
		}
		r.pool.Settled(1 + i) // the end of the idle connection has been counted
	}
	w, _ := r.other()
	done := make(chan resp.Answer, 1)
	w.Call("c", resp.Fixed(resp.Append(nil, "FN", "c")), true, func(a resp.Answer) { done <- a })
	wants(t, done, resp.Unsent, "")
}

// A worker that is drained while a command waits for its connection to come up gets none of it.
func TestDrainedWhileConnecting(t *testing.T) {
	r := start(t, limits)
	open := make(chan struct{})
	r.pool.Hold(open)
	_, done := r.call("a", true)
	r.worker.Stop()
	wants(t, done, resp.Unsent, "")
	close(open)
	if n, err := r.accept().Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the command came")
	}
}

// A call that is given up while its connection is coming up, as its client left, is over at once and never sent; what comes
// later goes over that connection.
func TestRecallWhileConnecting(t *testing.T) {
	r := start(t, limits)
	open := make(chan struct{})
	r.pool.Hold(open)
	call, done := r.call("a", true)
	call.Recall(resp.Append(nil, "KILL", "a"))
	wants(t, done, resp.Unsent, "")
	close(open)
	_, other := r.call("b", true)
	s := r.accept()
	if got := s.next(); got[1] != "b" {
		t.Error(got)
	}
	s.send(resp.Append(nil, "b", "ok", "-", ""))
	wants(t, other, resp.Answered, "ok")
}

// The end of the pool gives every call its fate.
func TestEndOfPool(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	pool := resp.NewPool(ctx, limits)
	done := make(chan resp.Answer, 1)
	pool.Worker(listener.Addr().String()).Call("a", resp.Fixed(resp.Append(nil, "FN", "a")), true, func(a resp.Answer) { done <- a })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	(&script{Conn: conn, t: t}).next()
	stop()
	wants(t, done, resp.Broken, "")
	pool.Wait()
}
