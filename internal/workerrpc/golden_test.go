package workerrpc_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/workerrpc"
)

// golden reads testdata/golden/NAME.hex: hexadecimal digits, split by any white space.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return b
}

// sameBytes compares encoded bytes and shows both in hexadecimal.
func sameBytes(t *testing.T, name string, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Errorf("%s: bytes differ\n got %x\nwant %x", name, got, want)
	}
}

// started is a time with nanoseconds, in a zone other than UTC.
var started = time.Date(2021, 3, 4, 5, 6, 7, 89, time.FixedZone("", 2*60*60))

func fullReport() *workerrpc.LoadReport {
	return &workerrpc.LoadReport{QueueDepth: 41, Running: 42, CPUUtilization: 0.4375, MemoryBytes: 1 << 33,
		ColdStartRate: 0.1}
}

// goldenFrame is a message, its kind on the wire and the name of the file with its bytes.
type goldenFrame struct {
	name string
	kind byte
	body any
}

// goldenFrames are messages of every kind: with every field set to a distinct value, and with all fields zero.
func goldenFrames() []goldenFrame {
	return []goldenFrame{
		{"hello-full", 1, &workerrpc.Handshake{Version: 1, Name: "w-1", Started: started, MaxAttempts: 64, MaxFrame: 16777216,
			InterruptedLoads: []workerrpc.InterruptedLoad{
				{Function: "resize", Version: "v7", Requests: []workerrpc.InterruptedRequest{
					{RequestID: "e-1", MayHaveRun: true}, {RequestID: "e-2"}}},
				{Function: "thumb", Version: "v8"}},
			WarmUpTime: 1234567890 * time.Nanosecond}},
		{"hello-empty", 1, &workerrpc.Handshake{}},
		{"launch-full", 2, &workerrpc.Attempt{Seq: 11, RequestID: "e-12", Number: 13, Function: "f-14", Type: "t-15",
			Tenant: "n-16", IdempotencyKey: "k-17", DedupWindow: 18 * time.Second, TimeLeft: 19 * time.Millisecond,
			ClientRequestID: "c-20", Body: []byte{0, 21, 255}}},
		{"launch-empty", 2, &workerrpc.Attempt{}},
		{"answer-full", 3, &workerrpc.AttemptResult{Seq: 31, RequestID: "e-32", Code: workerrpc.CodeCancelled,
			ReplicaState: workerrpc.ReplicaLoadFailed, ConcurrentRequests: 35,
			CPUTime: 36 * time.Microsecond, Report: fullReport(), Deduplicated: true, Reason: "r-39", Body: []byte("b-40")}},
		{"answer-empty", 3, &workerrpc.AttemptResult{}},
		{"cancel-full", 4, &workerrpc.Cancel{Seq: 1 << 40}},
		{"cancel-empty", 4, &workerrpc.Cancel{}},
		{"order-full", 5, &workerrpc.LoadRequest{Seq: 51, Function: "f-52", Replicas: 53}},
		{"order-empty", 5, &workerrpc.LoadRequest{}},
		{"ordered-full", 6, &workerrpc.LoadResult{Seq: 61, Code: workerrpc.CodeNotFound, Replicas: 63, Reason: "r-64"}},
		{"ordered-empty", 6, &workerrpc.LoadResult{}},
		{"probe-full", 7, &workerrpc.Probe{Seq: 71}},
		{"probe-empty", 7, &workerrpc.Probe{}},
		{"echo-full", 8, &workerrpc.ProbeReply{Seq: 81, Report: fullReport()}},
		{"echo-empty", 8, &workerrpc.ProbeReply{}},
		{"goodbye-full", 9, &workerrpc.DrainNotice{Reason: "r-91"}},
		{"goodbye-empty", 9, &workerrpc.DrainNotice{}},
	}
}

