package flood

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"lupinpond/internal/gateway/thrift"
)

const (
	// returnDelay is the time after which a returning client sends its requests again.
	returnDelay = 300 * time.Millisecond

	// returnTimeout is how long a returning client waits for the answers to the requests that it has sent again.
	returnTimeout = 2 * time.Second

	// leaveSlack is the time after its client has left within which a request may still be sent to a worker, with the
	// delays that loopback and the machine add.
	leaveSlack = 150 * time.Millisecond
)

// departure is a request whose client closed its connection and sent it again later.
type departure struct {
	id         string
	leftAt     time.Time
	returnedAt time.Time
}

// runReturning sends requests on a connection, closes it at once, with a reset or normally, and sends the same requests
// again later, over and over until ctx ends.
func runReturning(ctx context.Context, options Options) (departures []departure) {
	f := &Flood{options: options}
	for round := uint64(0); ctx.Err() == nil; round++ {
		random := rand.New(rand.NewPCG(options.Seed, round))
		conn, err := net.Dial("tcp", options.Addr)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		ids := make([]string, openRequests-1)
		for i := range ids {
			ids[i] = (&client{random: random}).newID()
		}
		leaving := &client{flood: f, conn: conn, random: random}
		leaving.writeAll(ids)
		if tcp, ok := conn.(*net.TCPConn); ok && round%2 == 0 {
			_ = tcp.SetLinger(0) // if it fails, the connection is closed normally
		}
		conn.Close()
		leftAt := time.Now()
		time.Sleep(returnDelay)
		returnedAt := time.Now()
		if sendAgain(f, random, ids) {
			for _, id := range ids {
				departures = append(departures, departure{id, leftAt, returnedAt})
			}
		}
	}
	return departures
}

// writeAll writes a request with a body for each ID.
func (c *client) writeAll(ids []string) {
	var frames []byte
	for _, id := range ids {
		frames = append(frames, c.request(id, largeBodyBytes/2)...)
	}
	c.write(frames)
}

// sendAgain sends requests on a new connection and waits for their answers. It returns false if it can't connect.
func sendAgain(f *Flood, random *rand.Rand, ids []string) bool {
	conn, err := net.Dial("tcp", f.options.Addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(returnTimeout)) != nil {
		return false
	}
	go (&client{flood: f, conn: conn, random: random}).writeAll(ids)
	for range ids {
		if _, err := thrift.ReadMessage(conn, maxAnswerBytes); err != nil {
			break
		}
	}
	return true
}

// sentAfterLeaving returns the number of requests that workers received after their clients had left and before these
// sent them again.
func (e *executions) sentAfterLeaving(departures []departure) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range departures {
		for _, at := range e.times[d.id] {
			if at.After(d.leftAt.Add(leaveSlack)) && at.Before(d.returnedAt) {
				count++
			}
		}
	}
	return count
}
