package thrift_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/gateway/thrift"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callFrame returns the frame of a call with a map and a binary.
func callFrame(seq int32, id string) []byte {
	w := thrift.NewWriter("ask", thrift.Call, seq)
	w.StringMap(1, "id", id)
	w.Binary(2, []byte("body"))
	return w.Frame()
}

func replyFrame(seq int32, text string) []byte {
	w := thrift.NewWriter("ask", thrift.Reply, seq)
	w.Binary(0, []byte(text))
	return w.Frame()
}

// Parse and ReadArgs must decode the message that a Writer has encoded.
func TestRoundTrip(t *testing.T) {
	frame := callFrame(7, "e")
	if n := binary.BigEndian.Uint32(frame); int(n) != len(frame)-4 {
		t.Errorf("the frame states the length %d, want %d", n, len(frame)-4)
	}
	m, err := thrift.Parse(frame[4:])
	if err != nil || m.Name != "ask" || m.SeqID != 7 || m.Type != thrift.Call {
		t.Fatal(m, err)
	}
	args, err := thrift.ReadArgs(m.Args)
	if err != nil || args.StringMaps[1]["id"] != "e" || string(args.Binaries[2]) != "body" {
		t.Error(args, err)
	}
}

// A message with a wrong length or count must be malformed, and so must one that is truncated at any byte. A decoder
// that trusts a length could be made to allocate large amounts of memory.
func TestMalformed(t *testing.T) {
	frame := callFrame(1, "e")[4:]
	for n := range len(frame) {
		m, err := thrift.Parse(frame[:n])
		if err == nil {
			_, err = thrift.ReadArgs(m.Args)
		}
		if err == nil {
			t.Errorf("a message truncated to %d of %d bytes is accepted", n, len(frame))
		}
	}
	for name, args := range map[string]string{
		"negative length": "\x0b\x00\x02\xff\xff\xff\xff\x00",
		"huge length":     "\x0b\x00\x02\x7f\xff\xff\xff\x00",
		"huge map":        "\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff\x00",
		"map of integers": "\x0d\x00\x01\x08\x08\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x01\x00",
		"key twice": "\x0d\x00\x01\x0b\x0b\x00\x00\x00\x02" +
			"\x00\x00\x00\x01a\x00\x00\x00\x00" + "\x00\x00\x00\x01a\x00\x00\x00\x00" + "\x00",
		"unknown type":     "\x63\x00\x01\x00",
		"nested too deep":  strings.Repeat("\x0c\x00\x01", 64) + strings.Repeat("\x00", 65),
		"huge list":        "\x0f\x00\x05\x02\x7f\xff\xff\xff\x00",
		"more after it":    "\x00\x00",
		"too many, no end": strings.Repeat("\x02\x00\x01\x01", 1000),
	} {
		if _, err := thrift.ReadArgs([]byte(args)); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	args, err := thrift.ReadArgs([]byte("\x0f\x00\x09\x08\x00\x00\x00\x02\x00\x00\x00\x01\x00\x00\x00\x02" +
		"\x08\x00\x01\x00\x00\x00\x05" + "\x00"))
	if err != nil || args.Ints[1] != 5 {
		t.Error("an unknown field is not skipped", args, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(callFrame(1, "e")[4:])
	f.Add(thrift.EncodeException("ask", 2, thrift.ProtocolError, "why")[4:])
	f.Add([]byte("\x80\x01\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := thrift.Parse(b)
		if err != nil {
			return
		}
		a, err := thrift.ReadArgs(m.Args)
		if err == nil && len(m.Args) == 0 {
			t.Error("arguments without an end are accepted:", a)
		}
	})
}

var limits = thrift.Limits{
	MaxFrameBytes:    256,
	MaxOpenCalls:     2,
	MaxConns:         3,
	MessageTimeout:   time.Minute,
	IdleTimeout:      time.Minute,
	WriteTimeout:     time.Minute,
	FinalReadTimeout: 30 * time.Millisecond,
}

// testServer is a server that passes its calls and their cancellations to the test.
type testServer struct {
	*thrift.Server
	addr      string
	calls     chan func() (*thrift.Conn, thrift.Message) // received calls
	cancelled chan int32                                 // sequence IDs of cancelled calls
}

func serve(t *testing.T, limits thrift.Limits) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		addr:      listener.Addr().String(),
		calls:     make(chan func() (*thrift.Conn, thrift.Message), 100),
		cancelled: make(chan int32, 100),
	}
	s.Server = thrift.NewServer(listener, limits, func(c *thrift.Conn, m thrift.Message) {
		if m.Type == thrift.Oneway {
			args, _ := thrift.ReadArgs(m.Args)
			c.CancelCall(args.Ints[1])
			return
		}
		if !c.BeginCall(m.SeqID, func() { s.cancelled <- m.SeqID }) {
			c.Send(thrift.EncodeException(m.Name, m.SeqID, thrift.BadSequenceID, "no"))
			c.Close()
			return
		}
		s.calls <- func() (*thrift.Conn, thrift.Message) { return c, m }
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func write(t *testing.T, conn net.Conn, b ...[]byte) {
	t.Helper()
	if _, err := conn.Write(bytes.Join(b, nil)); err != nil {
		t.Fatal(err)
	}
}

func readReply(t *testing.T, conn net.Conn) thrift.Message {
	t.Helper()
	var head [4]byte
	_, err := io.ReadFull(conn, head[:])
	frame := make([]byte, binary.BigEndian.Uint32(head[:]))
	if err == nil {
		_, err = io.ReadFull(conn, frame)
	}
	m, perr := thrift.Parse(frame)
	if err != nil || perr != nil {
		t.Fatal(err, perr)
	}
	return m
}

// expectClosed checks that the server closes or resets the connection.
func expectClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Error("the connection was not closed within 30 s")
	}
}

// Calls may be answered in any order. A call must not be answered twice or after it was cancelled.
func TestReplies(t *testing.T) {
	s := serve(t, limits)
	conn := dial(t, s.addr)
	write(t, conn, callFrame(1, "a"), callFrame(2, "b"))
	c, _ := (<-s.calls)()
	<-s.calls
	c.Reply(2, replyFrame(2, "second"))
	if m := readReply(t, conn); m.SeqID != 2 {
		t.Error("want the answer to call 2, got that to", m.SeqID)
	}
	w := thrift.NewWriter("cancel", thrift.Oneway, 0)
	w.I32(1, 1)
	write(t, conn, w.Frame(), callFrame(3, "c"))
	if seq := <-s.cancelled; seq != 1 {
		t.Error("cancelled:", seq)
	}
	<-s.calls
	c.Reply(1, replyFrame(1, "late"))
	c.Reply(2, replyFrame(2, "again"))
	c.Reply(3, replyFrame(3, "third"))
	if m := readReply(t, conn); m.SeqID != 3 || s.OpenCalls() != 0 {
		t.Error("want the answer to call 3 and no open calls, got", m.SeqID, "open", s.OpenCalls())
	}
	write(t, conn, callFrame(4, "d"))
	<-s.calls
	conn.Close()
	if seq := <-s.cancelled; seq != 4 {
		t.Error("want call 4 to be cancelled when the client disconnects, got", seq)
	}
}

// The server must close a connection on which it receives a malformed message, too many open calls or a sequence ID
// that was used before, or no complete message in time.
func TestMisbehavingClients(t *testing.T) {
	short := limits
	short.MessageTimeout = 50 * time.Millisecond
	s := serve(t, short)
	for name, send := range map[string][]byte{
		"silence":         nil,
		"partial request": callFrame(1, "a")[:9],
		"60 MB":           {0x03, 0x93, 0x87, 0x00, 0x80},
		"negative length": {0xff, 0xff, 0xff, 0xff},
		"zero length":     {0, 0, 0, 0},
		"another version": {0, 0, 0, 4, 1, 2, 3, 4},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, s.addr)
			write(t, conn, send)
			expectClosed(t, conn)
		})
	}
	conn := dial(t, s.addr)
	write(t, conn, callFrame(1, "a"), callFrame(1, "b"))
	if m := readReply(t, conn); m.Type != thrift.Exception {
		t.Error("want an exception for the second call with one sequence ID, got", m)
	}
	expectClosed(t, conn)
	conn = dial(t, s.addr)
	write(t, conn, callFrame(1, "a"), callFrame(2, "b"), callFrame(3, "c"))
	expectClosed(t, conn)
	for range 3 {
		<-s.calls
		<-s.cancelled
	}
}

