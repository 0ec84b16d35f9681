package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lupinpond/internal/gateway/thrift"
	"lupinpond/internal/testbed/workload"
)

const (
	// maxOpenRequests is the maximum number of concurrent requests that the protocol allows on a connection.
	maxOpenRequests = 32
	// maxResponseBytes is the maximum size of a response.
	maxResponseBytes = 64 << 10
	// clientsStream is the PCG stream number of the clients of the first real gateway, followed by those of the others.
	clientsStream = 2 << 32
)

// clients sends generated requests of many clients to a real gateway over one connection.
type clients struct {
	plan      Plan
	functions *workload.Catalog
	random    *rand.Rand
	conn      net.Conn
	rate      *requestRate

	mu   sync.Mutex
	sent map[int32]time.Time // send times of open requests by sequence number
	seq  int32
	warm *hdrhistogram.Histogram
	cold *hdrhistogram.Histogram

	submitted  atomic.Int64
	served     atomic.Int64
	coldServed atomic.Int64
	rejected   atomic.Int64
	failed     atomic.Int64
}

func newClients(plan Plan, index int, conn net.Conn, rate *requestRate) *clients {
	return &clients{
		plan:      plan,
		functions: plan.Functions.catalog(),
		random:    rand.New(rand.NewPCG(plan.Seed, clientsStream+uint64(index))),
		conn:      conn,
		rate:      rate,
		sent:      map[int32]time.Time{},
		warm:      newHistogram(),
		cold:      newHistogram(),
	}
}

// run sends requests and reads responses until ctx is done.
func (c *clients) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	read := make(chan error, 1)
	go func() { read <- c.read() }()
	err := c.send(ctx)
	c.conn.Close()
	return errors.Join(err, ignoreIfDone(ctx, <-read))
}

// ignoreIfDone returns err, or nil if ctx is done: err may then be its consequence.
func ignoreIfDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (c *clients) send(ctx context.Context) error {
	pace := pacer{rate: c.rate, random: c.random, next: time.Now()}
	for pace.wait(ctx) {
		frame := c.nextRequest()
		if frame == nil {
			continue
		}
		if _, err := c.conn.Write(frame); err != nil {
			return ignoreIfDone(ctx, err)
		}
	}
	return nil
}

// nextRequest returns the frame of the next request, or nil if maxOpenRequests requests are open.
func (c *clients) nextRequest() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) >= maxOpenRequests {
		return nil
	}
	c.seq++
	c.sent[c.seq] = time.Now()
	c.submitted.Add(1)
	attributes := fmt.Sprintf("memory_mb:%d;lanes:%d;load_ms:%d", replicaMB, c.plan.Functions.Concurrency,
		c.plan.Workers.MeanLoadTime.Std().Milliseconds())
	w := thrift.NewWriter("dispatch", thrift.Call, c.seq)
	w.StringMap(1,
		"class", className,
		"id", fmt.Sprintf("%016x", c.random.Uint64()),
		"wait", strconv.FormatInt(c.plan.Gateways.Wait.Std().Milliseconds(), 10),
		"tenant", tenantName,
		"key", fmt.Sprintf("%016x", c.functions.RandomFunction(c.random)),
		"facts", attributes)
	w.Binary(2, nil)
	return w.Frame()
}

// read reads responses until the connection ends.
func (c *clients) read() error {
	in := bufio.NewReader(c.conn)
	for {
		message, err := thrift.ReadMessage(in, maxResponseBytes)
		if err != nil {
			return err
		}
		c.recordResponse(message)
	}
}

// recordResponse counts the response to a request and records its latency.
func (c *clients) recordResponse(message thrift.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAt, open := c.sent[message.SeqID]
	delete(c.sent, message.SeqID)
	if !open {
		return
	}
	field, args, err := message.Result()
	if err != nil {
		c.failed.Add(1)
		return
	}
	switch field {
	case 0:
		c.served.Add(1)
		if wasCold(args.Binaries[1], sentAt) {
			c.coldServed.Add(1)
			recordLatency(c.cold, time.Since(sentAt))
		} else {
			recordLatency(c.warm, time.Since(sentAt))
		}
	case 1:
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}

// counts returns the counters. They are read one by one without the mutex, so they may be inconsistent with each other.
func (c *clients) counts() gatewayCounts {
	return gatewayCounts{
		Submitted: c.submitted.Load(),
		Served:    c.served.Load(),
		Cold:      c.coldServed.Load(),
		Rejected:  c.rejected.Load(),
		Failed:    c.failed.Load(),
	}
}
