package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/testbed/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a server that sends back the data it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // until the test closes the connection
			}()
		}
	}()
	return listener.Addr().String()
}

// A blackhole must block data and forward it afterwards, Reset must end the connection, and CloseAfterBytes must
// truncate the response.
func TestFaults(t *testing.T) {
	p, err := faultproxy.New(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	dial := func() net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	conn := dial()
	send := func(text string) {
		t.Helper()
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	receive := func(n int) (string, error) {
		t.Helper()
		text := make([]byte, n)
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, err := io.ReadFull(conn, text)
		return string(text[:n]), err
	}
	send("a")
	if text, err := receive(1); text != "a" || err != nil {
		t.Error(text, err)
	}
	p.SetFault(faultproxy.Fault{Blackhole: true})
	send("b")
	if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("data was forwarded during the blackhole")
	}
	p.SetFault(faultproxy.Fault{})
	if text, err := receive(1); text != "b" || err != nil {
		t.Error(text, err)
	}
	p.Reset()
	if _, err := receive(1); err == nil {
		t.Error("the connection is still usable after Reset")
	}
	p.SetFault(faultproxy.Fault{CloseAfterBytes: 3})
	conn = dial()
	send("12345")
	if text, err := receive(5); text != "123" || err == nil {
		t.Error(text, err)
	}
}
