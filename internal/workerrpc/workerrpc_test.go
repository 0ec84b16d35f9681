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

var limits = workerrpc.Limits{DialTimeout: 2 * time.Second, QueueTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, MaxQueuedCalls: 8, MaxQueuedBytes: 1 << 20}

// fakeWorker is a worker's end of a pipe that does just what a test says.
type fakeWorker struct {
	net.Conn
	t      *testing.T
	frames *workerrpc.FrameReader
}

func (s *fakeWorker) send(body any) {
	s.t.Helper()
	frame, err := workerrpc.AppendFrame(nil, body)
	if err == nil {
		_, err = s.Write(frame)
	}
	if err != nil {
		s.t.Error(err)
	}
}

// discardRest reads whatever still comes.
func (s *fakeWorker) discardRest() { _, _ = io.Copy(io.Discard, s) }

func (s *fakeWorker) next() any {
	s.t.Helper()
	body, err := s.frames.Next()
	if err != nil {
		s.t.Error(err)
	}
	return body
}

// startClient starts a Peer of worker w whose connections are played by play, over pipes: a byte is written when it is read.
func startClient(t *testing.T, l workerrpc.Limits, play ...func(*fakeWorker)) *workerrpc.Client {
	ctx, stop := context.WithCancel(context.Background())
	var scripts sync.WaitGroup
	n := 0
	p := workerrpc.NewClient("front", "w", "addr", l, func(context.Context, string) (net.Conn, error) {
		if n++; n > len(play) {
			return nil, errors.New("nobody listens")
		}
		here, there := net.Pipe()
		scripts.Go(func() {
			s := &fakeWorker{Conn: there, t: t, frames: workerrpc.NewFrameReader(there, workerrpc.MaxFrame)}
			s.next() // hello
			s.send(&workerrpc.Handshake{Version: workerrpc.ProtocolVersion, Name: "w", MaxAttempts: 2})
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

// sendAttempt sends event id and hands out its outcome.
func sendAttempt(p *workerrpc.Client, id string) (*workerrpc.Call, <-chan workerrpc.Outcome) {
	got := make(chan workerrpc.Outcome, 2)
	return p.Send(workerrpc.Attempt{RequestID: id}, time.Minute, func(o workerrpc.Outcome) { got <- o }), got
}

func wantOutcome(t *testing.T, got <-chan workerrpc.Outcome, fate workerrpc.Status, neverRan bool) workerrpc.Outcome {
	t.Helper()
	o := <-got
	if o.Status != fate || o.NeverRan() != neverRan {
		t.Errorf("fate %d, never ran %v (%v); want %d, %v", o.Status, o.NeverRan(), o.Err, fate, neverRan)
	}
	return o
}

// A worker that answers twice, or an event it never had, is counted; the events' own outcomes stand.
func TestUnmatchedResponses(t *testing.T) {
	p := startClient(t, limits, func(s *fakeWorker) {
		a := s.next().(*workerrpc.Attempt)
		s.send(&workerrpc.AttemptResult{Seq: a.Seq + 7, RequestID: "never"})
		s.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: "another"})
		s.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID, Code: workerrpc.CodeOK})
		s.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID, Code: workerrpc.CodeFailed})
		b := s.next().(*workerrpc.Attempt)
		s.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeOverloaded})
		s.discardRest()
	})
	_, got := sendAttempt(p, "a")
	if o := wantOutcome(t, got, workerrpc.StatusAnswered, false); o.AttemptResult.Code != workerrpc.CodeOK {
		t.Error("the second answer counted")
	}
	_, got = sendAttempt(p, "b")
	wantOutcome(t, got, workerrpc.StatusAnswered, true)
	if n := p.Counts().UnmatchedResponses; n != 3 {
		t.Errorf("%d stray answers, want 3", n)
	}
	p.NotifyDraining()
}

// A launch that must not leave any more when it is about to be written is withheld, and the one behind it is sent.
func TestWithheldAttempt(t *testing.T) {
	p := startClient(t, limits, func(s *fakeWorker) {
		b := s.next().(*workerrpc.Attempt)
		if b.RequestID != "b" {
			t.Error(b.RequestID, "was sent")
		}
		s.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeOK})
		s.discardRest()
	})
	withheld := make(chan workerrpc.Outcome, 2)
	p.SendIf(workerrpc.Attempt{RequestID: "a"}, time.Minute, func() bool { return false }, func(o workerrpc.Outcome) { withheld <- o })
	_, got := sendAttempt(p, "b")
	if o := wantOutcome(t, withheld, workerrpc.StatusUnsent, true); !errors.Is(o.Err, workerrpc.ErrWithheld) {
		t.Error(o.Err)
	}
	wantOutcome(t, got, workerrpc.StatusAnswered, false)
	p.NotifyDraining()
}

