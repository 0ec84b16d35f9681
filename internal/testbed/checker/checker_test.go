package checker_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/checker"
	"lupinpond/internal/workerrpc"
)

const ms = time.Millisecond

// base is the zero point of the captures' clock.
var base = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// captureBuilder composes an input with the captures of two gateways.
type captureBuilder struct {
	checker.Input
	t        *testing.T
	lastConn uint64
	lastSeq  uint64
}

// newCaptureBuilder returns a builder with two gateways and three warm workers: a and b in zone z1, c in zone z2.
func newCaptureBuilder(t *testing.T) *captureBuilder {
	t.Helper()
	settings, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	settings.Fleet.LoadPolicy.RateLimit = fleetconfig.LoadRateLimit{
		Window:     config.Duration(time.Second),
		Burst:      2,
		PerRequest: 0.5,
	}
	s := &captureBuilder{t: t, Input: checker.Input{
		Config:    settings,
		ClockBase: base,
		End:       time.Minute,
		Captures:  []checker.GatewayCapture{{Name: "f0"}, {Name: "f1", Index: 1}},
	}}
	for i := range s.Captures {
		s.deliverComplete(i, 0, entry("a", "z1", registry.InService, -time.Hour),
			entry("b", "z1", registry.InService, -time.Hour), entry("c", "z2", registry.InService, -time.Hour))
	}
	return s
}

func entry(name, zone string, state registry.State, started time.Duration) registry.Entry {
	return registry.Entry{
		Name:    name,
		Addr:    "127.0.0.1:1",
		Zone:    zone,
		Cell:    "0",
		Cores:   1,
		State:   state,
		Started: base.Add(started),
	}
}

// deliver adds the delivery of a watch event with changed entries to a gateway.
func (s *captureBuilder) deliver(gateway int, at time.Duration, entries ...registry.Entry) {
	s.deliverEvent(gateway, at, registry.WatchEvent{Entries: entries})
}

// deliverComplete adds the delivery of a complete endpoint list to a gateway.
func (s *captureBuilder) deliverComplete(gateway int, at time.Duration, entries ...registry.Entry) {
	s.deliverEvent(gateway, at, registry.WatchEvent{Complete: true, Entries: entries})
}

func (s *captureBuilder) deliverEvent(gateway int, at time.Duration, event registry.WatchEvent) {
	s.Deliveries = append(s.Deliveries, checker.Delivery{Gateway: s.Captures[gateway].Name, At: at, Event: event})
}

func (s *captureBuilder) record(gateway int, record capture.Record) {
	s.Captures[gateway].Records = append(s.Captures[gateway].Records, record)
}

func (s *captureBuilder) openConn() uint64 {
	s.lastConn++
	return s.lastConn
}

// request adds a client's request for a function on a new connection and returns the connection's ID.
func (s *captureBuilder) request(gateway int, at time.Duration, function, id string) uint64 {
	conn := s.openConn()
	s.record(gateway, capture.Record{Kind: capture.Read, ConnID: conn, Side: capture.Client, At: at,
		Data: fmt.Appendf(nil, "POST /v1/functions/%s/invocations HTTP/1.1\r\nHost: x\r\nce-id: %s\r\n"+
			"ce-source: s\r\nPrefer: wait=2\r\nContent-Length: 1\r\n\r\nx", function, id)})
	return conn
}

func (s *captureBuilder) respond(gateway int, conn uint64, at time.Duration, status int, requestID string) {
	s.record(gateway, capture.Record{Kind: capture.Written, ConnID: conn, Side: capture.Client, At: at,
		Data: fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nLupin-Event: %s\r\nContent-Length: 2\r\n\r\nok",
			status, http.StatusText(status), requestID)})
}