// TestGoldenFrames: each message encodes to the bytes on file, and those bytes decode to the message.
func TestGoldenFrames(t *testing.T) {
	for _, f := range goldenFrames() {
		t.Run(f.name, func(t *testing.T) {
			got, err := workerrpc.AppendFrame(nil, f.body)
			if err != nil {
				t.Fatal(err)
			}
			want := golden(t, f.name)
			sameBytes(t, f.name, got, want)
			if len(want) < 6 || int(binary.BigEndian.Uint32(want)) != len(want)-4 || want[4] != f.kind {
				t.Fatalf("file %s: header %x does not tell its length %d and kind %d", f.name, want, len(want)-4, f.kind)
			}
			back, err := workerrpc.NewFrameReader(bytes.NewReader(want), len(want)-4).Next()
			if err != nil {
				t.Fatal(err)
			}
			if h, is := back.(*workerrpc.Handshake); is {
				if exp := f.body.(*workerrpc.Handshake); !h.Started.Equal(exp.Started) {
					t.Errorf("%s: started got %v, want %v", f.name, h.Started, exp.Started)
				} else {
					h.Started = exp.Started // the same moment, perhaps of another zone
				}
			}
			if !reflect.DeepEqual(back, f.body) {
				t.Errorf("%s: decoded\n got %+v\nwant %+v", f.name, back, f.body)
			}
		})
	}
}

// TestGoldenCodes: the numbers of the codes, of the replica states and of the kinds, and which codes say that the
// attempt never ran.
func TestGoldenCodes(t *testing.T) {
	for i, c := range []workerrpc.Code{workerrpc.CodeOK, workerrpc.CodeFailed, workerrpc.CodeOverloaded,
		workerrpc.CodeNotFound, workerrpc.CodeNotStarted, workerrpc.CodeCancelled} {
		if int(c) != i {
			t.Errorf("code: got %d, want %d", c, i)
		}
		if got, want := c.NeverRan(), i >= 2 && i <= 4; got != want {
			t.Errorf("code %d: never ran got %v, want %v", i, got, want)
		}
	}
	for i, w := range []workerrpc.ReplicaState{workerrpc.ReplicaStateUnknown, workerrpc.ReplicaWarm,
		workerrpc.ReplicaLoadStarted, workerrpc.ReplicaLoadAwaited, workerrpc.ReplicaLoadFailed} {
		if int(w) != i {
			t.Errorf("warmth: got %d, want %d", w, i)
		}
	}
	for i, k := range []workerrpc.Kind{workerrpc.KindHandshake, workerrpc.KindAttempt, workerrpc.KindAttemptResult,
		workerrpc.KindCancel, workerrpc.KindLoadRequest,
		workerrpc.KindLoadResult, workerrpc.KindProbe, workerrpc.KindProbeReply, workerrpc.KindDrainNotice} {
		if int(k) != i+1 {
			t.Errorf("kind: got %d, want %d", k, i+1)
		}
	}
	if workerrpc.ProtocolVersion != 1 || workerrpc.MaxFrame != 16777216 {
		t.Errorf("version, longest frame: got %d, %d, want 1, 16777216", workerrpc.ProtocolVersion, workerrpc.MaxFrame)
	}
}

// TestGoldenInvalidFrames: frames that are not of the protocol, and one with a field that this version does not know.
func TestGoldenInvalidFrames(t *testing.T) {
	for name, text := range map[string]string{
		"no length":              "00000000",
		"over the limit":         "01000001",
		"kind 0":                 "0000000200a0",
		"kind 10":                "000000020aa0",
		"no body":                "0000000104",
		"not a map":              "00000003048101",
		"a key twice":            "0000000604a201010102",
		"map of indefinite size": "0000000504bf0101ff",
		"bytes after the body":   "0000000504a1010100",
	} {
		raw, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		body, err := workerrpc.NewFrameReader(bytes.NewReader(raw), workerrpc.MaxFrame).Next()
		if !errors.Is(err, workerrpc.ErrProtocol) {
			t.Errorf("%s (%s): got %+v, %v, want %v", name, text, body, err, workerrpc.ErrProtocol)
		}
	}
	raw, err := hex.DecodeString("0000000704a20107186301") // cancel, 1: 7, 99: 1
	if err != nil {
		t.Fatal(err)
	}
	body, err := workerrpc.NewFrameReader(bytes.NewReader(raw), workerrpc.MaxFrame).Next()
	if want := (&workerrpc.Cancel{Seq: 7}); err != nil || !reflect.DeepEqual(body, want) {
		t.Errorf("unknown field: got %+v, %v, want %+v", body, err, want)
	}
}

