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

var limits = workerrpc.Limits{
	DialTimeout:    2 * time.Second,
	QueueTimeout:   5 * time.Second,
	WriteTimeout:   5 * time.Second,
	MaxQueuedCalls: 8,
	MaxQueuedBytes: 1 << 20,
}

// fakeWorker is a worker's end of a pipe that does just what a test says.
type fakeWorker struct {
	net.Conn
	t      *testing.T
	frames *workerrpc.FrameReader
}

func (w *fakeWorker) send(body any) {
	w.t.Helper()
	frame, err := workerrpc.AppendFrame(nil, body)
	if err == nil {
		_, err = w.Write(frame)
	}
	if err != nil {
		w.t.Error(err)
	}
}

// discardRest reads until the connection is closed.
func (w *fakeWorker) discardRest() { _, _ = io.Copy(io.Discard, w) }

// next reads one message.
func (w *fakeWorker) next() any {
	w.t.Helper()
	body, err := w.frames.Next()
	if err != nil {
		w.t.Error(err)
	}
	return body
}

// startClient runs a client of worker w until the test ends. Its connections are served by behaviors, one after the
// other, over pipes: a byte is written when it is read.
func startClient(t *testing.T, limits workerrpc.Limits, behaviors ...func(*fakeWorker)) *workerrpc.Client {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	dialed := 0
	client := workerrpc.NewClient("front", "w", "addr", limits, func(context.Context, string) (net.Conn, error) {
		if dialed++; dialed > len(behaviors) {
			return nil, errors.New("nobody listens")
		}
		behave := behaviors[dialed-1]
		gatewayConn, workerConn := net.Pipe()
		workers.Go(func() {
			worker := &fakeWorker{Conn: workerConn, t: t, frames: workerrpc.NewFrameReader(workerConn, workerrpc.MaxFrame)}
			worker.next() // handshake
			worker.send(&workerrpc.Handshake{Version: workerrpc.ProtocolVersion, Name: "w", MaxAttempts: 2})
			behave(worker)
			workerConn.Close()
		})
		return gatewayConn, nil
	})
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		workers.Wait()
	})
	return client
}

// sendAttempt sends an attempt of a request and returns its outcomes, of which there should be one.
func sendAttempt(client *workerrpc.Client, id string) (*workerrpc.Call, <-chan workerrpc.Outcome) {
	outcomes := make(chan workerrpc.Outcome, 2)
	call := client.Send(workerrpc.Attempt{RequestID: id}, time.Minute, func(o workerrpc.Outcome) { outcomes <- o })
	return call, outcomes
}

// wantOutcome waits for an outcome and compares it.
func wantOutcome(t *testing.T, outcomes <-chan workerrpc.Outcome, status workerrpc.Status,
	neverRan bool) workerrpc.Outcome {
	t.Helper()
	outcome := <-outcomes
	if outcome.Status != status || outcome.NeverRan() != neverRan {
		t.Errorf("status %d, never ran %v (%v); want %d, %v", outcome.Status, outcome.NeverRan(), outcome.Err,
			status, neverRan)
	}
	return outcome
}

// Results of a worker for an attempt that it never had, or has answered before, are counted; the requests' own
// outcomes stand.
func TestUnmatchedResponses(t *testing.T) {
	client := startClient(t, limits, func(w *fakeWorker) {
		a := w.next().(*workerrpc.Attempt)
		w.send(&workerrpc.AttemptResult{Seq: a.Seq + 7, RequestID: "never"})
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: "another"})
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID, Code: workerrpc.CodeOK})
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID, Code: workerrpc.CodeFailed})
		b := w.next().(*workerrpc.Attempt)
		w.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeOverloaded})
		w.discardRest()
	})
	_, outcomes := sendAttempt(client, "a")
	if o := wantOutcome(t, outcomes, workerrpc.StatusAnswered, false); o.AttemptResult.Code != workerrpc.CodeOK {
		t.Error("the second result counted")
	}
	_, outcomes = sendAttempt(client, "b")
	wantOutcome(t, outcomes, workerrpc.StatusAnswered, true)
	if n := client.Counts().UnmatchedResponses; n != 3 {
		t.Errorf("%d unmatched responses, want 3", n)
	}
	client.NotifyDraining()
}

// An attempt that must not be sent any more when it is about to be written is withheld, and the one behind it is sent.
func TestWithheldAttempt(t *testing.T) {
	client := startClient(t, limits, func(w *fakeWorker) {
		b := w.next().(*workerrpc.Attempt)
		if b.RequestID != "b" {
			t.Error(b.RequestID, "was sent")
		}
		w.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeOK})
		w.discardRest()
	})
	withheld := make(chan workerrpc.Outcome, 2)
	maySend := func() bool { return false }
	client.SendIf(workerrpc.Attempt{RequestID: "a"}, time.Minute, maySend, func(o workerrpc.Outcome) { withheld <- o })
	_, outcomes := sendAttempt(client, "b")
	if o := wantOutcome(t, withheld, workerrpc.StatusUnsent, true); !errors.Is(o.Err, workerrpc.ErrWithheld) {
		t.Error(o.Err)
	}
	wantOutcome(t, outcomes, workerrpc.StatusAnswered, false)
	client.NotifyDraining()
}

