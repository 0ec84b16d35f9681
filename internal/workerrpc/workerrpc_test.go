package workerrpc_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/workerrpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var limits = workerrpc.Limits{Dial: 2 * time.Second, Queue: 5 * time.Second, Stall: 5 * time.Second, Calls: 8, Bytes: 1 << 20}

// script is a worker's end of a pipe that does just what a test says.
type script struct {
	net.Conn
	t    *testing.T
	read *workerrpc.Reader
}

func (s *script) send(body any) {
	s.t.Helper()
	frame, err := workerrpc.Append(nil, body)
	if err == nil {
		_, err = s.Write(frame)
	}
	if err != nil {
		s.t.Error(err)
	}
}

// rest reads whatever still comes.
func (s *script) rest() { _, _ = io.Copy(io.Discard, s) }

func (s *script) next() any {
	s.t.Helper()
	body, err := s.read.Next()
	if err != nil {
		s.t.Error(err)
	}
	return body
}

// peer starts a Peer of worker w whose connections are played by play, over pipes: a byte is written when it is read.
func peer(t *testing.T, l workerrpc.Limits, play ...func(*script)) *workerrpc.Peer {
	ctx, stop := context.WithCancel(context.Background())
	var scripts sync.WaitGroup
	n := 0
	p := workerrpc.NewPeer("front", "w", "addr", l, func(context.Context, string) (net.Conn, error) {
		if n++; n > len(play) {
			return nil, errors.New("nobody listens")
		}
		here, there := net.Pipe()
		scripts.Go(func() {
			s := &script{Conn: there, t: t, read: workerrpc.NewReader(there, workerrpc.MaxFrame)}
			s.next() // hello
			s.send(&workerrpc.Hello{Version: workerrpc.Version, Name: "w", Launches: 2})
			play[n-1](s)
			there.Close()
		})
		return here, nil
	})
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		scripts.Wait()
	})
	return p
}

// launch sends event id and hands out its outcome.
func launch(p *workerrpc.Peer, id string) (*workerrpc.Call, <-chan workerrpc.Outcome) {
	got := make(chan workerrpc.Outcome, 2)
	return p.Launch(workerrpc.Launch{Event: id}, time.Minute, func(o workerrpc.Outcome) { got <- o }), got
}

func want(t *testing.T, got <-chan workerrpc.Outcome, fate workerrpc.Fate, neverRan bool) workerrpc.Outcome {
	t.Helper()
	o := <-got
	if o.Fate != fate || o.NeverRan() != neverRan {
		t.Errorf("fate %d, never ran %v (%v); want %d, %v", o.Fate, o.NeverRan(), o.Err, fate, neverRan)
	}
	return o
}

// A worker that answers twice, or an event it never had, is counted; the events' own outcomes stand.
func TestAnswersThatNoCallAskedFor(t *testing.T) {
	p := peer(t, limits, func(s *script) {
		a := s.next().(*workerrpc.Launch)
		s.send(&workerrpc.Answer{Seq: a.Seq + 7, Event: "never"})
		s.send(&workerrpc.Answer{Seq: a.Seq, Event: "another"})
		s.send(&workerrpc.Answer{Seq: a.Seq, Event: a.Event, Code: workerrpc.Done})
		s.send(&workerrpc.Answer{Seq: a.Seq, Event: a.Event, Code: workerrpc.Failed})
		b := s.next().(*workerrpc.Launch)
		s.send(&workerrpc.Answer{Seq: b.Seq, Event: b.Event, Code: workerrpc.Full})
		s.rest()
	})
	_, got := launch(p, "a")
	if o := want(t, got, workerrpc.Answered, false); o.Answer.Code != workerrpc.Done {
		t.Error("the second answer counted")
	}
	_, got = launch(p, "b")
	want(t, got, workerrpc.Answered, true)
	if n := p.Counts().Stray; n != 3 {
		t.Errorf("%d stray answers, want 3", n)
	}
	p.Goodbye()
}

// A launch that must not leave any more when it is about to be written is withheld, and the one behind it is sent.
func TestWithheldLaunch(t *testing.T) {
	p := peer(t, limits, func(s *script) {
		b := s.next().(*workerrpc.Launch)
		if b.Event != "b" {
			t.Error(b.Event, "was sent")
		}
		s.send(&workerrpc.Answer{Seq: b.Seq, Event: b.Event, Code: workerrpc.Done})
		s.rest()
	})
	withheld := make(chan workerrpc.Outcome, 2)
	p.LaunchIf(workerrpc.Launch{Event: "a"}, time.Minute, func() bool { return false }, func(o workerrpc.Outcome) { withheld <- o })
	_, got := launch(p, "b")
	if o := want(t, withheld, workerrpc.Unsent, true); !errors.Is(o.Err, workerrpc.ErrWithheld) {
		t.Error(o.Err)
	}
	want(t, got, workerrpc.Answered, false)
	p.Goodbye()
}

