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

// fakeWorker is the worker's end of a connection over a pipe. A test scripts what it reads and sends.
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

// discardRest reads and discards data until the connection is closed.
func (w *fakeWorker) discardRest() { _, _ = io.Copy(io.Discard, w) }

// next reads one message and returns its body.
func (w *fakeWorker) next() any {
	w.t.Helper()
	body, err := w.frames.Next()
	if err != nil {
		w.t.Error(err)
	}
	return body
}

// startClient runs a client of worker w until the test ends. The client's connections are pipes: a write returns only
// when its bytes are read. The first connection is served by the first of behaviors, the next one by the second, and so
// on; further connections are refused.
func startClient(t *testing.T, limits workerrpc.Limits, behaviors ...func(*fakeWorker)) *workerrpc.Client {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	dialed := 0
	client := workerrpc.NewClient("front", "w", "addr", limits, func(context.Context, string) (net.Conn, error) {
		if dialed++; dialed > len(behaviors) {
			return nil, errors.New("connection refused")
		}
		behave := behaviors[dialed-1]
		gatewayConn, workerConn := net.Pipe()
		workers.Go(func() {
			worker := &fakeWorker{Conn: workerConn, t: t, frames: workerrpc.NewFrameReader(workerConn, workerrpc.MaxFrame)}
			worker.next() // the gateway's handshake
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

// sendAttempt sends an attempt of a request and returns a channel with its outcomes. There should be exactly one.
func sendAttempt(client *workerrpc.Client, id string) (*workerrpc.Call, <-chan workerrpc.Outcome) {
	outcomes := make(chan workerrpc.Outcome, 2)
	call := client.Send(workerrpc.Attempt{RequestID: id}, time.Minute, func(o workerrpc.Outcome) { outcomes <- o })
	return call, outcomes
}

// wantOutcome waits for an outcome, checks its status and whether it never ran, and returns it.
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

// A worker sends results with an unknown sequence number, with another request's ID, and a second result for an
// attempt. They must be counted as unmatched and must not change the outcome of any attempt.
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
		t.Error("an unmatched result replaced the outcome")
	}
	_, outcomes = sendAttempt(client, "b")
	wantOutcome(t, outcomes, workerrpc.StatusAnswered, true)
	if n := client.Counts().UnmatchedResponses; n != 3 {
		t.Errorf("%d unmatched responses, want 3", n)
	}
	client.NotifyDraining()
}

// If maySend returns false when an attempt is about to be written, the attempt must not be sent, and the attempt queued
// after it must still be sent.
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

// The connection is lost while an attempt is partly written: that attempt may have run, and the one still queued after
// it never ran. The client must not send either again on a new connection.
func TestPartlyWrittenAttempt(t *testing.T) {
	closeConn := make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) {
		if _, err := io.ReadFull(w, make([]byte, 6)); err != nil { // the length, the kind and one byte of the body
			t.Error(err)
		}
		<-closeConn
	})
	_, first := sendAttempt(client, "half")
	_, second := sendAttempt(client, "behind")
	close(closeConn)
	wantOutcome(t, first, workerrpc.StatusConnectionLost, false)
	wantOutcome(t, second, workerrpc.StatusUnsent, true)
	if n := client.Counts().Connections; n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Stop is called while one attempt is being written and another is queued. The queued one must end with StatusUnsent at
// once, the connection must be closed if the write does not complete within the grace, and no attempt may be sent until
// Resume is called.
func TestDrainWithQueuedAttempts(t *testing.T) {
	closeConn, secondStarted := make(chan struct{}), make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) { // stops reading within the second attempt
		w.next()
		if _, err := io.ReadFull(w, make([]byte, 2)); err != nil {
			t.Error(err)
		}
		close(secondStarted)
		<-closeConn
	}, func(w *fakeWorker) {
		a := w.next().(*workerrpc.Attempt)
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID})
		w.discardRest()
	})
	_, first := sendAttempt(client, "sent")
	_, second := sendAttempt(client, "writing")
	_, third := sendAttempt(client, "waiting")
	<-secondStarted
	client.Stop(20 * time.Millisecond)
	wantOutcome(t, third, workerrpc.StatusUnsent, true)
	_, fourth := sendAttempt(client, "too late")
	if o := wantOutcome(t, fourth, workerrpc.StatusUnsent, true); !errors.Is(o.Err, workerrpc.ErrStopped) {
		t.Error(o.Err)
	}
	wantOutcome(t, first, workerrpc.StatusConnectionLost, false)
	wantOutcome(t, second, workerrpc.StatusConnectionLost, false)
	close(closeConn)
	client.Resume()
	_, fifth := sendAttempt(client, "back")
	wantOutcome(t, fifth, workerrpc.StatusAnswered, false)
	client.NotifyDraining()
}