// An attempt partly written when the connection is lost may have run; one behind it, still queued, never did.
// Nothing is sent a second time.
func TestPartlyWrittenAttempt(t *testing.T) {
	waits := make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) {
		if _, err := io.ReadFull(w, make([]byte, 6)); err != nil { // the length, the kind and one byte
			t.Error(err)
		}
		<-waits
	})
	_, first := sendAttempt(client, "half")
	_, second := sendAttempt(client, "behind")
	close(waits)
	wantOutcome(t, first, workerrpc.StatusConnectionLost, false)
	wantOutcome(t, second, workerrpc.StatusUnsent, true)
	if n := client.Counts().Connections; n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A stop while attempts are queued: those are unsent at once, a write that is not completed breaks the connection
// after the grace, and nothing new is sent until the worker is in service again.
func TestDrainWithQueuedAttempts(t *testing.T) {
	waits, begun := make(chan struct{}), make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) { // the second attempt finds a reader that has stopped
		w.next()
		if _, err := io.ReadFull(w, make([]byte, 2)); err != nil {
			t.Error(err)
		}
		close(begun)
		<-waits
	}, func(w *fakeWorker) {
		a := w.next().(*workerrpc.Attempt)
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID})
		w.discardRest()
	})
	_, first := sendAttempt(client, "sent")
	_, second := sendAttempt(client, "writing")
	_, third := sendAttempt(client, "waiting")
	<-begun
	client.Stop(20 * time.Millisecond)
	wantOutcome(t, third, workerrpc.StatusUnsent, true)
	_, fourth := sendAttempt(client, "too late")
	if o := wantOutcome(t, fourth, workerrpc.StatusUnsent, true); !errors.Is(o.Err, workerrpc.ErrStopped) {
		t.Error(o.Err)
	}
	wantOutcome(t, first, workerrpc.StatusConnectionLost, false)
	wantOutcome(t, second, workerrpc.StatusConnectionLost, false)
	close(waits)
	client.Resume()
	_, fifth := sendAttempt(client, "back")
	wantOutcome(t, fifth, workerrpc.StatusAnswered, false)
	client.NotifyDraining()
}

// A cancel that races with a result: the attempt is cancelled once the cancel is written; the result is late and
// dropped.
func TestCancelRacesWithResult(t *testing.T) {
	both, cancelled := make(chan struct{}), make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) {
		a := w.next().(*workerrpc.Attempt)
		b := w.next().(*workerrpc.Attempt)
		close(both)
		if cancel, ok := w.next().(*workerrpc.Cancel); !ok || cancel.Seq != a.Seq {
			t.Error("no cancel of the first attempt")
		}
		<-cancelled
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID})
		w.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeNotStarted})
		w.discardRest()
	})
	call, first := sendAttempt(client, "a")
	_, second := sendAttempt(client, "b")
	<-both
	call.Cancel()
	wantOutcome(t, first, workerrpc.StatusCancelled, false)
	close(cancelled)
	wantOutcome(t, second, workerrpc.StatusAnswered, true)
	call.Cancel()
	if counts := client.Counts(); len(first) != 0 || counts.LateResponses != 1 || counts.UnmatchedResponses != 0 {
		t.Errorf("%d more outcomes, %+v", len(first), counts)
	}
	client.NotifyDraining()
}

// While a worker does not read, a bounded number of calls and bytes is queued; the rest is unsent at once.
func TestQueueIsBoundedWhileNobodyReads(t *testing.T) {
	waits := make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) { <-waits })
	var all []<-chan workerrpc.Outcome
	for i := range 40 {
		_, outcomes := sendAttempt(client, fmt.Sprint(i))
		all = append(all, outcomes)
	}
	full := 0
	for range 40 - limits.MaxQueuedCalls - 1 {
		for _, outcomes := range all {
			select {
			case outcome := <-outcomes:
				if errors.Is(outcome.Err, workerrpc.ErrQueueFull) && outcome.NeverRan() {
					full++
				}
			case <-time.After(time.Microsecond):
			}
		}
	}
	if full < 40-limits.MaxQueuedCalls-1 {
		t.Errorf("%d of 40 were rejected, at most %d may be queued", full, limits.MaxQueuedCalls)
	}
	over := make(chan workerrpc.Outcome, 1)
	big := workerrpc.Attempt{RequestID: "big", Body: make([]byte, limits.MaxQueuedBytes+1)}
	client.Send(big, time.Minute, func(o workerrpc.Outcome) { over <- o })
	wantOutcome(t, over, workerrpc.StatusUnsent, true)
	close(waits)
}

// Frames that no peer should send are rejected with a reason and without memory for what they claim.
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
	for _, body := range []any{
		&workerrpc.Handshake{Version: 1, Name: "w"},
		&workerrpc.Attempt{Seq: 1, RequestID: "e", Body: []byte("x")},
		&workerrpc.AttemptResult{Seq: 1, Report: &workerrpc.LoadReport{}},
		&workerrpc.LoadRequest{Seq: 2, Replicas: 3},
		&workerrpc.DrainNotice{},
	} {
		frame, err := workerrpc.AppendFrame(nil, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		reader := workerrpc.NewFrameReader(bytes.NewReader(b), 1<<16)
		for {
			body, err := reader.Next()
			if err != nil {
				return
			}
			if _, err := workerrpc.AppendFrame(nil, body); err != nil {
				t.Fatalf("what was read can't be written: %v", err)
			}
		}
	})
}
