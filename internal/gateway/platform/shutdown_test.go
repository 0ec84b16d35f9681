package platform_test

import (
	"encoding/binary"
	"io"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/gateway/thrift"
)

const (
	// killTime is the time from SIGTERM to SIGKILL for a gateway whose longest maximum age is 3 s.
	killTime = 3700 * time.Millisecond

	// transitTime is the maximum time that a request spends in transit. One sent less than this before the end of its
	// connection may remain unanswered.
	transitTime = 50 * time.Millisecond

	// busyInterval is the time between two requests of a client that sends continuously.
	busyInterval = 5 * time.Millisecond
)

// sentRequests tracks the unanswered requests of one connection.
type sentRequests struct {
	mu   sync.Mutex
	open map[int32]time.Time // send times of the unanswered requests, by sequence ID
	sent int                 // number of requests sent
}

func (s *sentRequests) begin(seq int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[seq] = time.Now()
	s.sent++
}

func (s *sentRequests) end(seq int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, seq)
}

// A connection on which a client sends continuously after SIGTERM must be closed before SIGKILL, at a moment when every
// request read on it has been answered.
//
// This guards against a server that, on shutdown, closes a connection only once it has been idle for a while. Clients
// send until their connection ends, so such a connection is never idle: it ended with SIGKILL, while requests that had
// been read were unanswered.
func TestShutdownEndsBusyConnection(t *testing.T) {
	h := start(t)
	h.worker.respondWith(func(_, _, body string) []string {
		time.Sleep(busyInterval)
		return []string{"ok", "how=ready", body}
	})
	c := h.dial()
	requests := &sentRequests{open: map[int32]time.Time{}}
	closed := make(chan time.Time, 1)
	go func() {
		readAnswers(c, requests)
		closed <- time.Now()
	}()
	h.stop()
	signalled := time.Now()
	for n := 1; time.Since(signalled) < killTime; n++ {
		requests.begin(c.seq + 1)
		if !c.tryDispatch("a", fields(id(n))...) {
			break
		}
		time.Sleep(busyInterval)
	}
	closedAt := <-closed
	if after := closedAt.Sub(signalled); after > killTime-transitTime {
		t.Errorf("the connection ended %v after SIGTERM, too close to SIGKILL after %v", after, killTime)
	}
	for seq, sentAt := range requests.open {
		if age := closedAt.Sub(sentAt); age > transitTime {
			t.Errorf("request %d of %d was unanswered at the end of its connection, %v after it was sent",
				seq, requests.sent, age)
		}
	}
}

// readAnswers reads answers until the connection ends, and marks their requests as answered.
func readAnswers(c *client, requests *sentRequests) {
	for {
		var head [4]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(c, frame); err != nil {
			return
		}
		message, err := thrift.Parse(frame)
		if err != nil {
			c.t.Error(err)
			return
		}
		requests.end(message.SeqID)
	}
}

// tryDispatch sends a request and reports whether the connection was still open.
func (c *client) tryDispatch(body string, pairs ...string) bool {
	c.seq++
	w := thrift.NewWriter("dispatch", thrift.Call, c.seq)
	w.StringMap(1, pairs...)
	w.Binary(2, []byte(body))
	_, err := c.Write(w.Frame())
	return err == nil
}
