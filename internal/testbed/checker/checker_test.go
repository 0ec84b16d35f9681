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

// captureBuilder writes the captures of front ends by hand.
type captureBuilder struct {
	checker.Input
	t    *testing.T
	conn uint64
	seq  uint64
}

var base = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func entry(name, zone string, s registry.State, started time.Duration) registry.Entry {
	return registry.Entry{Name: name, Addr: "127.0.0.1:1", Zone: zone, Cell: "0", Cores: 1, State: s, Started: base.Add(started)}
}

// newCaptureBuilder starts two front ends over workers a and b of one zone, and c of another.
func newCaptureBuilder(t *testing.T) *captureBuilder {
	f, err := fleetconfig.Default()
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet.LoadPolicy.RateLimit = fleetconfig.LoadRateLimit{Window: config.Duration(time.Second), Burst: 2, PerRequest: 0.5}
	s := &captureBuilder{t: t, Input: checker.Input{Config: f, ClockBase: base, End: time.Minute,
		Captures: []checker.GatewayCapture{{Name: "f0"}, {Name: "f1", Index: 1}}}}
	for i := range s.Captures {
		s.deliver(i, 0, true, entry("a", "z1", registry.InService, -time.Hour), entry("b", "z1", registry.InService, -time.Hour),
			entry("c", "z2", registry.InService, -time.Hour))
	}
	return s
}

func (s *captureBuilder) deliver(front int, at time.Duration, whole bool, entries ...registry.Entry) {
	s.Deliveries = append(s.Deliveries, checker.Delivery{Gateway: s.Captures[front].Name, At: at, Event: registry.WatchEvent{Complete: whole, Entries: entries}})
}

func (s *captureBuilder) record(front int, r capture.Record) {
	s.Captures[front].Records = append(s.Captures[front].Records, r)
}

func (s *captureBuilder) openConn() uint64 { s.conn++; return s.conn }

// request sends an event of a function; it returns its connection.
func (s *captureBuilder) request(front int, at time.Duration, function, id string) uint64 {
	c := s.openConn()
	s.record(front, capture.Record{Kind: capture.Read, ConnID: c, Side: capture.Client, At: at, Data: fmt.Appendf(nil,
		"POST /v1/functions/%s/invocations HTTP/1.1\r\nHost: x\r\nce-id: %s\r\nce-source: s\r\nPrefer: wait=2\r\nContent-Length: 1\r\n\r\nx",
		function, id)})
	return c
}

