package turns_test

import (
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/gateway/turns"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// littleProcessor is a share of a processor that floods exceed.
const littleProcessor = 0.05

// newListener returns a listener whose connections wait for turns of a gate.
func newListener(t *testing.T, gate *turns.Gate) net.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inner.Close() })
	return turns.Listen(inner, gate)
}

// connect returns both ends of a connection through the listener.
func connect(t *testing.T, listener net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err == nil {
		server, err = listener.Accept()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// flood writes to a connection without end.
func flood(conn net.Conn) {
	data := make([]byte, 64<<10)
	for {
		if _, err := conn.Write(data); err != nil {
			return
		}
	}
}

// discard reads from a connection until it ends, and sends the error.
func discard(conn net.Conn, ended chan<- error) {
	for b := make([]byte, 512); ; {
		if _, err := conn.Read(b); err != nil {
			ended <- err
			return
		}
	}
}

// awaitWaits waits until connections have waited a number of times.
func awaitWaits(t *testing.T, gate *turns.Gate, waits int64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); gate.State().Waits < waits; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("connections do not wait")
		}
	}
}

// TestSparseConnectionIsServedBesideFloods guards against clients that wait for others, which send at full speed.
func TestSparseConnectionIsServedBesideFloods(t *testing.T) {
	const floods, maxTurns = 20, 10 // fewer than one turn for each flood
	gate := turns.NewGate(littleProcessor)
	listener := newListener(t, gate)
	ended := make(chan error, floods)
	for range floods {
		client, server := connect(t, listener)
		go flood(client)
		go discard(server, ended)
	}
	awaitWaits(t, gate, 100)
	client, server := connect(t, listener)
	go func() {
		for b := make([]byte, 1); ; {
			if _, err := server.Read(b); err != nil {
				return
			}
			if _, err := server.Write(b); err != nil {
				return
			}
		}
	}()
	for range 20 {
		waits := gate.State().Waits
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if turnsGiven := gate.State().Waits - waits; turnsGiven > maxTurns {
			t.Errorf("%d turns of others while the connection sent and received a byte, want at most %d", turnsGiven, maxTurns)
		}
	}
	gate.Close()
}

// TestWaitEndsWhenClientHasGone guards against connections that keep their place after their client has closed them with
// data unread: the connection must end long before its data could be read in turns.
func TestWaitEndsWhenClientHasGone(t *testing.T) {
	const unread = 32 << 10 // fits into the buffers of the kernel, so that the close arrives
	gate := turns.NewGate(littleProcessor)
	listener := newListener(t, gate)
	flooding, floodedServer := connect(t, listener)
	go flood(flooding)
	go discard(floodedServer, make(chan error, 1))
	awaitWaits(t, gate, 100)
	client, server := connect(t, listener)
	if _, err := client.Write(make([]byte, unread)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	read := 0
	for b := make([]byte, 16); ; {
		n, err := server.Read(b)
		read += n
		if err != nil {
			break
		}
	}
	if read >= unread {
		t.Errorf("all %d bytes were read", read)
	}
	gate.Close()
}
