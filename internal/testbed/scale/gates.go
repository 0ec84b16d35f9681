package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lupinpond/internal/gateway/thrift"
	"lupinpond/internal/testbed/workload"
)

// platformConfig is the file that a front end of the run is started with.
func (p Plan) platformConfig(name, listen, journal string, index int, known json.RawMessage) ([]byte, error) {
	f, w := p.Gateways, p.Workers
	fronts := f.Hollow + f.Real
	seconds := func(d time.Duration) float64 { return d.Seconds() }
	wait := seconds(f.Wait.Std())
	return json.Marshal(map[string]any{"name": name, "listen": listen, "seed": strconv.FormatUint(p.Seed+uint64(index), 16), "journal": journal,
		"limits": map[string]any{"cores": 1.0, "memory_mb": f.Memory >> 20, "sockets": f.Sockets}, "known": known,
		"settings": map[string]any{"index": index, "instances": fronts, "quantum": 0.002, "weight_source": "nominal", "kinds": []string{"std"},
			"family_info": map[string]any{"keep": seconds(w.ReplicaIdleTimeout.Std()), "orders": true, "miss_mode": "load", "order_limit": 4,
				"machine_mb": []int{64 << 10}},
			"policy_limits": map[string]any{"cancel": true, "conn_idle": 15, "dial_timeout": 0.25, "max_streams": 32, "send_cap": 6,
				"probing": true, "retry_after": true, "max_retry_after": 2},
			"report":          map[string]any{"source": "inline", "fields": []string{"inflight", "pending"}},
			"rules":           map[string]any{"stop_sending_within": 0.5, "cold_from": 0.3, "warm_after": 12, "fall_multiple": 2.5, "fall": 1},
			"orgs":            []any{map[string]any{"name": tenantName, "quota_per_s": 2 * f.Rate * float64(fronts)}},
			"request_classes": []any{map[string]any{"name": className, "effect": "pure", "aim": wait / 3, "give_up": wait}}}})
}

// realGateway is a real front end with its clients' connection.
type realGateway struct {
	*process
	addr string
}

// startRealGateway starts the program as the deploy file does, with its configuration in dir.
func (s *starter) startRealGateway(program, dir string, p Plan, index int, journal string, known json.RawMessage, crashed func(error)) (*realGateway, error) {
	addr, err := freeAddress(loopback(gatewaysNet, index))
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("real-%d", index)
	config, err := p.platformConfig(name, addr, journal, index, known)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file, "GW_NAME="+name, "GW_LISTEN="+addr, "TMPDIR="+dir)
	child, err := s.start(name, cmd, false, crashed)
	if err != nil {
		return nil, err
	}
	return &realGateway{process: child, addr: addr}, nil
}

// freeAddress finds a port at a host of loopback that nothing else has an address at.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// clients send drawn requests to a real front end over one connection.
type clients struct {
	plan      Plan
	functions *workload.Catalog
	random    *rand.Rand
	conn      net.Conn
	rate      *atomic.Uint64

	mu   sync.Mutex
	sent map[int32]time.Time
	seq  int32
	warm *hdrhistogram.Histogram
	cold *hdrhistogram.Histogram

	submitted, served, coldServed, rejected, failed atomic.Int64
}

const (
	openRequests = 32 // that the protocol allows on a connection
	dialPause    = 50 * time.Millisecond
	readyLimit   = 30 * time.Second
)

// dialGateway waits until a front end listens.
func dialGateway(ctx context.Context, addr string) (net.Conn, error) {
	end := time.Now().Add(readyLimit)
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return conn, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialPause):
		}
	}
}

// run sends and reads until ctx ends.
func (c *clients) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	read := make(chan error, 1)
	go func() { read <- c.read() }()
	err := c.send(ctx)
	c.conn.Close()
	return errors.Join(err, unlessDone(ctx, <-read))
}

func unlessDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (c *clients) send(ctx context.Context) error {
	next := time.Now()
	for {
		rate := rateOf(c.rate)
		pause := idlePollInterval
		if rate > 0 {
			pause = time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
		}
		next = next.Add(pause)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(next)):
		}
		if rate <= 0 {
			continue
		}
		if frame := c.request(); frame != nil {
			if _, err := c.conn.Write(frame); err != nil {
				return unlessDone(ctx, err)
			}
		}
	}
}

// request spells the next request; nil where as many are open as may be.
func (c *clients) request() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) >= openRequests {
		return nil
	}
	c.seq++
	c.sent[c.seq] = time.Now()
	c.submitted.Add(1)
	w := thrift.NewWriter("dispatch", thrift.Call, c.seq)
	w.StringMap(1, "class", className, "id", fmt.Sprintf("%016x", c.random.Uint64()), "wait",
		strconv.FormatInt(c.plan.Gateways.Wait.Std().Milliseconds(), 10), "tenant", tenantName,
		"key", fmt.Sprintf("%016x", c.functions.Draw(c.random)), "facts",
		fmt.Sprintf("memory_mb:%d;lanes:%d;load_ms:%d", replicaMB, c.plan.Functions.Concurrency, c.plan.Workers.MeanLoadTime.Std().Milliseconds()))
	w.Binary(2, nil)
	return w.Frame()
}

// read takes answers until the connection ends.
func (c *clients) read() error {
	in := bufio.NewReader(c.conn)
	for {
		m, err := thrift.ReadMessage(in, maxArgBytes)
		if err != nil {
			return err
		}
		c.recordResponse(m)
	}
}

func (c *clients) recordResponse(m thrift.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	came, open := c.sent[m.SeqID]
	delete(c.sent, m.SeqID)
	if !open {
		return
	}
	field, args, err := m.Result()
	if err != nil {
		c.failed.Add(1)
		return
	}
	switch field {
	case 0:
		c.served.Add(1)
		h := c.warm
		if ready, err := strconv.ParseInt(string(args.Binaries[1]), 10, 64); err == nil && ready > came.UnixNano() {
			c.coldServed.Add(1)
			h = c.cold
		}
		_ = h.RecordValue(min(max(time.Since(came).Microseconds(), minLatencyMicros), maxLatencyMicros)) // it is in the range
	case 1:
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}
