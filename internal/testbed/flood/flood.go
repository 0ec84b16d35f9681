// Package flood sends messages to a gateway of the platform at full speed or over many connections, as bad clients do,
// and measures what other clients are served meanwhile.
package flood

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lupinpond/internal/gateway/thrift"
)

// Kind is a kind of flood.
type Kind string

// The kinds of floods. The first ones are sent at full speed on a few connections, the others by hundreds of slow ones.
const (
	Cancelled       Kind = "cancelled"        // requests with new IDs, each cancelled at once
	UnknownNames    Kind = "unknown_names"    // classes and tenants that do not exist, always new
	RepeatedID      Kind = "repeated_id"      // one ID again and again
	HealthChecks    Kind = "health_checks"    // alive
	NewFunctions    Kind = "new_functions"    // short requests for functions that are always new, as many as may be open
	UnreadAnswers   Kind = "unread_answers"   // requests with bodies of the maximum size, whose answers are not read
	SlowWriters     Kind = "slow_writers"     // a request with a large body, written slowly
	HalfRequests    Kind = "half_requests"    // the first half of a request with a large body
	ManyFields      Kind = "many_fields"      // requests with many short fields
	ClosedWithData  Kind = "closed_with_data" // requests on a connection that is closed at once
	MixedConnection Kind = "mixed"            // one of the kinds of slow connections each
)

// FastKinds returns the kinds of floods that are sent at full speed on a few connections.
func FastKinds() []Kind {
	return []Kind{Cancelled, UnknownNames, RepeatedID, HealthChecks, NewFunctions, UnreadAnswers}
}

const (
	// batchMessages is the number of messages that a flooding client writes at once.
	batchMessages = 64

	// openRequests is the number of requests that a client may have open on a connection.
	openRequests = 32

	// largeBodyBytes is the maximum size of a body.
	largeBodyBytes = 16 << 10

	// manyFields is the number of fields in a request with many short fields.
	manyFields = 1500

	// shortWait is the time limit of requests for new functions.
	shortWait = 20 * time.Millisecond

	// slowChunkBytes is the number of bytes that a slow writer writes at a time.
	slowChunkBytes = 512

	// slowChunkInterval is the time between two writes of a slow writer.
	slowChunkInterval = 30 * time.Millisecond

	// redialInterval is the time between two connections of a client.
	redialInterval = 5 * time.Millisecond

	// slowRedialInterval is the time between two connections of a client of a slow kind.
	slowRedialInterval = 500 * time.Millisecond

	// slowConnLifetime is how long a slow connection that has written all of its bytes stays open, unless the gateway closes it.
	slowConnLifetime = 5 * time.Second
)

// Options are the parameters of a flood.
type Options struct {
	Addr        string // address at which the gateway listens
	Kind        Kind
	Connections int
	Seed        uint64
	Class       string        // request class of well-formed requests
	Wait        time.Duration // time limit of well-formed requests
	Function    string        // function of well-formed requests; empty: a new one for each
}

// Flood is a running flood.
type Flood struct {
	options Options
	cancel  context.CancelFunc
	done    sync.WaitGroup
	written atomic.Int64
}

// Start starts a flood, which runs until Stop is called.
func Start(options Options) *Flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Flood{options: options, cancel: cancel}
	for i := range options.Connections {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)))
		f.done.Go(func() { f.runClient(ctx, i, random) })
	}
	return f
}

// Stop ends the flood and returns the number of bytes that it has written.
func (f *Flood) Stop() int64 {
	f.cancel()
	f.done.Wait()
	return f.written.Load()
}

// runClient connects again and again until ctx ends, and floods each connection until it is closed.
func (f *Flood) runClient(ctx context.Context, index int, random *rand.Rand) {
	interval := redialInterval
	if !slices.Contains(FastKinds(), f.options.Kind) {
		interval = slowRedialInterval
	}
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", f.options.Addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			f.floodConn(ctx, conn, index, random)
			stop()
			conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// floodConn floods one connection until it is closed.
func (f *Flood) floodConn(ctx context.Context, conn net.Conn, index int, random *rand.Rand) {
	client := &client{flood: f, conn: conn, random: random}
	kind := f.options.Kind
	if kind == MixedConnection {
		kind = []Kind{SlowWriters, HalfRequests, ManyFields, UnreadAnswers}[index%4]
	}
	if kind != UnreadAnswers && kind != NewFunctions {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends when the connection is closed
	}
	switch kind {
	case SlowWriters:
		client.writeSlowly(ctx, client.request(client.newID(), largeBodyBytes))
	case HalfRequests:
		frame := client.request(client.newID(), largeBodyBytes)
		client.write(frame[:len(frame)/2])
		client.stayOpen(ctx)
	case ManyFields:
		for client.write(client.requestWithManyFields()) && f.options.Kind == ManyFields {
		}
	case UnreadAnswers:
		var frames []byte
		for range openRequests - 1 {
			frames = append(frames, client.request(client.newID(), largeBodyBytes)...)
		}
		client.write(frames)
		client.stayOpen(ctx)
	case ClosedWithData:
		client.closeWithData()
	case NewFunctions:
		for client.callNewFunctions() {
		}
	default:
		client.writeAtFullSpeed(kind)
	}
}

// callNewFunctions sends as many requests as may be open, each for a new function, and waits for the answers.
func (c *client) callNewFunctions() bool {
	var frames []byte
	for range openRequests {
		c.seqID++
		frames = append(frames, c.encode(c.flood.options.Class, c.newID(), c.newID(), shortWait, 0)...)
	}
	if !c.write(frames) {
		return false
	}
	for range openRequests {
		if _, err := thrift.ReadMessage(c.conn, maxAnswerBytes); err != nil {
			return false
		}
	}
	return true
}

// client is one connection of a flood.
type client struct {
	flood  *Flood
	conn   net.Conn
	random *rand.Rand
	seqID  int32
}

func (c *client) write(b []byte) bool {
	n, err := c.conn.Write(b)
	c.flood.written.Add(int64(n))
	return err == nil
}

// stayOpen keeps the connection open and silent.
func (c *client) stayOpen(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(slowConnLifetime):
	}
}

