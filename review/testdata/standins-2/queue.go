package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// approveSettings are the settings of the project's own fleet with the figures of approve of riga-claims: keyed, the
// workers of one rack drop a repeat for 2 s, wanted within 1 s, given up after 3 s.
const approveSettings = `fleet:
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
  cold: {from: 0.26, warm-after: 16s, fall-multiple: 2.5, fall: 1500ms}
  allowed: {launches: 6, cancel: true, probe: true, retry-after: 500ms}
  answer-slack: 250ms
  stop-sending-within: 500ms
  ask-list-within: 10s
  quantum: 2ms
functions:
  - {name: approve, type: approve, tenant: ministry-a, lanes: 4, memory: 64MiB, load-time: 400ms}
front:
  listen: 127.0.0.1:8711
  list: REGISTRY
  limits: {header: 16KiB, body: 1MiB, connections: 4000, in-hand: 4000, read: 5s, write: 5s, idle: 60s}
  link: {dial: 250ms, queue: 1s, stall: 2s, calls: 512, bytes: 32MiB}
`

// effectAt is an effect in the log of a worker's replicas.
type effectAt struct {
	worker int
	at     time.Time
}

// follow notes the effects of all events while the run lasts.
func (fl *fleet) follow() (effectsOf func(event string) []effectAt) {
	var mu sync.Mutex
	all := map[string][]effectAt{}
	read := make([]int, len(fl.workers))
	go func() {
		for ; ; time.Sleep(2 * time.Millisecond) {
			for i := range fl.workers {
				b, _ := os.ReadFile(filepath.Join(fl.dir, fmt.Sprintf("effects-%d", i)))
				end := bytes.LastIndexByte(b, '\n') + 1
				if end < read[i] {
					continue
				}
				for line := range strings.SplitSeq(string(b[read[i]:end]), "\n") {
					if event, found := strings.CutPrefix(line, "effect "); found {
						fl.rec.line("effect of %s at w%d", event, i)
						mu.Lock()
						all[event] = append(all[event], effectAt{i, time.Now()})
						mu.Unlock()
					}
				}
				read[i] = end
			}
		}
	}()
	return func(event string) []effectAt {
		mu.Lock()
		defer mu.Unlock()
		return append([]effectAt(nil), all[event]...)
	}
}

// invoke sends an event with a mark against repeats and returns the status of its answer and the body.
func (fl *fleet) invoke(function, tenant, event string, work time.Duration) (status int, body string) {
	url := "http://" + fl.gatewayAddr[0] + "/v1/functions/" + function + "/invocations"
	r, err := http.NewRequest(http.MethodPost, url, io.NopCloser(strings.NewReader(event+" "+work.String())))
	if err != nil {
		cannotRun("invoke: %v", err)
	}
	r.Header.Set("Lupin-Tenant", tenant)
	r.Header.Set("Idempotency-Key", event)
	fl.rec.line("client sends %s, %v of work", event, work)
	sent := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		fl.rec.line("client: no answer to %s: %v", event, err)
		return 0, ""
	}
	defer answer.Body.Close()
	b, _ := io.ReadAll(answer.Body)
	fl.rec.line("client received %d for %s after %v: %s", answer.StatusCode, event, time.Since(sent).Round(time.Millisecond),
		strings.TrimSpace(string(b)))
	return answer.StatusCode, string(b)
}

// queueCase: a worker is killed while it runs a keyed event, and the repeat waits at the other worker of the rack, where
// it has come inside the window, until the window is over. Three small fleets are played side by side.
func queueCase(rec *record, trouble bool) bool {
	var broken [3]bool
	var served [3]bool
	var plays sync.WaitGroup
	for i := range broken {
		plays.Go(func() { broken[i], served[i] = queuePlay(rec.named(fmt.Sprintf("fleet %d: ", i)), i, trouble) })
	}
	plays.Wait()
	if !trouble && !(served[0] && served[1] && served[2]) {
		cannotRun("not all events were served, though nothing was disturbed")
	}
	return broken[0] || broken[1] || broken[2]
}

func queuePlay(rec *record, number int, trouble bool) (broken, served bool) {
	fl := startOwnFleet(rec, filepath.Join(temporary(), fmt.Sprintf("fleet-%d", number)), approveSettings,
		"approve:approve", 1, 4, 1, "--running", "4", "--keep", "60s")
	effectsOf := fl.follow()
	holders := map[int]bool{} // workers that hold a copy
	var mu sync.Mutex
	served = true
	var events sync.WaitGroup
	invoke := func(event string, work time.Duration) {
		events.Go(func() {
			status, body := fl.invoke("approve", "ministry-a", event, work)
			mu.Lock()
			served = served && status == http.StatusOK && body == event+" released"
			mu.Unlock()
		})
	}
	time.Sleep(17 * time.Second) // the workers are warm after 16 s
	for round := range 2 {       // until several workers hold a copy
		for i := range 14 {
			invoke(fmt.Sprintf("warm-%d-%d", round, i), 300*time.Millisecond)
		}
		events.Wait()
		for i := range 14 {
			for _, e := range effectsOf(fmt.Sprintf("warm-%d-%d", round, i)) {
				holders[e.worker] = true
			}
		}
	}
	rec.line("%d workers hold copies", len(holders))
	time.Sleep(300 * time.Millisecond)
	served = true
	const event = "claim"
	sent := time.Now()
	invoke(event, 1600*time.Millisecond)
	time.Sleep(1300 * time.Millisecond)
	first := effectsOf(event)
	if len(first) != 1 {
		cannotRun("the event has %d effects before the disruption", len(first))
	}
	for i := range 4*len(holders) + 1 { // more than the workers that hold copies can run beside it
		invoke(fmt.Sprintf("other-%d", i), 900*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(sent.Add(1500 * time.Millisecond)))
	if trouble {
		fl.workers[first[0].worker].signal(syscall.SIGKILL)
	}
	events.Wait()
	time.Sleep(1500 * time.Millisecond)
	all := effectsOf(event)
	for _, e := range all[1:] {
		rec.line("TWICE: the effect of %s happened again at w%d, %v after the first one", event, e.worker,
			e.at.Sub(all[0].at).Round(time.Millisecond))
	}
	fl.copyLog("gateway-0", event)
	return len(all) > 1, served
}

// copyLog writes the lines of a program's log that have a text to the record.
func (fl *fleet) copyLog(program, text string) {
	b, _ := os.ReadFile(filepath.Join(fl.dir, program+".log"))
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, "attempt sent") || strings.Contains(line, "attempt completed") || strings.Contains(line, text) {
			fl.rec.line("log of %s: %s", program, line)
		}
	}
}