func (s *captureBuilder) respond(front int, c uint64, at time.Duration, status int, event string) {
	s.record(front, capture.Record{Kind: capture.Written, ConnID: c, Side: capture.Client, At: at, Data: fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\nLupin-Event: %s\r\nContent-Length: 2\r\n\r\nok", status, http.StatusText(status), event)})
}

func (s *captureBuilder) frame(front int, kind capture.Kind, c uint64, worker string, at time.Duration, body any) {
	b, err := workerrpc.AppendFrame(nil, body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.record(front, capture.Record{Kind: kind, ConnID: c, Side: capture.Worker, Peer: worker, At: at, Data: b})
}

// attempt sends a launch on a connection of its own; it returns how to answer it.
func (s *captureBuilder) attempt(front int, at time.Duration, worker, function, kind, event string) func(at time.Duration, code workerrpc.Code, worked time.Duration) {
	c := s.openConn()
	s.seq++
	seq := s.seq
	s.frame(front, capture.Written, c, worker, at, &workerrpc.Attempt{Seq: seq, RequestID: event, Function: function, Type: kind})
	return func(at time.Duration, code workerrpc.Code, worked time.Duration) {
		s.frame(front, capture.Read, c, worker, at, &workerrpc.AttemptResult{Seq: seq, RequestID: event, Code: code, CPUTime: worked})
	}
}

// addOrdinaryTraffic is a day without a breach that comes close to each rule.
func addOrdinaryTraffic(s *captureBuilder) {
	c := s.request(0, 100*ms, "gross-salary", "1") // at-most-once, turned away twice, then handled
	s.attempt(0, 101*ms, "a", "gross-salary", "salary-release", "e1")(105*ms, workerrpc.CodeOverloaded, 0)
	s.attempt(0, 106*ms, "c", "gross-salary", "salary-release", "e1")(110*ms, workerrpc.CodeNotStarted, 0)
	s.attempt(0, 111*ms, "b", "gross-salary", "salary-release", "e1")(150*ms, workerrpc.CodeOK, 10*ms)
	s.respond(0, c, 151*ms, 200, "e1")
	c = s.request(0, 200*ms, "transfer", "2") // keyed by zone, failed, again in the zone and window
	s.attempt(0, 201*ms, "a", "transfer", "bank-transfer", "e2")(205*ms, workerrpc.CodeFailed, ms)
	s.attempt(0, 206*ms, "b", "transfer", "bank-transfer", "e2")(230*ms, workerrpc.CodeOK, ms)
	s.respond(0, c, 231*ms, 200, "e2")
	c = s.request(1, 300*ms, "preview", "3") // redeliverable, failed and deferred
	s.attempt(1, 301*ms, "c", "preview", "pay-preview", "e3")(305*ms, workerrpc.CodeFailed, ms)
	s.respond(1, c, 306*ms, 503, "e3")
	c = s.request(1, 320*ms, "gross-salary", "4") // at-most-once, failed and dead-lettered
	s.attempt(1, 321*ms, "c", "gross-salary", "salary-release", "e4")(325*ms, workerrpc.CodeFailed, ms)
	s.respond(1, c, 326*ms, 502, "e4")
	c = s.request(1, 340*ms, "preview", "5") // the client leaves
	s.record(1, capture.Record{Kind: capture.Closed, ConnID: c, Side: capture.Client, At: 400 * ms, ByPeer: true})
	for i, at := range []time.Duration{500 * ms, 501 * ms} {
		s.frame(0, capture.Written, s.openConn(), "a", at, &workerrpc.LoadRequest{Seq: uint64(i), Function: "preview", Replicas: 1})
	}
	s.deliver(0, 1000*ms, false, entry("c", "z2", registry.Draining, -time.Hour))
	c = s.request(0, 1400*ms, "preview", "6") // within the grace
	s.attempt(0, 1450*ms, "c", "preview", "pay-preview", "e6")(1460*ms, workerrpc.CodeOK, ms)
	s.respond(0, c, 1461*ms, 200, "e6")
	for i := range s.Captures {
		s.deliver(i, 2000*ms, false, entry("b", "z1", registry.InService, 1990*ms))
	}
	for i := range 10 { // 100 ms of work in a second at a worker that stands about 500 ms
		id := fmt.Sprint("cold", i)
		at := 2100*ms + time.Duration(i)*50*ms
		c = s.request(i%2, at, "preview", id)
		s.attempt(i%2, at+ms, "b", "preview", "pay-preview", id)(at+20*ms, workerrpc.CodeOK, 10*ms)
		s.respond(i%2, c, at+21*ms, 200, id)
	}
}

// Every mutant is an edit of an ordinary day that breaks one rule; the checker names that rule and no other.
func TestMutantsAreCaught(t *testing.T) {
	for _, m := range []struct {
		name  string
		rules []int
		edit  func(s *captureBuilder)
	}{
		{"none", nil, func(*captureBuilder) {}},
		{"no answer", []int{1}, func(s *captureBuilder) { s.request(0, 5*time.Second, "preview", "x") }},
		{"answered late", []int{1}, func(s *captureBuilder) {
			s.respond(0, s.request(0, 5*time.Second, "preview", "x"), 7300*ms, 200, "x")
		}},
		{"answered twice", []int{1}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "preview", "x")
			s.respond(0, c, 5100*ms, 200, "x")
			s.respond(0, c, 5200*ms, 200, "x")
		}},
		{"an empty 200 to a client taken for gone", []int{1}, func(s *captureBuilder) {
			s.respond(0, s.request(0, 5*time.Second, "preview", "x"), 5100*ms, 200, "")
		}},
		{"launched after the answer", []int{1}, func(s *captureBuilder) {
			s.respond(0, s.request(0, 5*time.Second, "preview", "x"), 5100*ms, 503, "x")
			s.attempt(0, 5200*ms, "a", "preview", "pay-preview", "x")(5300*ms, workerrpc.CodeOK, ms)
		}},
		{"connection closed instead of an answer", []int{1}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "preview", "x")
			s.record(0, capture.Record{Kind: capture.Closed, ConnID: c, Side: capture.Client, At: 5100 * ms})
		}},
		{"at-most-once again after an error", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "gross-salary", "x")
			s.attempt(0, 5001*ms, "a", "gross-salary", "salary-release", "x")(5010*ms, workerrpc.CodeFailed, ms)
			s.attempt(0, 5011*ms, "b", "gross-salary", "salary-release", "x")(5020*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 5021*ms, 200, "x")
		}},
		{"at-most-once deferred while outstanding", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "gross-salary", "x")
			s.attempt(0, 5001*ms, "a", "gross-salary", "salary-release", "x")
			s.respond(0, c, 5100*ms, 503, "x")
		}},
		{"two launches at once", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 5*time.Second, "preview", "x")
			s.attempt(0, 5001*ms, "a", "preview", "pay-preview", "x")(5050*ms, workerrpc.CodeOK, ms)
			s.attempt(0, 5002*ms, "b", "preview", "pay-preview", "x")(5040*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 5060*ms, 200, "x")
		}},
		{"two launches at once, allowed", nil, func(s *captureBuilder) {
			s.Config.Fleet.Policy.Hedging = true
			c := s.request(0, 5*time.Second, "preview", "x")
			s.attempt(0, 5001*ms, "a", "preview", "pay-preview", "x")(5050*ms, workerrpc.CodeOK, ms)
			s.attempt(0, 5002*ms, "b", "preview", "pay-preview", "x")(5040*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 5060*ms, 200, "x")
		}},
		{"launched after a longer grace", nil, func(s *captureBuilder) {
			s.Config.Fleet.DrainGrace = config.Duration(10 * time.Second)
			c := s.request(0, 1500*ms, "preview", "x")
			s.attempt(0, 1501*ms, "c", "preview", "pay-preview", "x")(1510*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 1511*ms, 200, "x")
		}},
		{"keyed in another zone", []int{2}, func(s *captureBuilder) {
			c := s.request(0, 900*ms, "transfer", "x")
			s.attempt(0, 901*ms, "a", "transfer", "bank-transfer", "x")(910*ms, workerrpc.CodeFailed, ms)
			s.attempt(0, 911*ms, "c", "transfer", "bank-transfer", "x")(920*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 921*ms, 200, "x")
		}},
		{"keyed outside its window", []int{2}, func(s *captureBuilder) {
			s.Config.Fleet.Types[1].DedupWindow = config.Duration(100 * ms)
			c := s.request(0, 900*ms, "transfer", "x")
			s.attempt(0, 901*ms, "a", "transfer", "bank-transfer", "x")(990*ms, workerrpc.CodeFailed, ms)
			s.attempt(0, 1002*ms, "b", "transfer", "bank-transfer", "x")(1020*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 1021*ms, 200, "x")
		}},
		{"launched after a drain", []int{3}, func(s *captureBuilder) {
			c := s.request(0, 1500*ms, "preview", "x")
			s.attempt(0, 1501*ms, "c", "preview", "pay-preview", "x")(1510*ms, workerrpc.CodeOK, ms)
			s.respond(0, c, 1511*ms, 200, "x")
		}},
		{"load ordered after a drain", []int{3}, func(s *captureBuilder) {
			s.frame(0, capture.Written, s.openConn(), "c", 1600*ms, &workerrpc.LoadRequest{Seq: 99, Function: "preview", Replicas: 1})
		}},
		{"launched to a worker that a whole list left out", []int{3}, func(s *captureBuilder) {
			s.deliver(1, 3000*ms, true, entry("a", "z1", registry.InService, -time.Hour), entry("b", "z1", registry.InService, 1990*ms))
			c := s.request(1, 3600*ms, "preview", "x")
			s.attempt(1, 3601*ms, "c", "preview", "pay-preview", "x")(3610*ms, workerrpc.CodeOK, ms)
			s.respond(1, c, 3611*ms, 200, "x")
		}},
		{"a cold worker pushed by one front end", []int{4}, func(s *captureBuilder) { addColdOverload(s, func(int) int { return 0 }) }},
		{"a cold worker pushed by all together", []int{4}, func(s *captureBuilder) { addColdOverload(s, func(i int) int { return i % 2 }) }},
		{"orders past the ration", []int{5}, func(s *captureBuilder) {
			for i := range 3 {
				s.frame(0, capture.Written, s.openConn(), "a", time.Duration(10+i)*time.Second/10*10, &workerrpc.LoadRequest{Seq: uint64(i), Function: "preview", Replicas: 1})
			}
			for i := range 3 {
				s.frame(0, capture.Written, s.openConn(), "a", 20*time.Second+time.Duration(i)*ms, &workerrpc.LoadRequest{Seq: uint64(i), Function: "preview", Replicas: 1})
			}
		}},
		{"orders after the events that paid for them have aged", []int{5}, func(s *captureBuilder) {
			for i := range 8 {
				c := s.request(0, 30*time.Second+time.Duration(i)*ms, "preview", fmt.Sprint("x", i))
				s.respond(0, c, 30100*ms, 200, fmt.Sprint("x", i))
			}
			for i := range 6 { // eight events pay for six orders, but only within their second
				s.frame(0, capture.Written, s.openConn(), "a", 31100*ms+time.Duration(i)*ms, &workerrpc.LoadRequest{Seq: uint64(i), Function: "preview", Replicas: 1})
			}
		}},
	} {
		s := newCaptureBuilder(t)
		addOrdinaryTraffic(s)
		m.edit(s)
		v, err := checker.Check(s.Input)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		if !slices.Equal(v.ViolatedRules(), m.rules) {
			t.Errorf("%s: rules %v broken, want %v: %v", m.name, v.ViolatedRules(), m.rules, v.Violations)
		}
		dir := t.TempDir() // a kept folder is judged alike
		if err := checker.Save(dir, s.Input); err != nil {
			t.Fatal(err)
		}
		again, err := checker.Load(dir)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		if w, err := checker.Check(again); err != nil || fmt.Sprint(w) != fmt.Sprint(v) {
			t.Errorf("%s: judged from its folder: %v, %v", m.name, w, err)
		}
	}
}