// Connections that have never sent a request must be evicted for new ones. A connection with an open call must not be
// evicted.
func TestUnusedConnectionsAreEvicted(t *testing.T) {
	s := serve(t, limits)
	busy := dial(t, s.addr)
	write(t, busy, callFrame(1, "a"))
	c, _ := (<-s.calls)()
	var last net.Conn
	for range 3 * limits.MaxConns {
		last = dial(t, s.addr)
	}
	write(t, last, callFrame(1, "b"))
	<-s.calls
	if n := s.Connections(); n > limits.MaxConns {
		t.Error(n, "connections")
	}
	c.Reply(1, replyFrame(1, "served"))
	if m := readReply(t, busy); m.Type != thrift.Reply {
		t.Error(m)
	}
}

// A connection must not be evicted while a message of it is being handled, even if no call has been opened yet, as the
// request would not be answered. The new connection is closed instead; a later one is served after the answer.
func TestCallPreventsEviction(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	single := limits
	single.MaxConns = 1
	conns, handle, begun := make(chan *thrift.Conn, 2), make(chan struct{}), make(chan bool, 2)
	s := thrift.NewServer(listener, single, func(c *thrift.Conn, m thrift.Message) {
		conns <- c
		<-handle
		begun <- c.BeginCall(m.SeqID, func() {})
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	conn := dial(t, listener.Addr().String())
	write(t, conn, callFrame(1, "a"))
	c := <-conns
	expectClosed(t, dial(t, listener.Addr().String()))
	close(handle)
	if !<-begun {
		t.Error("BeginCall rejected the first call")
	}
	c.Reply(1, replyFrame(1, "served"))
	if m := readReply(t, conn); m.SeqID != 1 || m.Type != thrift.Reply {
		t.Error(m)
	}
	again := dial(t, listener.Addr().String())
	write(t, again, callFrame(1, "b"))
	c = <-conns
	if !<-begun {
		t.Error("BeginCall rejected the call on the later connection")
	}
	c.Reply(1, replyFrame(1, "served"))
	readReply(t, again)
	expectClosed(t, conn)
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
