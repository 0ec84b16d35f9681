package thrift_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// goldenDispatch is a framed call in the strict binary protocol: method dispatch, sequence ID 7, arguments
// {1: {"id": "a1"}, 2: "body"}.
const goldenDispatch = "\x00\x00\x00\x35" + "\x80\x01\x00\x01" + "\x00\x00\x00\x08dispatch" + "\x00\x00\x00\x07" +
	"\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01" + "\x00\x00\x00\x02id" + "\x00\x00\x00\x02a1" +
	"\x0b\x00\x02\x00\x00\x00\x04body" + "\x00"

// goldenResult, goldenDeclaredException and goldenException are the three kinds of answers: a result struct in field 0,
// an exception struct in field 1, and an application exception.
const (
	goldenResult = "\x00\x00\x00\x31" + "\x80\x01\x00\x02" + "\x00\x00\x00\x08dispatch" + "\x00\x00\x00\x07" +
		"\x0c\x00\x00" + "\x0b\x00\x01\x00\x00\x00\x04done" + "\x0d\x00\x02\x0b\x0b\x00\x00\x00\x00" +
		"\x02\x00\x03\x01" + "\x00" + "\x00"
	goldenDeclaredException = "\x00\x00\x00\x31" + "\x80\x01\x00\x02" + "\x00\x00\x00\x08dispatch" + "\x00\x00\x00\x07" +
		"\x0c\x00\x01" + "\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01" + "\x00\x00\x00\x05after" +
		"\x00\x00\x00\x0212" + "\x00" + "\x00"
	goldenException = "\x00\x00\x00\x26" + "\x80\x01\x00\x03" + "\x00\x00\x00\x08dispatch" + "\x00\x00\x00\x07" +
		"\x0b\x00\x01\x00\x00\x00\x03why" + "\x08\x00\x02\x00\x00\x00\x04" + "\x00"
)

// texts converts binaries to strings, for readable failure messages.
func texts(bins map[int16][]byte) map[int16]string {
	m := map[int16]string{}
	for id, b := range bins {
		m[id] = string(b)
	}
	return m
}

// The writer must produce exactly the golden bytes for each type of value and each type of message.
func TestGoldenFrames(t *testing.T) {
	request := thrift.NewWriter("dispatch", thrift.Call, 7)
	request.StringMap(1, "id", "a1")
	request.Binary(2, []byte("body"))
	result := thrift.NewWriter("dispatch", thrift.Reply, 7)
	result.Struct(0)
	result.Binary(1, []byte("done"))
	result.StringMap(2)
	result.Bool(3, true)
	result.End()
	declared := thrift.NewWriter("dispatch", thrift.Reply, 7)
	declared.Struct(1)
	declared.StringMap(1, "after", "12")
	declared.End()
	oneway := thrift.NewWriter("cancelRequest", thrift.Oneway, -2)
	oneway.I32(1, 7)
	oneway.Bool(2, false)
	for _, c := range []struct {
		name string
		got  []byte
		want string
	}{
		{"request", request.Frame(), goldenDispatch},
		{"result", result.Frame(), goldenResult},
		{"declared exception", declared.Frame(), goldenDeclaredException},
		{"application exception", thrift.EncodeException("dispatch", 7, thrift.BadSequenceID, "why"), goldenException},
		{"oneway", oneway.Frame(), "\x00\x00\x00\x25" + "\x80\x01\x00\x04" + "\x00\x00\x00\x0dcancelRequest" +
			"\xff\xff\xff\xfe" +
			"\x08\x00\x01\x00\x00\x00\x07" + "\x02\x00\x02\x00" + "\x00"},
	} {
		if string(c.got) != c.want {
			t.Errorf("%s:\n got %x\nwant %x", c.name, c.got, c.want)
		}
	}
	codes := fmt.Sprint(thrift.UnknownMethod, thrift.BadSequenceID, thrift.InternalError, thrift.ProtocolError)
	if codes != "1 4 6 7" {
		t.Errorf("codes of application exceptions: got %s, want 1 4 6 7", codes)
	}
}

// The golden requests and answers must be decoded to the expected values.
func TestGoldenDecoding(t *testing.T) {
	m, err := thrift.Parse([]byte(goldenDispatch[4:]))
	got := fmt.Sprintf("%s %d %d %v", m.Name, m.Type, m.SeqID, err)
	if want := "dispatch 1 7 <nil>"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	a, err := thrift.ReadArgs(m.Args)
	got = fmt.Sprintf("%v %v %v %v %v", a.StringMaps, texts(a.Binaries), a.Ints, a.Bools, err)
	if want := `map[1:map[id:a1]] map[2:body] map[] map[] <nil>`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	// The double, the list and the struct are skipped; the i32 and the bool are kept.
	a, err = thrift.ReadArgs([]byte("\x04\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x0f\x00\x08\x08\x00\x00\x00\x01\x00\x00\x00\x05" +
		"\x0c\x00\x07\x03\x00\x01\x05\x00" + "\x08\x00\x01\xff\xff\xff\xfe" + "\x02\x00\x03\x01" + "\x00"))
	got = fmt.Sprintf("%v %v %v %v %v", a.StringMaps, texts(a.Binaries), a.Ints, a.Bools, err)
	if want := "map[] map[] map[1:-2] map[3:true] <nil>"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	for wire, want := range map[string]string{
		goldenResult:            `0 map[2:map[]] map[1:done] map[3:true] <nil>`,
		goldenDeclaredException: `1 map[1:map[after:12]] map[] map[] <nil>`,
		goldenException:         `0 map[] map[] map[] thrift: malformed: no result`,
	} {
		m, err := thrift.ReadMessage(bytes.NewReader([]byte(wire)), 1<<10)
		if err != nil {
			t.Errorf("%x: %v", wire, err)
			continue
		}
		field, a, err := m.Result()
		if got := fmt.Sprintf("%d %v %v %v %v", field, a.StringMaps, texts(a.Binaries), a.Bools, err); got != want {
			t.Errorf("%x:\n got %s\nwant %s", wire, got, want)
		}
	}
}

// The server must read golden requests and write golden answers. It must answer bytes that are not a message with one
// application exception and close the connection.
func TestGoldenServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := thrift.NewServer(listener, thrift.Limits{
		MaxFrameBytes:    1 << 10,
		MaxOpenCalls:     4,
		MaxConns:         4,
		MessageTimeout:   20 * time.Second,
		IdleTimeout:      20 * time.Second,
		WriteTimeout:     20 * time.Second,
		FinalReadTimeout: time.Second,
	}, func(c *thrift.Conn, m thrift.Message) {
		c.BeginCall(m.SeqID, func() {})
		c.Reply(m.SeqID, []byte(goldenResult))
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, goldenDispatch+"\x00\x00\x00\x04\x00\x01\x00\x01"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	want := goldenResult + "\x00\x00\x00\x49" + "\x80\x01\x00\x03" + "\x00\x00\x00\x00" + "\x00\x00\x00\x00" +
		"\x0b\x00\x01\x00\x00\x00\x2ethrift: malformed: not of the strict version 1" + "\x08\x00\x02\x00\x00\x00\x07" + "\x00"
	if err != nil || string(got) != want {
		t.Errorf("\n got %q, %v\nwant %q", got, err, want)
	}
}