// addColdOverload sends 3 s of work within a second to b, which has just started with a fifth of one core.
func addColdOverload(s *captureBuilder, front func(int) int) {
	for i := range 30 {
		id := fmt.Sprint("push", i)
		at := 2600*ms + time.Duration(i)*10*ms
		c := s.request(front(i), at, "preview", id)
		s.attempt(front(i), at+ms, "b", "preview", "pay-preview", id)(at+200*ms, workerrpc.CodeOK, 100*ms)
		s.respond(front(i), c, at+201*ms, 200, id)
	}
}

// A capture that ends inside a record is judged up to there; one that is no capture is refused with a reason.
func TestTornAndForeignCaptures(t *testing.T) {
	var b bytes.Buffer
	f, err := capture.NewWriter(&b, capture.Header{Incarnation: "f"})
	if err != nil {
		t.Fatal(err)
	}
	src := rand.New(rand.NewPCG(1, 2))
	for i := range 1000 { // several compressed blocks
		data := make([]byte, 1000)
		for j := range data {
			data[j] = byte(src.Uint32())
		}
		f.Add(capture.Record{Kind: capture.Read, ConnID: uint64(i), Data: data})
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if _, records, torn, err := capture.ReadAll(bytes.NewReader(b.Bytes())); err != nil || torn || len(records) != 1000 {
		t.Errorf("%d records, torn %v, %v", len(records), torn, err)
	}
	if _, records, torn, err := capture.ReadAll(bytes.NewReader(b.Bytes()[:b.Len()/2])); err != nil || !torn || len(records) < 100 {
		t.Errorf("%d records, torn %v, %v", len(records), torn, err)
	}
	if _, _, _, err := capture.ReadAll(strings.NewReader("something else")); err == nil {
		t.Error("a foreign file was taken")
	}
}
