package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateSettings are the settings of a small deployment with the figures of approve of riga-claims: keyed, the workers of
// one cell drop a repeat for 2 s, given up after 3 s, connections come up within 250 ms.
const lateSettings = `fleet:
  types:
    - {name: approve, effect: keyed, group: cell, window: 2s, target: 1s, max-age: 3s, benefit: 5}
  tenants:
    - {name: ministry-a, share: 100}
  loading:
    orders: true
    on-miss: load
    keep: 8200ms
    order-limit: 10s
    ration: {within: 5s, free: 6, share: 0.3}
  cold: {from: 0.26, warm-after: 5100ms, fall-multiple: 2.5, fall: 1500ms}
  allowed: {launches: 6, cancel: true, probe: true, retry-after: 500ms}
  answer-slack: 250ms
  stop-sending-within: 500ms
  ask-list-within: 10s
  quantum: 4ms
functions:
  - {name: approve-claim, type: approve, tenant: ministry-a, lanes: 2, memory: 64MiB, load-time: 400ms}
front:
  listen: 127.0.0.1:8711
  list: http://REGISTRY
  limits: {header: 16KiB, body: 1MiB, connections: 4000, in-hand: 4000, read: 5s, write: 5s, idle: 60s}
  link: {dial: 250ms, queue: 1s, stall: 2s, calls: 512, bytes: 32MiB}
`

const (
	keyWindow     = 2 * time.Second // window of lateSettings
	claimWork     = "2300ms"
	resetAfter    = 1880 * time.Millisecond // from the first attempt to the reset of the other worker's connection
	killAfter     = 1930 * time.Millisecond // from the first attempt to the end of its worker
	connectionGap = 200 * time.Millisecond  // time after which the next connection to the other worker comes up
	lateRounds    = 4
	burstRequests = 12
	maxBursts     = 5
)

// sendLog notes when requests were sent to workers.
type sendLog struct {
	*harness
	mu    sync.Mutex
	sends map[string][]sentTo // by name of the request
	names []string
}

type sentTo struct {
	worker string
	at     time.Time
}

// watch notes each request of the names whose name the gateway sends to a worker.
func (l *sendLog) watch(worker string) func(sentBytes) {
	return func(sent sentBytes) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, name := range l.names {
			if sent.contains(name + " ") {
				l.sends[name] = append(l.sends[name], sentTo{worker, time.Now()})
				l.logf("the gateway sends %s to %s", name, worker)
			}
		}
	}
}

func (l *sendLog) follow(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, name)
}

// of returns when and to which workers a request was sent.
func (l *sendLog) of(name string) []sentTo {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sentTo(nil), l.sends[name]...)
}

// countWorkers returns the number of workers at which effects of names with a prefix happened.
func (c *effectCounter) countWorkers(prefix string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	workers := map[string]bool{}
	for name, where := range c.where {
		if strings.HasPrefix(name, prefix) {
			workers[where[0]] = true
		}
	}
	return len(workers)
}

// playLateConnection kills the worker that runs a keyed request, while the connection to the other worker of its cell
// has been reset and the next one comes up late. The gateway must not send the request again after the window.
func playLateConnection(h *harness) (broken []string) {
	f := startOwnFleet(h, lateSettings, 2, map[string]string{"approve-claim": "approve"})
	sends := &sendLog{harness: h, sends: map[string][]sentTo{}}
	workers, logs := map[string]*relayedWorker{}, []*effectLog(nil)
	for _, name := range []string{"w1", "w2"} {
		w := f.newRelayedWorker(name, "--running", "4", "--waiting", "33")
		w.watchRequests = sends.watch(name)
		w.start()
		workers[name], logs = w, append(logs, w.effects)
	}
	gateway := f.startFrontEnd(0, 1)
	effects, stop := followEffects(h, logs)
	played := 0
	for round := range lateRounds {
		time.Sleep(6 * time.Second) // the slow start of the workers
		var clients sync.WaitGroup
		for burst := range maxBursts { // until both workers have loaded the function
			name := fmt.Sprintf("first-%d-%d", round, burst)
			for n := range burstRequests {
				f.send(&clients, gateway, "approve-claim", fmt.Sprintf("%s-%d", name, n), "300ms")
			}
			clients.Wait()
			if effects.countWorkers(name) == len(workers) {
				break
			}
		}
		name := fmt.Sprintf("claim-%d", round)
		sends.follow(name)
		f.send(&clients, gateway, "approve-claim", name, claimWork)
		for end := time.Now().Add(time.Second); len(effects.workersOf(name)) == 0 && time.Now().Before(end); {
			time.Sleep(2 * time.Millisecond)
		}
		first, ran := sends.of(name), effects.workersOf(name)
		if len(first) != 1 || len(ran) != 1 {
			h.logf("request %s was sent %v and ran at %v so far, not once: round skipped", name, first, ran)
			clients.Wait()
			continue
		}
		played++
		victim, other := workers[ran[0]], workers[map[string]string{"w1": "w2", "w2": "w1"}[ran[0]]]
		if h.trouble {
			time.Sleep(time.Until(first[0].at.Add(resetAfter)))
			h.logf("the connection to %s is reset; the next one comes up %v late", other.name, connectionGap)
			other.setLate(connectionGap)
			other.resetAll()
			time.Sleep(time.Until(first[0].at.Add(killAfter)))
			h.logf("killing %s, %v after it got %s", victim.name, time.Since(first[0].at).Round(time.Millisecond), name)
			victim.signal(syscall.SIGKILL)
		}
		clients.Wait()
		time.Sleep(500 * time.Millisecond)
		other.setLate(0)
		f.logAttempts("gateway-0", name)
		f.mu.Lock()
		answer := f.answers[name]
		f.mu.Unlock()
		if !h.trouble && answer != name+" released" {
			panic(name + " was not served without the disruption: " + answer)
		}
		all := effects.workersOf(name)
		for _, s := range sends.of(name)[1:] {
			if after := s.at.Sub(first[0].at); after > keyWindow+socketSlack {
				broken = append(broken, fmt.Sprintf("%s, which ran at %s, was sent again to %s %v after it was first sent; effects at %s",
					name, ran[0], s.worker, after.Round(time.Millisecond), strings.Join(all, ", ")))
			}
		}
		if len(all) > 1 {
			broken = append(broken, fmt.Sprintf("the effect of the one request %s happened %d times, at %v", name, len(all), all))
		}
		if h.trouble {
			<-victim.done
			victim.start()
		}
	}
	stop()
	if played == 0 {
		panic("no round could be played")
	}
	return broken
}