// A launch half written when the connection breaks may have run; one behind it, still in the queue, never did. Nothing
// is sent a second time.
func TestHalfWrittenLaunch(t *testing.T) {
	waits := make(chan struct{})
	p := peer(t, limits, func(s *script) {
		if _, err := io.ReadFull(s, make([]byte, 6)); err != nil { // the length, the kind and a little
			t.Error(err)
		}
		<-waits
	})
	_, first := launch(p, "half")
	_, second := launch(p, "behind")
	close(waits)
	want(t, first, workerrpc.Broken, false)
	want(t, second, workerrpc.Unsent, true)
	if n := p.Counts().Connections; n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A drain told while launches wait: those are unsent at once, a write under way is broken off after the grace, and
// nothing new is taken until the worker is back.
func TestDrainWhileLaunchesWait(t *testing.T) {
	waits, begun := make(chan struct{}), make(chan struct{})
	p := peer(t, limits, func(s *script) { // the second launch finds a reader that has stopped
		s.next()
		if _, err := io.ReadFull(s, make([]byte, 2)); err != nil {
			t.Error(err)
		}
		close(begun)
		<-waits
	}, func(s *script) {
		a := s.next().(*workerrpc.Launch)
		s.send(&workerrpc.Answer{Seq: a.Seq, Event: a.Event})
		s.rest()
	})
	_, first := launch(p, "sent")
	_, second := launch(p, "writing")
	_, third := launch(p, "waiting")
	<-begun
	p.Stop(20 * time.Millisecond)
	want(t, third, workerrpc.Unsent, true)
	_, fourth := launch(p, "too late")
	if o := want(t, fourth, workerrpc.Unsent, true); !errors.Is(o.Err, workerrpc.ErrStopped) {
		t.Error(o.Err)
	}
	want(t, first, workerrpc.Broken, false)
	want(t, second, workerrpc.Broken, false)
	close(waits)
	p.Resume()
	_, fifth := launch(p, "back")
	want(t, fifth, workerrpc.Answered, false)
	p.Goodbye()
}

// A cancel that crosses an answer: the launch is recalled once the cancel has left; the answer is late and dropped.
func TestCancelCrossesAnswer(t *testing.T) {
	both, told := make(chan struct{}), make(chan struct{})
	p := peer(t, limits, func(s *script) {
		a := s.next().(*workerrpc.Launch)
		b := s.next().(*workerrpc.Launch)
		close(both)
		if c, is := s.next().(*workerrpc.Cancel); !is || c.Seq != a.Seq {
			t.Error("no cancel of the first launch")
		}
		<-told
		s.send(&workerrpc.Answer{Seq: a.Seq, Event: a.Event})
		s.send(&workerrpc.Answer{Seq: b.Seq, Event: b.Event, Code: workerrpc.NotStarted})
		s.rest()
	})
	call, first := launch(p, "a")
	_, second := launch(p, "b")
	<-both
	call.Recall(true)
	want(t, first, workerrpc.Recalled, false)
	close(told)
	want(t, second, workerrpc.Answered, true)
	call.Recall(true)
	if n := p.Counts(); len(first) != 0 || n.Late != 1 || n.Stray != 0 {
		t.Errorf("%d more outcomes, %+v", len(first), n)
	}
	p.Goodbye()
}

// A peer that stops reading holds a bounded number of calls and bytes; the rest is unsent at once.
func TestBoundedWhileNobodyReads(t *testing.T) {
	waits := make(chan struct{})
	p := peer(t, limits, func(s *script) { <-waits })
	var got []<-chan workerrpc.Outcome
	for i := range 40 {
		_, o := launch(p, fmt.Sprint(i))
		got = append(got, o)
	}
	full := 0
	for range 40 - limits.Calls - 1 {
		for _, o := range got {
			select {
			case x := <-o:
				if errors.Is(x.Err, workerrpc.ErrFull) && x.NeverRan() {
					full++
				}
			case <-time.After(time.Microsecond):
			}
		}
	}
	if full < 40-limits.Calls-1 {
		t.Errorf("%d of 40 were refused, at most %d may wait", full, limits.Calls)
	}
	over := make(chan workerrpc.Outcome, 1)
	p.Launch(workerrpc.Launch{Event: "big", Body: make([]byte, limits.Bytes+1)}, time.Minute, func(o workerrpc.Outcome) { over <- o })
	want(t, over, workerrpc.Unsent, true)
	close(waits)
}

// Frames that no peer should send are refused with a reason and without memory for what they claim.
func TestFramesThatCantBe(t *testing.T) {
	nested := append([]byte{byte(workerrpc.KindAnswer)}, bytes.Repeat([]byte{0x81}, 5000)...)
	for _, c := range []struct {
		name, want string
		frame      []byte
	}{
		{"4 GiB", "4294967295 bytes", binary.BigEndian.AppendUint32(nil, 1<<32-1)},
		{"zero length", "0 bytes", make([]byte, 4)},
		{"nested to depth", "nested level", append(binary.BigEndian.AppendUint32(nil, uint32(len(nested))), nested...)},
		{"unknown kind", "unknown kind 99", []byte{0, 0, 0, 2, 99, 0xa0}},
		{"a key twice", "duplicate", []byte{0, 0, 0, 6, byte(workerrpc.KindProbe), 0xa2, 1, 1, 1, 2}},
		{"cut short", "unexpected EOF", []byte{0, 0, 0, 9, byte(workerrpc.KindProbe), 0xa1}},
	} {
		_, err := workerrpc.NewReader(bytes.NewReader(c.frame), workerrpc.MaxFrame).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.name, err, c.want)
		}
	}
}

func FuzzReader(f *testing.F) {
	for _, body := range []any{&workerrpc.Hello{Version: 1, Name: "w"}, &workerrpc.Launch{Seq: 1, Event: "e", Body: []byte("x")},
		&workerrpc.Answer{Seq: 1, Report: &workerrpc.Report{}}, &workerrpc.Order{Seq: 2, Copies: 3}, &workerrpc.Goodbye{}} {
		frame, err := workerrpc.Append(nil, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := workerrpc.NewReader(bytes.NewReader(b), 1<<16)
		for {
			body, err := r.Next()
			if err != nil {
				return
			}
			if _, err := workerrpc.Append(nil, body); err != nil {
				t.Fatalf("what was read can't be written: %v", err)
			}
		}
	})
}
