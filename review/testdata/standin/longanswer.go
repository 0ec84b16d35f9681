package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// longSettings are the settings of a small deployment with the figures of slot-change of ljubljana-main: keyed, all
// workers drop a repeat for 5 s, given up after 2.5 s.
const longSettings = `fleet:
  types:
    - {name: slot-change, effect: keyed, group: all, window: 5s, target: 1s, max-age: 2500ms, benefit: 3}
  tenants:
    - {name: obalne-sole, share: 100}
  loading:
    orders: true
    on-miss: load
    keep: 15s
    order-limit: 10s
    ration: {within: 10s, free: 4, share: 0.3}
  cold: {from: 0.3, warm-after: 5600ms, fall-multiple: 4, fall: 1s}
  allowed: {launches: 5, cancel: true, probe: true, retry-after: 500ms}
  answer-slack: 250ms
  stop-sending-within: 500ms
  ask-list-within: 10s
  quantum: 2ms
functions:
  - {name: slot-change, type: slot-change, tenant: obalne-sole, lanes: 4, memory: 64MiB, load-time: 400ms}
front:
  listen: 127.0.0.1:8711
  list: http://REGISTRY
  limits: {header: 16KiB, body: 1MiB, connections: 4000, in-hand: 4000, read: 5s, write: 5s, idle: 60s}
  link: {dial: 250ms, queue: 1s, stall: 2s, calls: 512, bytes: 32MiB}
`

const (
	longRounds = 8
	longWork   = "200ms"
	longBytes  = 100 << 10 // of the long names, and so of the answers to them
	shortBytes = 10 << 10
	answerHeld = 150 * time.Millisecond // from the first bytes of an answer to the reset
)

// answerCutter resets the connection on which the first answer with a marked name comes.
type answerCutter struct {
	*harness
	mu      sync.Mutex
	markers map[string]bool // true: the answer is still to be cut
}

// cutNext makes the next answer with a marker end its connection.
func (c *answerCutter) cutNext(marker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markers[marker] = true
}

// pending reports whether an answer is still to be cut.
func (c *answerCutter) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pending := range c.markers {
		if pending {
			return true
		}
	}
	return false
}

func (c *answerCutter) watch(worker string) func(sentBytes) bool {
	return func(sent sentBytes) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for marker, pending := range c.markers {
			if pending && sent.contains(marker) {
				c.markers[marker] = false
				time.Sleep(answerHeld) // the connection waits, no other one is watched meanwhile
				c.logf("the connection to %s is reset under its answer to %s", worker, marker)
				return true
			}
		}
		return false
	}
}

// playLongAnswer sends keyed requests whose answers are long and short, and resets the connection to the worker under
// the first answer to each. A client that is answered as served must get the answer of the function.
func playLongAnswer(h *harness) (broken []string) {
	f := startOwnFleet(h, longSettings, 4, map[string]string{"slot-change": "slot-change"})
	cutter := &answerCutter{harness: h, markers: map[string]bool{}}
	var logs []*effectLog
	for _, name := range []string{"w1", "w2"} {
		w := f.newRelayedWorker(name, "--running", "9", "--waiting", "33")
		w.watchAnswers = cutter.watch(name)
		w.start()
		logs = append(logs, w.effects)
	}
	gateway := f.startFrontEnd(0, 1)
	_, stop := followEffects(h, logs)
	time.Sleep(6 * time.Second) // the slow start of the workers
	whole := 0
	for round := range longRounds {
		for kind, size := range map[string]int{"long": longBytes, "short": shortBytes} {
			marker := fmt.Sprintf("%s-%d.", kind, round)
			name := marker + strings.Repeat("x", size-len(marker))
			if h.trouble {
				cutter.cutNext(marker)
			}
			h.logf("sent %s of %d bytes (work %s)", marker, len(name), longWork)
			a := invoke(context.Background(), gateway, "slot-change", name+" "+longWork,
				map[string]string{"Idempotency-Key": marker, "Lupin-Tenant": "obalne-sole"})
			h.logf("answer to %s: %d, %d bytes: %s %v", marker, a.status, len(a.body), shorten(a.body), a.err)
			want := name + " released"
			if kind == "long" && a.status == 200 && a.body == want {
				whole++
			}
			if a.err == nil && a.status == 200 && a.body != want { // the client can tell an answer that is cut
				broken = append(broken, fmt.Sprintf("%s was answered 200 with %d bytes %q; the function's answer has %d bytes",
					marker, len(a.body), shorten(a.body), len(want)))
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	stop()
	if !h.trouble && whole < longRounds {
		panic(fmt.Sprintf("%d of %d long requests were served without the disruption", whole, longRounds))
	}
	if h.trouble && cutter.pending() {
		panic("an answer did not come, and its connection was not reset")
	}
	return broken
}
