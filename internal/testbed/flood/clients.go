package flood

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// ResponseSlack is the time after the time limit of a request within which its answer does not count as late.
const ResponseSlack = 550 * time.Millisecond

// maxAnswerBytes is the maximum size of an answer.
const maxAnswerBytes = 64 << 10

// UsualClients are clients that follow the protocol and send requests at a moderate rate.
type UsualClients struct {
	Addr        string
	Connections int
	Rate        float64 // requests per second, over all connections
	Class       string
	Wait        time.Duration // time limit of each request
	Functions   int           // number of functions that they call
	Seed        uint64
}

// Result is what the usual clients have seen.
type Result struct {
	Sent     int
	Served   int // answered with success within the time limit and the slack
	Rejected int // answered otherwise, in time
	Late     int // answered after the time limit and the slack, or not at all
	Closed   int // without an answer when the gateway closed the connection
	Median   time.Duration
	P99      time.Duration
	Longest  time.Duration // longest time to an answer
}

// ServedShare returns the share of requests that were served, from 0 to 1.
func (r Result) ServedShare() float64 { return float64(r.Served) / float64(max(1, r.Sent)) }

func (r Result) String() string {
	return fmt.Sprintf("sent %d, served %.3f, rejected %d, late %d, closed %d, median %v, p99 %v, longest %v", r.Sent,
		r.ServedShare(), r.Rejected, r.Late, r.Closed, r.Median.Round(time.Millisecond), r.P99.Round(time.Millisecond),
		r.Longest.Round(time.Millisecond))
}

// Run sends requests until ctx ends and waits for their answers.
func (u UsualClients) Run(ctx context.Context) Result {
	random := rand.New(rand.NewPCG(u.Seed, uint64(u.Connections)))
	measurement := &measurement{wait: u.Wait}
	conns := make([]*usualConn, u.Connections)
	interval := time.Duration(float64(time.Second) / u.Rate)
	for next, n := time.Now(), 0; ctx.Err() == nil; next, n = next.Add(interval), n+1 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			i := n % len(conns)
			if conns[i] == nil || !conns[i].hasCapacity() {
				conns[i] = measurement.dial(u.Addr)
			}
			conns[i].send(u.Class, random)
		}
	}
	measurement.awaitAnswers(u.Wait + 2*ResponseSlack)
	measurement.closeConns()
	measurement.readers.Wait()
	return measurement.result()
}

// sentRequest is a request of a usual client.
type sentRequest struct {
	sentAt     time.Time
	answeredAt time.Time // zero without an answer
	served     bool
	closed     bool // the connection was closed without an answer
}

// measurement records the requests of the usual clients.
type measurement struct {
	wait    time.Duration
	readers sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	requests []*sentRequest
	open     int
}

func (m *measurement) closeConns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		conn.Close()
	}
}

// awaitAnswers waits until no request is open, at most for the given time.
func (m *measurement) awaitAnswers(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(redialInterval) {
		m.mu.Lock()
		open := m.open
		m.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

func (m *measurement) result() Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := Result{Sent: len(m.requests)}
	var durations []time.Duration
	for _, request := range m.requests {
		if !request.answeredAt.IsZero() {
			durations = append(durations, request.answeredAt.Sub(request.sentAt))
		}
		switch {
		case request.closed:
			result.Closed++
		case request.answeredAt.IsZero() || request.answeredAt.Sub(request.sentAt) > m.wait+ResponseSlack:
			result.Late++
		case request.served:
			result.Served++
		default:
			result.Rejected++
		}
	}
	if len(durations) > 0 {
		slices.Sort(durations)
		result.Median, result.P99 = durations[len(durations)/2], durations[len(durations)*99/100]
		result.Longest = durations[len(durations)-1]
	}
	return result
}

// usualConn is a connection of a usual client.
type usualConn struct {
	net.Conn // nil if the gateway does not accept connections
	m        *measurement
	mu       sync.Mutex
	seqID    int32
	open     map[int32]*sentRequest
	hasEnded bool
}

// dial opens a connection and reads its answers until it ends.
func (m *measurement) dial(addr string) *usualConn {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return &usualConn{m: m, hasEnded: true}
	}
	m.mu.Lock()
	m.conns = append(m.conns, conn)
	m.mu.Unlock()
	c := &usualConn{Conn: conn, m: m, open: map[int32]*sentRequest{}}
	m.readers.Go(c.read)
	return c
}

// hasCapacity reports whether another request may be sent on the connection.
func (c *usualConn) hasCapacity() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasEnded && len(c.open) < openRequests
}

// send sends a request with a random ID to a random function.
func (c *usualConn) send(class string, random *rand.Rand) {
	request := &sentRequest{sentAt: time.Now()}
	c.m.mu.Lock()
	c.m.requests = append(c.m.requests, request)
	c.m.open++
	c.m.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEnded {
		c.m.end(func() { request.closed = true })
		return
	}
	c.seqID++
	c.open[c.seqID] = request
	w := thrift.NewWriter("dispatch", thrift.Call, c.seqID)
	w.StringMap(1, "class", class, "id", fmt.Sprintf("%016x", random.Uint64()),
		"key", fmt.Sprintf("%016x", random.IntN(usualFunctions)),
		"wait", strconv.FormatInt(c.m.wait.Milliseconds(), 10))
	w.Binary(2, []byte("usual"))
	_, _ = c.Write(w.Frame()) // the reader sees the end of the connection
}

// usualFunctions is the number of functions that usual clients call.
const usualFunctions = 8

// end records the end of a request, which set describes.
func (m *measurement) end(set func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	set()
}

func (c *usualConn) read() {
	for {
		message, err := thrift.ReadMessage(c, maxAnswerBytes)
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			c.hasEnded = true
			for _, request := range c.open {
				c.m.end(func() { request.closed = request.sentAt.Add(c.m.wait).After(now) })
			}
			c.mu.Unlock()
			return
		}
		request := c.open[message.SeqID]
		delete(c.open, message.SeqID)
		c.mu.Unlock()
		if request == nil {
			continue
		}
		field, _, err := message.Result()
		c.m.end(func() { request.answeredAt, request.served = now, err == nil && field == 0 })
	}
}