func (s *captureBuilder) frame(gateway int, kind capture.Kind, conn uint64, worker string, at time.Duration, body any) {
	s.t.Helper()
	frame, err := workerrpc.AppendFrame(nil, body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.record(gateway, capture.Record{Kind: kind, ConnID: conn, Side: capture.Worker, Peer: worker, At: at, Data: frame})
}

// complete adds the result of an attempt.
type complete func(at time.Duration, code workerrpc.Code, cpuTime time.Duration)

// attempt adds an attempt on a new connection to a worker and returns a function that adds its result.
func (s *captureBuilder) attempt(gateway int, at time.Duration, worker, function, requestType, id string) complete {
	conn := s.openConn()
	s.lastSeq++
	seq := s.lastSeq
	s.frame(gateway, capture.Written, conn, worker, at,
		&workerrpc.Attempt{Seq: seq, RequestID: id, Function: function, Type: requestType})
	return func(at time.Duration, code workerrpc.Code, cpuTime time.Duration) {
		s.frame(gateway, capture.Read, conn, worker, at,
			&workerrpc.AttemptResult{Seq: seq, RequestID: id, Code: code, CPUTime: cpuTime})
	}
}

// requestLoad adds a load request for one replica on a new connection to a worker.
func (s *captureBuilder) requestLoad(at time.Duration, worker string, seq int) {
	s.frame(0, capture.Written, s.openConn(), worker, at,
		&workerrpc.LoadRequest{Seq: uint64(seq), Function: "preview", Replicas: 1})
}

// addOrdinaryTraffic adds traffic that violates no rule but comes close to violating each.
func addOrdinaryTraffic(s *captureBuilder) {
	c := s.request(0, 100*ms, "gross-salary", "1") // at-most-once: rejected by two workers, then completed
	s.attempt(0, 101*ms, "a", "gross-salary", "salary-release", "e1")(105*ms, workerrpc.CodeOverloaded, 0)
	s.attempt(0, 106*ms, "c", "gross-salary", "salary-release", "e1")(110*ms, workerrpc.CodeNotStarted, 0)
	s.attempt(0, 111*ms, "b", "gross-salary", "salary-release", "e1")(150*ms, workerrpc.CodeOK, 10*ms)
	s.respond(0, c, 151*ms, 200, "e1")
	c = s.request(0, 200*ms, "transfer", "2") // keyed with scope zone: failed, retried in the zone and window
	s.attempt(0, 201*ms, "a", "transfer", "bank-transfer", "e2")(205*ms, workerrpc.CodeFailed, ms)
	s.attempt(0, 206*ms, "b", "transfer", "bank-transfer", "e2")(230*ms, workerrpc.CodeOK, ms)
	s.respond(0, c, 231*ms, 200, "e2")
	c = s.request(1, 300*ms, "preview", "3") // redeliverable: failed, then rejected by the gateway
	s.attempt(1, 301*ms, "c", "preview", "pay-preview", "e3")(305*ms, workerrpc.CodeFailed, ms)
	s.respond(1, c, 306*ms, 503, "e3")
	c = s.request(1, 320*ms, "gross-salary", "4") // at-most-once: failed
	s.attempt(1, 321*ms, "c", "gross-salary", "salary-release", "e4")(325*ms, workerrpc.CodeFailed, ms)
	s.respond(1, c, 326*ms, 502, "e4")
	c = s.request(1, 340*ms, "preview", "5") // the client disconnects
	s.record(1, capture.Record{Kind: capture.Closed, ConnID: c, Side: capture.Client, At: 400 * ms, ByPeer: true})
	for i, at := range []time.Duration{500 * ms, 501 * ms} {
		s.requestLoad(at, "a", i)
	}
	s.deliver(0, 1000*ms, entry("c", "z2", registry.Draining, -time.Hour))
	c = s.request(0, 1400*ms, "preview", "6") // attempt to a draining worker within the drain grace
	s.attempt(0, 1450*ms, "c", "preview", "pay-preview", "e6")(1460*ms, workerrpc.CodeOK, ms)
	s.respond(0, c, 1461*ms, 200, "e6")
	for i := range s.Captures {
		s.deliver(i, 2000*ms, entry("b", "z1", registry.InService, 1990*ms))
	}
	for i := range 10 { // 100 ms of work in a second for a worker that can handle about 500 ms
		id := fmt.Sprint("cold", i)
		at := 2100*ms + time.Duration(i)*50*ms
		c = s.request(i%2, at, "preview", id)
		s.attempt(i%2, at+ms, "b", "preview", "pay-preview", id)(at+20*ms, workerrpc.CodeOK, 10*ms)
		s.respond(i%2, c, at+21*ms, 200, id)
	}
}

// TestMutantsAreCaught guards against a check that misses violations or reports false ones. Each mutant adds traffic to
// the ordinary traffic, and some also change the settings; the checker must report the rule that the mutant violates,
// if any, and no other.
func TestMutantsAreCaught(t *testing.T) {
	for _, m := range []struct {
		name  string
		rules []int
		edit  func(s *captureBuilder)
	}{
		{"none", nil, func(*captureBuilder) {}},
		{"no response", []int{1}, func(s *captureBuilder) { s.request(0, 5*time.Second, "preview", "x") }},
		{"late response", []int{1}, func(s *captureBuilder) {
			s.respond(0, s.request(0, 5*time.Second, "preview", "x"), 7300*ms, 200, "x")
		}},
		{"two responses", []int{1}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "preview", "x")
			s.respond(0, c, 5100*ms, 200, "x")
			s.respond(0, c, 5200*ms, 200, "x")
		}},
		{"status 200 without a request ID", []int{1}, func(s *captureBuilder) {
			s.respond(0, s.request(0, 5*time.Second, "preview", "x"), 5100*ms, 200, "")
		}},
		{"attempt after the response", []int{1}, func(s *captureBuilder) {
			s.respond(0, s.request(0, 5*time.Second, "preview", "x"), 5100*ms, 503, "x")
			s.attempt(0, 5200*ms, "a", "preview", "pay-preview", "x")(5300*ms, workerrpc.CodeOK, ms)
		}},
		{"connection closed instead of a response", []int{1}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "preview", "x")
			s.record(0, capture.Record{Kind: capture.Closed, ConnID: c, Side: capture.Client, At: 5100 * ms})
		}},
		{"at-most-once retried after a failure", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "gross-salary", "x")
			s.attempt(0, 5001*ms, "a", "gross-salary", "salary-release", "x")(5010*ms, workerrpc.CodeFailed, ms)
			s.attempt(0, 5011*ms, "b", "gross-salary", "salary-release", "x")(5020*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 5021*ms, 200, "x")
		}},
		{"at-most-once rejected while in flight", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "gross-salary", "x")
			s.attempt(0, 5001*ms, "a", "gross-salary", "salary-release", "x")
			s.respond(0, c, 5100*ms, 503, "x")
		}},
		{"parallel attempts without hedging", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "preview", "x")
			s.attempt(0, 5001*ms, "a", "preview", "pay-preview", "x")(5050*ms, workerrpc.CodeOK, ms)
			s.attempt(0, 5002*ms, "b", "preview", "pay-preview", "x")(5040*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 5060*ms, 200, "x")
		}},
		{"parallel attempts with hedging", nil, func(s *captureBuilder) {
			s.Config.Fleet.Policy.Hedging = true
			c := s.request(0, 5*time.Second, "preview", "x")
			s.attempt(0, 5001*ms, "a", "preview", "pay-preview", "x")(5050*ms, workerrpc.CodeOK, ms)
			s.attempt(0, 5002*ms, "b", "preview", "pay-preview", "x")(5040*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 5060*ms, 200, "x")
		}},
		{"attempt within a longer drain grace", nil, func(s *captureBuilder) {
			s.Config.Fleet.DrainGrace = config.Duration(10 * time.Second)
			c := s.request(0, 1500*ms, "preview", "x")
			s.attempt(0, 1501*ms, "c", "preview", "pay-preview", "x")(1510*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 1511*ms, 200, "x")
		}},
		{"keyed retried in another zone", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 900*ms, "transfer", "x")
			s.attempt(0, 901*ms, "a", "transfer", "bank-transfer", "x")(910*ms, workerrpc.CodeFailed, ms)
			s.attempt(0, 911*ms, "c", "transfer", "bank-transfer", "x")(920*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 921*ms, 200, "x")
		}},
		{"keyed retried outside its window", []int{2}, func(s *captureBuilder) {
			s.Config.Fleet.Types[1].DedupWindow = config.Duration(100 * ms)
			c := s.request(0, 900*ms, "transfer", "x")
			s.attempt(0, 901*ms, "a", "transfer", "bank-transfer", "x")(990*ms, workerrpc.CodeFailed, ms)
			s.attempt(0, 1002*ms, "b", "transfer", "bank-transfer", "x")(1020*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 1021*ms, 200, "x")
		}},
		{"attempt after the drain grace", []int{3}, func(s *captureBuilder) {
			c := s.request(0, 1500*ms, "preview", "x")
			s.attempt(0, 1501*ms, "c", "preview", "pay-preview", "x")(1510*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 1511*ms, 200, "x")
		}},
		{"load request after the drain grace", []int{3}, func(s *captureBuilder) {
			s.requestLoad(1600*ms, "c", 99)
		}},
		{"attempt to a worker missing from a complete list", []int{3}, func(s *captureBuilder) {
			s.deliverComplete(1, 3000*ms, entry("a", "z1", registry.InService, -time.Hour),
				entry("b", "z1", registry.InService, 1990*ms))
			c := s.request(1, 3600*ms, "preview", "x")
			s.attempt(1, 3601*ms, "c", "preview", "pay-preview", "x")(3610*ms, workerrpc.CodeOK, ms)
			s.respond(1, c, 3611*ms, 200, "x")
		}},
		{"worker overloaded by one gateway while warming up", []int{4}, func(s *captureBuilder) {
			addColdOverload(s, func(int) int { return 0 })
		}},
		{"worker overloaded by two gateways while warming up", []int{4}, func(s *captureBuilder) {
			addColdOverload(s, func(i int) int { return i % 2 })
		}},
		{"load requests over the limit", []int{5}, func(s *captureBuilder) {
			for i := range 3 {
				s.requestLoad(time.Duration(10+i)*time.Second/10*10, "a", i)
			}
			for i := range 3 {
				s.requestLoad(20*time.Second+time.Duration(i)*ms, "a", i)
			}
		}},
		{"load requests after the requests that allowed them left the window", []int{5}, func(s *captureBuilder) {
			for i := range 8 {
				c := s.request(0, 30*time.Second+time.Duration(i)*ms, "preview", fmt.Sprint("x", i))
				s.respond(0, c, 30100*ms, 200, fmt.Sprint("x", i))
			}
			for i := range 6 { // eight requests allow six load requests, but only within one second
				s.requestLoad(31100*ms+time.Duration(i)*ms, "a", i)
			}
		}},
	} {
		s := newCaptureBuilder(t)
		addOrdinaryTraffic(s)
		m.edit(s)
		verdict, err := checker.Check(s.Input)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		if !slices.Equal(verdict.ViolatedRules(), m.rules) {
			t.Errorf("%s: rules %v violated, want %v: %v", m.name, verdict.ViolatedRules(), m.rules, verdict.Violations)
		}
		dir := t.TempDir() // saved and loaded, the input must get the same verdict
		if err := checker.Save(dir, s.Input); err != nil {
			t.Fatal(err)
		}
		again, err := checker.Load(dir)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		if second, err := checker.Check(again); err != nil || fmt.Sprint(second) != fmt.Sprint(verdict) {
			t.Errorf("%s: verdict after saving and loading: %v, error %v", m.name, second, err)
		}
	}
}

