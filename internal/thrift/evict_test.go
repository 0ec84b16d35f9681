package thrift_test

import (
	"net"
	"testing"
	"time"
)

// heldWrites is a connection whose writes wait until they are released, as with a client that does not read.
type heldWrites struct {
	net.Conn
	release chan struct{}
}

func (c *heldWrites) Write(b []byte) (int, error) {
	<-c.release
	return c.Conn.Write(b)
}

// A connection whose answer is not written yet does not give way to a new one: the answer would never arrive.
func TestUnwrittenAnswerDoesNotGiveWay(t *testing.T) {
	l := limits
	l.Conns = 1
	release := make(chan struct{})
	first := true
	d := newDrains(t, l, func(conn net.Conn) net.Conn {
		if first {
			first = false
			return &heldWrites{conn, release}
		}
		return conn
	})
	close(d.listener.opened)
	conn := dial(t, d.listener.Addr().String())
	write(t, conn, call(1, "a"))
	d.answers("a")
	other := dial(t, d.listener.Addr().String())
	if err := other.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = other.Read(make([]byte, 1)) // it is either closed by now or waits for a place
	close(release)
	if m := next(t, conn); m.Seq != 1 {
		t.Errorf("%+v instead of the answer", m)
	}
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
}
