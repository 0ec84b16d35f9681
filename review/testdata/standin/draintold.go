package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// payoutSettings are the settings of a small deployment with the figures of payout of riga-claims: at most once.
const payoutSettings = `fleet:
  types:
    - {name: payout, effect: at-most-once, target: 600ms, max-age: 3s, benefit: 5}
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
  - {name: payout-0, type: payout, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: payout-1, type: payout, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: payout-2, type: payout, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: payout-3, type: payout, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: payout-4, type: payout, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
  - {name: payout-5, type: payout, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
front:
  listen: 127.0.0.1:8711
  list: http://REGISTRY
  limits: {header: 16KiB, body: 1MiB, connections: 4000, in-hand: 4000, read: 5s, write: 5s, idle: 60s}
  link: {dial: 250ms, queue: 1s, stall: 2s, calls: 512, bytes: 32MiB}
`

const (
	payouts      = 6
	payoutWork   = "140ms"
	payoutEach   = 25 * time.Millisecond
	drainToStop  = 4 * time.Second // from the operator's drain to the stop of the machine; requests run for 0.14 s
	afterTheStop = 2 * time.Second
)

// watchList watches the list of the registry as a gateway does, and calls told with the state of each worker.
func (f *ownFleet) watchList(told func(worker, state string)) {
	response, err := http.Get("http://" + f.registry + "/v1/list?front=observer")
	check(err)
	go func() {
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			var event struct {
				Entries []struct{ Name, State string }
			}
			if json.Unmarshal(lines.Bytes(), &event) != nil {
				continue // an empty line shows that the stream is alive
			}
			for _, entry := range event.Entries {
				told(entry.Name, entry.State)
			}
		}
	}()
}

// playDrainTold drains a worker as operators do, waits until it should be idle, and stops its machine.
func playDrainTold(h *harness) (broken []string) {
	functions := map[string]string{}
	for n := range payouts {
		functions[fmt.Sprintf("payout-%d", n)] = "payout"
	}
	f := startOwnFleet(h, payoutSettings, 4, functions)
	workers, logs := map[string]*process{}, []*effectLog(nil)
	flags := []string{"--running", "9", "--waiting", "33"}
	if lease := os.Getenv("LEASE"); lease != "" { // a long one shows that the renewals undo the drain
		flags = append(flags, "--lease", lease)
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		p, log := f.startWorker(name, freeAddr(), flags...)
		workers[name], logs = p, append(logs, log)
	}
	gateway := f.startFrontEnd(0, 1)
	effects, stopFollowing := followEffects(h, logs)
	var mu sync.Mutex
	toldDraining := map[string]time.Time{}
	f.watchList(func(worker, state string) {
		mu.Lock()
		defer mu.Unlock()
		h.logf("the list tells: %s is %s", worker, state)
		if _, told := toldDraining[worker]; state == "draining" && !told {
			toldDraining[worker] = time.Now()
		}
	})
	time.Sleep(6 * time.Second) // the slow start of the workers

	stop, sentAt := make(chan struct{}), map[string]time.Time{}
	var clients, sender sync.WaitGroup
	sender.Go(func() {
		ticker := time.NewTicker(payoutEach)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			name := fmt.Sprintf("payout-%04d", n)
			mu.Lock()
			sentAt[name] = time.Now()
			mu.Unlock()
			f.send(&clients, gateway, fmt.Sprintf("payout-%d", n%payouts), name, payoutWork)
		}
	})
	time.Sleep(5 * time.Second)
	victim := effects.busiest()
	if victim == "" {
		panic("no request was served")
	}
	if h.trouble {
		h.logf("the operator drains %s", victim)
		h.runTool("bin/lpctl", "workers", "--list", "http://"+f.registry, "--drain", victim)
		time.Sleep(drainToStop)
		h.logf("the operator stops the machine of %s", victim)
		workers[victim].signal(syscall.SIGKILL)
		time.Sleep(afterTheStop)
	} else {
		time.Sleep(drainToStop + afterTheStop)
	}
	close(stop)
	sender.Wait()
	clients.Wait()
	stopFollowing()
	served := 0
	for name, answer := range f.answers {
		if answer == name+" released" {
			served++
		}
	}
	h.logf("%d of %d requests were served", served, len(sentAt))
	if !h.trouble && served < len(sentAt)*9/10 {
		panic("fewer than nine in ten requests were served without the disruption")
	}
	told, drained := toldDraining[victim]
	if h.trouble && !drained {
		panic("the list has not told the drain")
	}
	for _, name := range slices.Sorted(maps.Keys(sentAt)) {
		sent := sentAt[name]
		for i, worker := range effects.workersOf(name) {
			after := effects.times[name][i].Sub(told)
			if worker == victim && drained && sent.After(told.Add(drainGrace+socketSlack)) {
				broken = append(broken, fmt.Sprintf("%s ran %s %v after the list told that it drains; the request was sent %v after that",
					worker, name, after.Round(time.Millisecond), sent.Sub(told).Round(time.Millisecond)))
			}
		}
	}
	return broken
}

// busiest returns the worker at which the most effects happened.
func (c *effectCounter) busiest() (worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, where := range c.where {
		for _, name := range where {
			counts[name]++
			if counts[name] > counts[worker] {
				worker = name
			}
		}
	}
	return worker
}
