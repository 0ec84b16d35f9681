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

// golden returns the bytes in testdata/golden/NAME.hex, which has hexadecimal digits and white space.
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

// sameBytes reports an error with both values in hexadecimal if the bytes differ.
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

// goldenFrame is a message with its kind on the wire and the name of the golden file with its encoding. The file names
// differ from the types' names, such as hello for a Handshake, launch for an Attempt and order for a LoadRequest.
type goldenFrame struct {
	name string
	kind byte
	body any
}

// goldenFrames returns two messages of each kind: one with a distinct value in every field and one with all fields
// zero.
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
		{"launch-retry", 2, &workerrpc.Attempt{Seq: 92, RequestID: "e-93", Number: 1, IdempotencyKey: "k-94",
			DedupWindow: 95 * time.Second, StartWithin: 96 * time.Millisecond}},
	}
}

// Each message must encode to the bytes of its golden file, and those bytes must decode to the message. A difference
// would break gateways and workers of other versions.
func TestGoldenFrames(t *testing.T) {
	for _, frame := range goldenFrames() {
		t.Run(frame.name, func(t *testing.T) {
			got, err := workerrpc.AppendFrame(nil, frame.body)
			if err != nil {
				t.Fatal(err)
			}
			want := golden(t, frame.name)
			sameBytes(t, frame.name, got, want)
			if len(want) < 6 || int(binary.BigEndian.Uint32(want)) != len(want)-4 || want[4] != frame.kind {
				t.Fatalf("file %s: header %x does not state length %d and kind %d", frame.name, want, len(want)-4, frame.kind)
			}
			decoded, err := workerrpc.NewFrameReader(bytes.NewReader(want), len(want)-4).Next()
			if err != nil {
				t.Fatal(err)
			}
			if h, is := decoded.(*workerrpc.Handshake); is {
				if wantHandshake := frame.body.(*workerrpc.Handshake); !h.Started.Equal(wantHandshake.Started) {
					t.Errorf("%s: started got %v, want %v", frame.name, h.Started, wantHandshake.Started)
				} else {
					h.Started = wantHandshake.Started // equal times, possibly in different time zones
				}
			}
			if !reflect.DeepEqual(decoded, frame.body) {
				t.Errorf("%s: decoded\n got %+v\nwant %+v", frame.name, decoded, frame.body)
			}
		})
	}
}

// The numbers of codes, replica states and kinds are on the wire and must not change, and neither may the codes for
// which an attempt never ran.
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
			t.Errorf("replica state: got %d, want %d", w, i)
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
		t.Errorf("protocol version, longest frame: got %d, %d, want 1, 16777216", workerrpc.ProtocolVersion,
			workerrpc.MaxFrame)
	}
}

// Frames that violate the protocol must be rejected. A field that this version does not know must be ignored, so that
// later versions can add fields.
func TestGoldenInvalidFrames(t *testing.T) {
	for name, text := range map[string]string{
		"zero length":           "00000000",
		"over the limit":        "01000001",
		"kind 0":                "0000000200a0",
		"kind 10":               "000000020aa0",
		"missing body":          "0000000104",
		"not a map":             "00000003048101",
		"duplicate key":         "0000000604a201010102",
		"indefinite-length map": "0000000504bf0101ff",
		"bytes after the body":  "0000000504a1010100",
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
	raw, err := hex.DecodeString("0000000704a20107186301") // a Cancel with key 1: 7 and key 99: 1
	if err != nil {
		t.Fatal(err)
	}
	body, err := workerrpc.NewFrameReader(bytes.NewReader(raw), workerrpc.MaxFrame).Next()
	if want := (&workerrpc.Cancel{Seq: 7}); err != nil || !reflect.DeepEqual(body, want) {
		t.Errorf("unknown field: got %+v, %v, want %+v", body, err, want)
	}
}

// ioTimeout is the timeout of all I/O on real connections. It is reached only if a test fails.
const ioTimeout = 20 * time.Second

// expect reads len(want) bytes from a connection and compares them with want.
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

// goldenHandler answers attempts with an idempotency key at once, and other attempts when they are cancelled.
type goldenHandler struct{ received chan any }

func (h goldenHandler) HandleAttempt(gateway string, attempt *workerrpc.Attempt,
	reply func(*workerrpc.AttemptResult)) func() {
	h.received <- attempt
	if attempt.IdempotencyKey == "" {
		return func() {
			reply(&workerrpc.AttemptResult{Code: workerrpc.CodeNotStarted, Reason: "cancelled by " + gateway})
		}
	}
	// The server must replace the sequence number and the request ID.
	reply(&workerrpc.AttemptResult{Seq: 1, RequestID: "other", Code: workerrpc.CodeOK, Body: []byte("ok")})
	return nil
}

func (h goldenHandler) HandleLoadRequest(_ string, request *workerrpc.LoadRequest, reply func(*workerrpc.LoadResult)) {
	h.received <- request
	reply(&workerrpc.LoadResult{Seq: 9, Replicas: request.Replicas})
}

func (h goldenHandler) LoadReport() *workerrpc.LoadReport { return fullReport() }

// A server must answer each kind of message that a gateway sends with the bytes of the golden files.
func TestGoldenServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	h := goldenHandler{received: make(chan any, 4)}
	handshake := workerrpc.Handshake{Name: "w-1", Started: started, MaxAttempts: 8, WarmUpTime: 5}
	server := &workerrpc.Server{Handshake: handshake, Handler: h}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("serve: got %v, want nil", err)
		}
	}()
	dial := func() net.Conn {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), ioTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
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
	// The server reads one frame at a time, so that it has the attempt's cancel function before it reads the cancel.
	expect(t, conn, "server-cancelled", golden(t, "server-cancelled"))
	send(t, conn, golden(t, "order-full"))
	expect(t, conn, "server-ordered", golden(t, "server-ordered"))
	send(t, conn, golden(t, "probe-full"))
	reply := golden(t, "echo-full") // has sequence number 81; the probe has 71
	reply[bytes.Index(reply, []byte{0x18, 81})+1] = 71
	expect(t, conn, "server-echo", reply)
	server.NotifyDraining("r-91")
	expect(t, conn, "server-goodbye", golden(t, "goodbye-full"))
	for i, want := range []any{goldenFrames()[2].body, goldenFrames()[3].body,
		&workerrpc.LoadRequest{Seq: 51, Function: "f-52", Replicas: 53}} {
		if got := <-h.received; !reflect.DeepEqual(got, want) {
			t.Errorf("call %d of the handler:\n got %+v\nwant %+v", i, got, want)
		}
	}
	send(t, conn, golden(t, "goodbye-empty"))
	if b, err := io.ReadAll(conn); err != nil || len(b) != 0 {
		t.Errorf("after the drain notice: got %x, %v, want the end of the connection", b, err)
	}
}