// A launch half written when the connection breaks may have run; one behind it, still in the queue, never did. Nothing
// is sent a second time.
func TestPartlyWrittenAttempt(t *testing.T) {
	waits := make(chan struct{})
	p := startClient(t, limits, func(s *fakeWorker) {
		if _, err := io.ReadFull(s, make([]byte, 6)); err != nil { // the length, the kind and a little
			t.Error(err)
		}
		<-waits
	})
	_, first := sendAttempt(p, "half")
	_, second := sendAttempt(p, "behind")
	close(waits)
	wantOutcome(t, first, workerrpc.StatusConnectionLost, false)
	wantOutcome(t, second, workerrpc.StatusUnsent, true)
	if n := p.Counts().Connections; n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A drain told while launches wait: those are unsent at once, a write under way is broken off after the grace, and
// nothing new is taken until the worker is back.
func TestDrainWithQueuedAttempts(t *testing.T) {
	waits, begun := make(chan struct{}), make(chan struct{})
	p := startClient(t, limits, func(s *fakeWorker) { // the second launch finds a reader that has stopped
		s.next()
		if _, err := io.ReadFull(s, make([]byte, 2)); err != nil {
			t.Error(err)
		}
		close(begun)
		<-waits
	}, func(s *fakeWorker) {
		a := s.next().(*workerrpc.Attempt)
		s.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID})
		s.discardRest()
	})
	_, first := sendAttempt(p, "sent")
	_, second := sendAttempt(p, "writing")
	_, third := sendAttempt(p, "waiting")
	<-begun
	p.Stop(20 * time.Millisecond)
	wantOutcome(t, third, workerrpc.StatusUnsent, true)
	_, fourth := sendAttempt(p, "too late")
	if o := wantOutcome(t, fourth, workerrpc.StatusUnsent, true); !errors.Is(o.Err, workerrpc.ErrStopped) {
		t.Error(o.Err)
	}
	wantOutcome(t, first, workerrpc.StatusConnectionLost, false)
	wantOutcome(t, second, workerrpc.StatusConnectionLost, false)
	close(waits)
	p.Resume()
	_, fifth := sendAttempt(p, "back")
	wantOutcome(t, fifth, workerrpc.StatusAnswered, false)
	p.NotifyDraining()
}

// A cancel that crosses an answer: the launch is recalled once the cancel has left; the answer is late and dropped.
func TestCancelRacesWithResult(t *testing.T) {
	both, told := make(chan struct{}), make(chan struct{})
	p := startClient(t, limits, func(s *fakeWorker) {
		a := s.next().(*workerrpc.Attempt)
		b := s.next().(*workerrpc.Attempt)
		close(both)
		if c, is := s.next().(*workerrpc.Cancel); !is || c.Seq != a.Seq {
			t.Error("no cancel of the first launch")
		}
		<-told
		s.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID})
		s.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeNotStarted})
		s.discardRest()
	})
	call, first := sendAttempt(p, "a")
	_, second := sendAttempt(p, "b")
	<-both
	call.Cancel(true)
	wantOutcome(t, first, workerrpc.StatusCancelled, false)
	close(told)
	wantOutcome(t, second, workerrpc.StatusAnswered, true)
	call.Cancel(true)
	if n := p.Counts(); len(first) != 0 || n.LateResponses != 1 || n.UnmatchedResponses != 0 {
		t.Errorf("%d more outcomes, %+v", len(first), n)
	}
	p.NotifyDraining()
}

// A peer that stops reading holds a bounded number of calls and bytes; the rest is unsent at once.
func TestQueueIsBoundedWhileNobodyReads(t *testing.T) {
	waits := make(chan struct{})
	p := startClient(t, limits, func(s *fakeWorker) { <-waits })
	var got []<-chan workerrpc.Outcome
	for i := range 40 {
		_, o := sendAttempt(p, fmt.Sprint(i))
		got = append(got, o)
	}
	full := 0
	for range 40 - limits.MaxQueuedCalls - 1 {
		for _, o := range got {
			select {
			case x := <-o:
				if errors.Is(x.Err, workerrpc.ErrQueueFull) && x.NeverRan() {
					full++
				}
			case <-time.After(time.Microsecond):
			}
		}
	}
	if full < 40-limits.MaxQueuedCalls-1 {
		t.Errorf("%d of 40 were refused, at most %d may wait", full, limits.MaxQueuedCalls)
	}
	over := make(chan workerrpc.Outcome, 1)
	p.Send(workerrpc.Attempt{RequestID: "big", Body: make([]byte, limits.MaxQueuedBytes+1)}, time.Minute, func(o workerrpc.Outcome) { over <- o })
	wantOutcome(t, over, workerrpc.StatusUnsent, true)
	close(waits)
}

// Frames that no peer should send are refused with a reason and without memory for what they claim.
func TestInvalidFrames(t *testing.T) {
	nested := append([]byte{byte(workerrpc.KindAttemptResult)}, bytes.Repeat([]byte{0x81}, 5000)...)
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
		_, err := workerrpc.NewFrameReader(bytes.NewReader(c.frame), workerrpc.MaxFrame).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.name, err, c.want)
		}
	}
}

func FuzzFrameReader(f *testing.F) {
	for _, body := range []any{&workerrpc.Handshake{Version: 1, Name: "w"}, &workerrpc.Attempt{Seq: 1, RequestID: "e", Body: []byte("x")},
		&workerrpc.AttemptResult{Seq: 1, Report: &workerrpc.LoadReport{}}, &workerrpc.LoadRequest{Seq: 2, Replicas: 3}, &workerrpc.DrainNotice{}} {
		frame, err := workerrpc.AppendFrame(nil, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := workerrpc.NewFrameReader(bytes.NewReader(b), 1<<16)
		for {
			body, err := r.Next()
			if err != nil {
				return
			}
			if _, err := workerrpc.AppendFrame(nil, body); err != nil {
				t.Fatalf("what was read can't be written: %v", err)
			}
		}
	})
}
