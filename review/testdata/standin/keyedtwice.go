package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// keyedSettings are the settings of a small deployment: its keyed type has the figures of riga-claims (workers of one
// cell drop a repeat for 2 s, clients wait for 3 s), its other type those of a class of lahore-payroll.
const keyedSettings = `fleet:
  types:
    - {name: approve, effect: keyed, group: cell, window: 2s, target: 1s, max-age: 3s, benefit: 5}
    - {name: pay-preview, effect: redeliverable, target: 2500ms, max-age: 6s, benefit: 3}
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
  - {name: approve-claim, type: approve, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: preview-0, type: pay-preview, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: preview-1, type: pay-preview, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: preview-2, type: pay-preview, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: preview-3, type: pay-preview, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: preview-4, type: pay-preview, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: preview-5, type: pay-preview, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
front:
  listen: 127.0.0.1:8711
  list: http://REGISTRY
  limits: {header: 16KiB, body: 1MiB, connections: 4000, in-hand: 4000, read: 5s, write: 5s, idle: 60s}
  link: {dial: 250ms, queue: 1s, stall: 2s, calls: 512, bytes: 32MiB}
`

// previews is the number of functions that the other requests call.
const previews = 6

// effectCounter follows the effects at all workers.
type effectCounter struct {
	mu    sync.Mutex
	times map[string][]time.Time // by name
	where map[string][]string    // workers by name
}

func followEffects(h *harness, logs []*effectLog) (c *effectCounter, stop func()) {
	c = &effectCounter{times: map[string][]time.Time{}, where: map[string][]string{}}
	ended := make(chan struct{})
	var follower sync.WaitGroup
	follower.Go(func() {
		for {
			for _, l := range logs {
				for _, name := range l.read() {
					c.mu.Lock()
					c.times[name] = append(c.times[name], time.Now())
					c.where[name] = append(c.where[name], l.worker)
					c.mu.Unlock()
					h.logf("effect %s at %s", shorten(name), l.worker)
				}
			}
			select {
			case <-ended:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return c, func() { close(ended); follower.Wait() }
}

// workersOf returns the workers at which an effect happened.
func (c *effectCounter) workersOf(name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.where[name]...)
}

// send sends a request in the background and records the answer.
func (f *ownFleet) send(clients *sync.WaitGroup, gateway, function, name, work string) {
	clients.Go(func() {
		f.logf("sent %s (%s, work %s)", name, function, work)
		a := invoke(context.Background(), gateway, function, name+" "+work,
			map[string]string{"Idempotency-Key": name, "Lupin-Tenant": "ministry-a"})
		f.logf("answer to %s: %d %s %v", name, a.status, a.body, a.err)
		f.mu.Lock()
		f.answers[name] = a.body
		f.mu.Unlock()
	})
}

// logAttempts copies into the record what a gateway logged about the attempts of a request that was not completed.
func (f *ownFleet) logAttempts(gateway, name string) {
	_, id, found := strings.Cut(f.answers[name], `"event":"`)
	if !found {
		return
	}
	id, _, _ = strings.Cut(id, `"`)
	text, err := os.ReadFile(filepath.Join(f.folder, gateway+".log"))
	check(err)
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"request":"`+id+`"`) && strings.Contains(line, `"attempt":`) {
			f.logf("log of %s: %s", gateway, strings.TrimSpace(line))
		}
	}
}

// playKeyedTwice sends keyed requests through one gateway while requests of another gateway take the slots of the
// workers, and kills the worker that runs a keyed request before it answers.
func playKeyedTwice(h *harness) (broken []string) {
	functions := map[string]string{"approve-claim": "approve"}
	for n := range previews {
		functions[fmt.Sprintf("preview-%d", n)] = "pay-preview"
	}
	f := startOwnFleet(h, keyedSettings, 4, functions)
	workers, addrs, logs := map[string]*process{}, map[string]string{}, []*effectLog(nil)
	flags := []string{"--running", "4", "--waiting", "33"}
	for _, name := range []string{"w1", "w2"} {
		addrs[name] = freeAddr()
		p, log := f.startWorker(name, addrs[name], flags...)
		workers[name], logs = p, append(logs, log)
	}
	approvals, others := f.startFrontEnd(0, 2), f.startFrontEnd(1, 2)
	effects, stop := followEffects(h, logs)
	for round := range 3 {
		time.Sleep(6 * time.Second) // the slow start of the workers
		var clients sync.WaitGroup
		f.send(&clients, approvals, "approve-claim", fmt.Sprintf("first-%d", round), "200ms")
		for n := range previews {
			f.send(&clients, others, fmt.Sprintf("preview-%d", n), fmt.Sprintf("early-%d-%d", round, n), "900ms")
		}
		clients.Wait()
		name := fmt.Sprintf("claim-%d", round)
		began := time.Now()
		f.send(&clients, approvals, "approve-claim", name, "1900ms")
		time.Sleep(1400 * time.Millisecond)
		for n := range 2 * previews {
			f.send(&clients, others, fmt.Sprintf("preview-%d", n%previews), fmt.Sprintf("late-%d-%d", round, n), "900ms")
		}
		time.Sleep(150 * time.Millisecond)
		ran := effects.workersOf(name)
		if len(ran) != 1 {
			h.logf("request %s ran at %v so far, not at one worker: round skipped", name, ran)
			clients.Wait()
			continue
		}
		if h.trouble {
			h.logf("killing %s, %v after %s was sent", ran[0], time.Since(began).Round(time.Millisecond), name)
			workers[ran[0]].signal(syscall.SIGKILL)
		}
		clients.Wait()
		time.Sleep(500 * time.Millisecond)
		if all := effects.workersOf(name); len(all) > 1 {
			f.logAttempts("gateway-0", name)
			broken = append(broken, fmt.Sprintf("the effect of the one request %s happened %d times, at %v", name, len(all), all))
		}
		if h.trouble {
			<-workers[ran[0]].done
			workers[ran[0]], _ = f.startWorker(ran[0], addrs[ran[0]], flags...)
		}
	}
	stop()
	return broken
}
