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

// startEchoServer is a server that sends back what it gets.
func startEchoServer(t *testing.T) string {
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
				_, _ = io.Copy(conn, conn) // until the test ends it
			}()
		}
	}()
	return listener.Addr().String()
}

// What passes is held, cut and reset as it is told.
func TestFaults(t *testing.T) {
	p, err := faultproxy.New(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	conn := dial()
	say := func(text string) {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	hear := func(n int) (string, error) {
		b := make([]byte, n)
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, err := io.ReadFull(conn, b)
		return string(b[:n]), err
	}
	say("a")
	if text, err := hear(1); text != "a" || err != nil {
		t.Error(text, err)
	}
	p.SetFault(faultproxy.Fault{Blackhole: true})
	say("b")
	if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("what is held passes")
	}
	p.SetFault(faultproxy.Fault{})
	if text, err := hear(1); text != "b" || err != nil {
		t.Error(text, err)
	}
	p.Reset()
	if _, err := hear(1); err == nil {
		t.Error("a reset connection goes on")
	}
	p.SetFault(faultproxy.Fault{CloseAfterBytes: 3})
	conn = dial()
	say("12345")
	if text, err := hear(5); text != "123" || err == nil {
		t.Error(text, err)
	}
}