// deadline bounds every exchange on a real connection; it is reached only where the test fails.
const deadline = 20 * time.Second

// expect reads as many bytes as are wanted and compares them.
func expect(t *testing.T, conn net.Conn, name string, want []byte) {
	t.Helper()
	got := make([]byte, len(want))
	n, err := io.ReadFull(conn, got)
	if err != nil {
		t.Fatalf("%s: %v after %x, want %x", name, err, got[:n], want)
	}
	sameBytes(t, name, got, want)
}

func send(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
}

// goldenHandler answers an attempt with an idempotency key at once and any other when it is cancelled.
type goldenHandler struct{ got chan any }

func (h goldenHandler) HandleAttempt(gateway string, l *workerrpc.Attempt,
	reply func(*workerrpc.AttemptResult)) func() {
	h.got <- l
	if l.IdempotencyKey == "" {
		return func() {
			reply(&workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "cancelled by " + gateway})
		}
	}
	// The server sets the sequence number and the request's id.
	reply(&workerrpc.AttemptResult{Seq: 1, RequestID: "other", Code: workerrpc.CodeOK, Body: []byte("ok")})
	return nil
}

func (h goldenHandler) HandleLoadRequest(_ string, o *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	h.got <- o
	reply(&workerrpc.LoadResult{Seq: 9, Replicas: o.Replicas})
}

func (h goldenHandler) LoadReport() *workerrpc.LoadReport { return fullReport() }

// TestGoldenServer: a worker's bytes on a connection, for each message that a gateway sends.
func TestGoldenServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := goldenHandler{got: make(chan any, 4)}
	handshake := workerrpc.Handshake{Name: "w-1", Started: started, MaxAttempts: 8, WarmUpTime: 5}
	s := &workerrpc.Server{Handshake: handshake, Handler: h}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, listener) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("serve: got %v, want nil", err)
		}
	}()
	dial := func() net.Conn {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), deadline)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	conn := dial()
	defer conn.Close()
	send(t, conn, golden(t, "peer-hello"))
	expect(t, conn, "server-hello", golden(t, "server-hello"))
	send(t, conn, golden(t, "launch-full"))
	expect(t, conn, "server-answer", golden(t, "server-answer"))
	send(t, conn, golden(t, "launch-empty"))
	send(t, conn, golden(t, "cancel-empty"))
	// The server may read the cancel only after it knows how to cancel, as it reads one frame at a time.
	expect(t, conn, "server-cancelled", golden(t, "server-cancelled"))
	send(t, conn, golden(t, "order-full"))
	expect(t, conn, "server-ordered", golden(t, "server-ordered"))
	send(t, conn, golden(t, "probe-full"))
	reply := golden(t, "echo-full") // of call 81; the probe is call 71
	reply[bytes.Index(reply, []byte{0x18, 81})+1] = 71
	expect(t, conn, "server-echo", reply)
	s.NotifyDraining("r-91")
	expect(t, conn, "server-goodbye", golden(t, "goodbye-full"))
	for i, want := range []any{goldenFrames()[2].body, goldenFrames()[3].body,
		&workerrpc.LoadRequest{Seq: 51, Function: "f-52", Replicas: 53}} {
		if got := <-h.got; !reflect.DeepEqual(got, want) {
			t.Errorf("handler's call %d:\n got %+v\nwant %+v", i, got, want)
		}
	}
	send(t, conn, golden(t, "goodbye-empty"))
	if b, err := io.ReadAll(conn); err != nil || len(b) != 0 {
		t.Errorf("after goodbye: got %x, %v, want the end", b, err)
	}
}

// receiveOutcome returns the outcome of a call.
func receiveOutcome(t *testing.T, c chan workerrpc.Outcome) workerrpc.Outcome {
	t.Helper()
	select {
	case o := <-c:
		return o
	case <-time.After(deadline):
		t.Fatal("no outcome")
		return workerrpc.Outcome{}
	}
}