// receiveOutcome waits for the outcome of a call and returns it.
func receiveOutcome(t *testing.T, c chan workerrpc.Outcome) workerrpc.Outcome {
	t.Helper()
	select {
	case o := <-c:
		return o
	case <-time.After(ioTimeout):
		t.Fatal("no outcome")
		return workerrpc.Outcome{}
	}
}

// A client must send the bytes of the golden files. As an attempt's TimeLeft depends on the clock, the deadlines of the
// attempts have passed, so that TimeLeft is 0 on the wire.
func TestGoldenClient(t *testing.T) {
	gatewayConn, workerConn := net.Pipe()
	if err := workerConn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		t.Fatal(err)
	}
	client := workerrpc.NewClient("front-1", "w-1", "addr", workerrpc.Limits{DialTimeout: ioTimeout,
		QueueTimeout: ioTimeout, WriteTimeout: ioTimeout, MaxQueuedCalls: 8, MaxQueuedBytes: 1 << 20},
		func(context.Context, string) (net.Conn, error) { return gatewayConn, nil })
	handshakes := make(chan *workerrpc.Handshake, 1)
	client.OnHandshake = func(h *workerrpc.Handshake) { handshakes <- h }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	}()
	outcomes := make(chan workerrpc.Outcome, 1)
	done := func(o workerrpc.Outcome) { outcomes <- o }

	client.Probe(done)
	expect(t, workerConn, "peer-hello", golden(t, "peer-hello"))
	send(t, workerConn, golden(t, "hello-full"))
	expect(t, workerConn, "peer-probe", []byte{0, 0, 0, 4, 7, 0xa1, 1, 1})
	reply := golden(t, "echo-full") // has sequence number 81; the probe has 1
	reply = bytes.Replace(reply, []byte{0x18, 81}, []byte{1}, 1)
	reply[3]--
	send(t, workerConn, reply)
	wantReply := &workerrpc.ProbeReply{Seq: 1, Report: fullReport()}
	o := receiveOutcome(t, outcomes)
	if o.Status != workerrpc.StatusAnswered || !reflect.DeepEqual(o.ProbeReply, wantReply) {
		t.Errorf("probe: got %+v, want answered with %+v", o, wantReply)
	}
	if h := <-handshakes; h.Name != "w-1" || h.MaxAttempts != 64 || !h.Started.Equal(started) ||
		len(h.InterruptedLoads) != 2 {
		t.Errorf("handshake: got %+v, want that of hello-full", h)
	}

	client.Load(workerrpc.LoadRequest{Seq: 99, Function: "f-52", Replicas: 53}, done)
	expect(t, workerConn, "peer-order", golden(t, "peer-order"))
	send(t, workerConn, []byte{0, 0, 0, 8, 6, 0xa3, 1, 2, 2, 3, 3, 4})
	wantLoad := &workerrpc.LoadResult{Seq: 2, Code: workerrpc.CodeNotFound, Replicas: 4}
	o = receiveOutcome(t, outcomes)
	if o.Status != workerrpc.StatusAnswered || !reflect.DeepEqual(o.LoadResult, wantLoad) {
		t.Errorf("load request: got %+v, want answered with %+v", o, wantLoad)
	}

	attempt := *goldenFrames()[2].body.(*workerrpc.Attempt)
	client.Send(attempt, 0, done)
	expect(t, workerConn, "peer-launch", golden(t, "peer-launch"))
	send(t, workerConn, []byte{0, 0, 0, 12, 3, 0xa3, 1, 3, 2, 0x64, 'e', '-', '1', '2', 3, 2})
	wantResult := &workerrpc.AttemptResult{Seq: 3, RequestID: "e-12", Code: workerrpc.CodeOverloaded}
	if o := receiveOutcome(t, outcomes); !o.NeverRan() || !reflect.DeepEqual(o.AttemptResult, wantResult) {
		t.Errorf("attempt: got %+v, want never ran with %+v", o, wantResult)
	}

	call := client.Send(workerrpc.Attempt{RequestID: "e-2"}, 0, done)
	expect(t, workerConn, "peer-launch-short", golden(t, "peer-launch-short"))
	call.Cancel()
	expect(t, workerConn, "peer-cancel", []byte{0, 0, 0, 4, 4, 0xa1, 1, 4})
	if o := receiveOutcome(t, outcomes); o.Status != workerrpc.StatusCancelled || o.NeverRan() {
		t.Errorf("cancelled attempt: got %+v, want cancelled, may have run", o)
	}
	client.NotifyDraining()
	expect(t, workerConn, "peer-goodbye", golden(t, "peer-goodbye"))
}
