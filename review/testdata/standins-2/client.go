package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lastID makes the ids of requests different from each other.
var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<12|lastID.Add(1)&0xfff)
}

// request is a request of a client and what became of it.
type request struct {
	id, class, tenant, key, once string
	wait                         time.Duration
	body                         string
	sentAt                       time.Time

	mu         sync.Mutex
	answers    []string // Answer, Throttled, Broken, exception, closed
	answeredAt time.Time
	answerBody string
	done       chan struct{}
}

func (q *request) end(answer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers = append(q.answers, answer)
	if len(q.answers) == 1 {
		q.answeredAt = time.Now()
		close(q.done)
	}
}

// client is a connection of a client: Thrift, framed transport, strict binary protocol.
type client struct {
	rec  *record
	conn net.Conn
	mu   sync.Mutex
	seq  int32
	open map[int32]*request
	good chan bool
}

func dialClient(rec *record, addr string) (*client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, conn: conn, open: map[int32]*request{}, good: make(chan bool, 16)}
	go c.read()
	return c, nil
}

func str(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

func message(name string, kind byte, seq int32, args []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, 0x80010000|uint32(kind))
	b = str(b, name)
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(append(b, args...), 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// dispatch sends a request.
func (c *client) dispatch(q *request) error {
	fields := []string{"class", q.class, "id", q.id, "wait", fmt.Sprint(q.wait.Milliseconds()), "tenant", q.tenant,
		"key", q.key, "facts", "memory_mb:3000;lanes:4"}
	if q.once != "" {
		fields = append(fields, "once", q.once)
	}
	args := []byte{13, 0, 1, 11, 11}
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)/2))
	for _, field := range fields {
		args = str(args, field)
	}
	args = append(args, 11, 0, 2)
	args = str(args, q.body)
	q.done = make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	c.open[c.seq] = q
	q.sentAt = time.Now()
	c.rec.line("client sends %s class=%s key=%s wait=%v", q.id, q.class, q.key, q.wait)
	_, err := c.conn.Write(message("dispatch", 1, c.seq, args))
	return err
}

// cancel sends cancelRequest for a request; no answer is owed then.
func (c *client) cancel(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, other := range c.open {
		if other == q {
			c.seq++
			args := binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))
			_, _ = c.conn.Write(message("cancelRequest", 4, c.seq, args))
			delete(c.open, seq)
		}
	}
}

// alive asks whether the front end is good.
func (c *client) alive() (bool, error) {
	c.mu.Lock()
	c.seq++
	_, err := c.conn.Write(message("alive", 1, c.seq, []byte{2, 0, 1, 1}))
	c.mu.Unlock()
	if err != nil {
		return false, err
	}
	select {
	case good := <-c.good:
		return good, nil
	case <-time.After(2 * time.Second):
		return false, fmt.Errorf("no answer to alive")
	}
}

func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			break
		}
		frame := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, frame); err != nil {
			break
		}
		c.handle(frame)
	}
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, q := range c.open {
		delete(c.open, seq)
		c.rec.line("client: the connection ended with no answer to %s", q.id)
		q.end("closed")
	}
}

func (c *client) handle(frame []byte) {
	kind := frame[3]
	n := binary.BigEndian.Uint32(frame[4:])
	name := string(frame[8 : 8+n])
	seq := int32(binary.BigEndian.Uint32(frame[8+n:]))
	rest := frame[12+n:]
	if name == "alive" {
		// success struct: field 3 is the bool, the last field before two stops
		c.good <- kind == 2 && len(rest) >= 3 && rest[len(rest)-3] == 1
		return
	}
	c.mu.Lock()
	q := c.open[seq]
	delete(c.open, seq)
	c.mu.Unlock()
	answer := "exception"
	if kind == 2 && len(rest) >= 3 && rest[0] == 12 {
		answer = map[uint16]string{0: "Answer", 1: "Throttled", 2: "Broken"}[binary.BigEndian.Uint16(rest[1:])]
	}
	if q == nil {
		c.rec.line("client received %s under number %d, which is not open", answer, seq)
		return
	}
	if answer == "Answer" && len(rest) > 10 && rest[3] == 11 {
		size := binary.BigEndian.Uint32(rest[6:])
		q.mu.Lock()
		q.answerBody = string(rest[10 : 10+size])
		q.mu.Unlock()
	}
	c.rec.line("client received %s for %s after %v", answer, q.id, time.Since(q.sentAt).Round(time.Millisecond))
	q.end(answer)
}