// TestGoldenClient: a gateway's bytes on a connection. The time left of an attempt depends on the clock, so that
// one attempt has a deadline that is past (0 on the wire).
func TestGoldenClient(t *testing.T) {
	here, there := net.Pipe()
	if err := there.SetDeadline(time.Now().Add(deadline)); err != nil {
		t.Fatal(err)
	}
	p := workerrpc.NewClient("front-1", "w-1", "addr", workerrpc.Limits{DialTimeout: deadline, QueueTimeout: deadline,
		WriteTimeout: deadline, MaxQueuedCalls: 8, MaxQueuedBytes: 1 << 20},
		func(context.Context, string) (net.Conn, error) { return here, nil })
	greeted := make(chan *workerrpc.Handshake, 1)
	p.OnHandshake = func(h *workerrpc.Handshake) { greeted <- h }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	}()
	outcomes := make(chan workerrpc.Outcome, 1)
	done := func(o workerrpc.Outcome) { outcomes <- o }

	p.Probe(done)
	expect(t, there, "peer-hello", golden(t, "peer-hello"))
	send(t, there, golden(t, "hello-full"))
	expect(t, there, "peer-probe", []byte{0, 0, 0, 4, 7, 0xa1, 1, 1})
	reply := golden(t, "echo-full") // of call 81; the probe is call 1
	reply = bytes.Replace(reply, []byte{0x18, 81}, []byte{1}, 1)
	reply[3]--
	send(t, there, reply)
	wantReply := &workerrpc.ProbeReply{Seq: 1, Report: fullReport()}
	o := receiveOutcome(t, outcomes)
	if o.Status != workerrpc.StatusAnswered || !reflect.DeepEqual(o.ProbeReply, wantReply) {
		t.Errorf("probe: got %+v, want answered, %+v", o, wantReply)
	}
	if h := <-greeted; h.Name != "w-1" || h.MaxAttempts != 64 || !h.Started.Equal(started) ||
		len(h.InterruptedLoads) != 2 {
		t.Errorf("hello: got %+v, want that of hello-full", h)
	}

	p.Load(workerrpc.LoadRequest{Seq: 99, Function: "f-52", Replicas: 53}, done)
	expect(t, there, "peer-order", golden(t, "peer-order"))
	send(t, there, []byte{0, 0, 0, 8, 6, 0xa3, 1, 2, 2, 3, 3, 4})
	wantLoad := &workerrpc.LoadResult{Seq: 2, Code: workerrpc.CodeNotFound, Replicas: 4}
	o = receiveOutcome(t, outcomes)
	if o.Status != workerrpc.StatusAnswered || !reflect.DeepEqual(o.LoadResult, wantLoad) {
		t.Errorf("load request: got %+v, want answered, %+v", o, wantLoad)
	}

	full := *goldenFrames()[2].body.(*workerrpc.Attempt)
	p.Send(full, 0, done)
	expect(t, there, "peer-launch", golden(t, "peer-launch"))
	send(t, there, []byte{0, 0, 0, 12, 3, 0xa3, 1, 3, 2, 0x64, 'e', '-', '1', '2', 3, 2})
	wantResult := &workerrpc.AttemptResult{Seq: 3, RequestID: "e-12", Code: workerrpc.CodeOverloaded}
	if o := receiveOutcome(t, outcomes); !o.NeverRan() || !reflect.DeepEqual(o.AttemptResult, wantResult) {
		t.Errorf("attempt: got %+v, want never ran, %+v", o, wantResult)
	}

	c := p.Send(workerrpc.Attempt{RequestID: "e-2"}, 0, done)
	expect(t, there, "peer-launch-short", golden(t, "peer-launch-short"))
	c.Cancel()
	expect(t, there, "peer-cancel", []byte{0, 0, 0, 4, 4, 0xa1, 1, 4})
	if o := receiveOutcome(t, outcomes); o.Status != workerrpc.StatusCancelled || o.NeverRan() {
		t.Errorf("recalled launch: got %+v, want recalled, may have run", o)
	}
	p.NotifyDraining()
	expect(t, there, "peer-goodbye", golden(t, "peer-goodbye"))
}