// A cancel races with the attempt's result: the attempt ends with StatusCancelled once the cancel message is written.
// The result that arrives later must be counted as late and must not become a second outcome.
func TestCancelRacesWithResult(t *testing.T) {
	bothReceived, cancelled := make(chan struct{}), make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) {
		a := w.next().(*workerrpc.Attempt)
		b := w.next().(*workerrpc.Attempt)
		close(bothReceived)
		if cancel, ok := w.next().(*workerrpc.Cancel); !ok || cancel.Seq != a.Seq {
			t.Error("the cancel message of the first attempt was not received")
		}
		<-cancelled
		w.send(&workerrpc.AttemptResult{Seq: a.Seq, RequestID: a.RequestID})
		w.send(&workerrpc.AttemptResult{Seq: b.Seq, RequestID: b.RequestID, Code: workerrpc.CodeNotStarted})
		w.discardRest()
	})
	call, first := sendAttempt(client, "a")
	_, second := sendAttempt(client, "b")
	<-bothReceived
	call.Cancel()
	wantOutcome(t, first, workerrpc.StatusCancelled, false)
	close(cancelled)
	wantOutcome(t, second, workerrpc.StatusAnswered, true)
	call.Cancel()
	if counts := client.Counts(); len(first) != 0 || counts.LateResponses != 1 || counts.UnmatchedResponses != 0 {
		t.Errorf("%d further outcomes of the cancelled attempt; counts %+v", len(first), counts)
	}
	client.NotifyDraining()
}

// While a worker does not read, the number and bytes of queued attempts must stay within the limits. Attempts beyond
// them must end with StatusUnsent at once.
func TestQueueIsBoundedWhileWorkerDoesNotRead(t *testing.T) {
	closeConn := make(chan struct{})
	client := startClient(t, limits, func(w *fakeWorker) { <-closeConn })
	var calls []<-chan workerrpc.Outcome
	for i := range 40 {
		_, outcomes := sendAttempt(client, fmt.Sprint(i))
		calls = append(calls, outcomes)
	}
	full := 0
	for range 40 - limits.MaxQueuedCalls - 1 {
		for _, outcomes := range calls {
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
		t.Errorf("%d of 40 attempts were rejected; at most %d may be queued", full, limits.MaxQueuedCalls)
	}
	bigOutcomes := make(chan workerrpc.Outcome, 1)
	big := workerrpc.Attempt{RequestID: "big", Body: make([]byte, limits.MaxQueuedBytes+1)}
	client.Send(big, time.Minute, func(o workerrpc.Outcome) { bigOutcomes <- o })
	wantOutcome(t, bigOutcomes, workerrpc.StatusUnsent, true)
	close(closeConn)
}

// Invalid frames must be rejected with an error that states the reason, and before memory for the announced length is
// allocated.
func TestInvalidFrames(t *testing.T) {
	nested := append([]byte{byte(workerrpc.KindAttemptResult)}, bytes.Repeat([]byte{0x81}, 5000)...)
	for _, c := range []struct {
		name, want string
		frame      []byte
	}{
		{"length of 4 GiB", "4294967295 bytes", binary.BigEndian.AppendUint32(nil, 1<<32-1)},
		{"zero length", "0 bytes", make([]byte, 4)},
		{"nested too deeply", "nested level", append(binary.BigEndian.AppendUint32(nil, uint32(len(nested))), nested...)},
		{"unknown kind", "unknown kind 99", []byte{0, 0, 0, 2, 99, 0xa0}},
		{"duplicate key", "duplicate", []byte{0, 0, 0, 6, byte(workerrpc.KindProbe), 0xa2, 1, 1, 1, 2}},
		{"truncated body", "unexpected EOF", []byte{0, 0, 0, 9, byte(workerrpc.KindProbe), 0xa1}},
	} {
		_, err := workerrpc.NewFrameReader(bytes.NewReader(c.frame), workerrpc.MaxFrame).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %s", c.name, err, c.want)
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
				t.Fatalf("a decoded body can't be encoded again: %v", err)
			}
		}
	})
}