// addColdOverload sends 3 s of work within a second to b, which has just started with a fifth of one core.
func addColdOverload(s *captureBuilder, gateway func(int) int) {
	for i := range 30 {
		id := fmt.Sprint("push", i)
		at := 2600*ms + time.Duration(i)*10*ms
		conn := s.request(gateway(i), at, "preview", id)
		s.attempt(gateway(i), at+ms, "b", "preview", "pay-preview", id)(at+200*ms, workerrpc.CodeOK, 100*ms)
		s.respond(gateway(i), conn, at+201*ms, 200, id)
	}
}

// TestTornAndForeignCaptures checks that a truncated capture, as a crash leaves it, is read up to its last complete
// record and reported as torn, and that a file of another format is rejected.
func TestTornAndForeignCaptures(t *testing.T) {
	var b bytes.Buffer
	out, err := capture.NewWriter(&b, capture.Header{Incarnation: "f"})
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 1000 { // several compressed blocks
		data := make([]byte, 1000)
		for j := range data {
			data[j] = byte(random.Uint32())
		}
		out.Add(capture.Record{Kind: capture.Read, ConnID: uint64(i), Data: data})
	}
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
	complete, half := b.Bytes(), b.Bytes()[:b.Len()/2]
	if _, records, torn, err := capture.ReadAll(bytes.NewReader(complete)); err != nil || torn || len(records) != 1000 {
		t.Errorf("complete capture: got %d records, torn %v, error %v; want 1000, false, nil", len(records), torn, err)
	}
	if _, records, torn, err := capture.ReadAll(bytes.NewReader(half)); err != nil || !torn || len(records) < 100 {
		t.Errorf("truncated capture: got %d records, torn %v, error %v; want at least 100, true", len(records), torn, err)
	}
	if _, _, _, err := capture.ReadAll(strings.NewReader("something else")); err == nil {
		t.Error("a file that is not a capture was accepted")
	}
}