func (c *client) writeSlowly(ctx context.Context, frame []byte) {
	for ctx.Err() == nil && len(frame) > 0 {
		n := min(slowChunkBytes, len(frame))
		if !c.write(frame[:n]) {
			return
		}
		frame = frame[n:]
		select {
		case <-ctx.Done():
		case <-time.After(slowChunkInterval):
		}
	}
}

// writeAtFullSpeed writes messages of a kind until the connection is closed.
func (c *client) writeAtFullSpeed(kind Kind) {
	repeated := c.newID()
	for {
		var batch []byte
		for range batchMessages {
			switch kind {
			case Cancelled:
				batch = append(batch, c.request(c.newID(), 0)...)
				batch = append(batch, c.cancel()...)
			case UnknownNames:
				batch = append(batch, c.requestOf("class"+c.newID(), c.newID(), c.function(), 0, "tenant", "tenant"+c.newID())...)
			case RepeatedID:
				batch = append(batch, c.request(repeated, 0)...)
			case HealthChecks:
				batch = append(batch, c.healthCheck()...)
			}
		}
		if !c.write(batch) {
			return
		}
	}
}

// closeWithData writes requests and closes the connection at once, with a reset or normally.
func (c *client) closeWithData() {
	var frames []byte
	for range openRequests - 1 {
		frames = append(frames, c.request(c.newID(), largeBodyBytes/2)...)
	}
	c.write(frames)
	if tcp, ok := c.conn.(*net.TCPConn); ok && c.random.IntN(2) == 0 {
		_ = tcp.SetLinger(0) // if it fails, the connection is closed normally
	}
}

func (c *client) newID() string { return fmt.Sprintf("%016x", c.random.Uint64()) }

func (c *client) function() string {
	if c.flood.options.Function != "" {
		return c.flood.options.Function
	}
	return c.newID()
}

func (c *client) request(id string, bodyBytes int) []byte {
	return c.requestOf(c.flood.options.Class, id, c.function(), bodyBytes)
}

// requestOf returns the frame of a request. more holds alternating names and values of further fields.
func (c *client) requestOf(class, id, function string, bodyBytes int, more ...string) []byte {
	c.seqID++
	return c.encode(class, id, function, c.flood.options.Wait, bodyBytes, more...)
}

// encode returns the frame of a request with the latest sequence ID.
func (c *client) encode(class, id, function string, wait time.Duration, bodyBytes int, more ...string) []byte {
	w := thrift.NewWriter("dispatch", thrift.Call, c.seqID)
	fields := []string{"class", class, "id", id, "key", function,
		"wait", strconv.FormatInt(wait.Milliseconds(), 10)}
	w.StringMap(1, append(fields, more...)...)
	w.Binary(2, make([]byte, bodyBytes))
	return w.Frame()
}

// requestWithManyFields returns the frame of a request with many short fields.
func (c *client) requestWithManyFields() []byte {
	var fields []string
	for i := range manyFields {
		fields = append(fields, strconv.Itoa(i), "")
	}
	return c.requestOf(c.flood.options.Class, c.newID(), c.function(), 0, fields...)
}

// cancel returns the frame that cancels the latest request.
func (c *client) cancel() []byte {
	w := thrift.NewWriter("cancelRequest", thrift.Oneway, c.seqID)
	w.I32(1, c.seqID)
	return w.Frame()
}

func (c *client) healthCheck() []byte {
	c.seqID++
	w := thrift.NewWriter("alive", thrift.Call, c.seqID)
	w.Bool(1, false)
	return w.Frame()
}

// Alive asks a gateway whether it is ready, and returns the time until its answer.
func Alive(addr string, timeout time.Duration) (time.Duration, error) {
	started := time.Now()
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(started.Add(timeout)); err != nil {
		return 0, err
	}
	w := thrift.NewWriter("alive", thrift.Call, 1)
	w.Bool(1, false)
	if _, err := conn.Write(w.Frame()); err != nil {
		return 0, err
	}
	var length [4]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return 0, err
	}
	_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(length[:])))
	return time.Since(started), err
}
