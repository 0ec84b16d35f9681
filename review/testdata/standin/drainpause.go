package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case. A poll waits for 1 s (twice the drain grace) and is answered journalDelay later. The pause begins
// pauseAfterPoll after the poll has come, so that its answer, without events, comes during the pause; then the drain is
// told. The pause is as long as the longest ones of the project's own soak test.
const (
	journalDelay    = 100 * time.Millisecond
	pauseAfterPoll  = 700 * time.Millisecond
	drainInPause    = 500 * time.Millisecond
	gatewayPause    = 1500 * time.Millisecond
	requestEach     = 80 * time.Millisecond // of each connection
	frontConns      = 8
	maxOpenRequests = 32 // on a connection, by the protocol page
	platformRounds  = 3
)

// exceptions counts the requests that ended with an application exception or with their connection.
var exceptions atomic.Int64

// playDrainPause pauses the gateway under load, and tells a drain meanwhile.
func playDrainPause(h *harness) (broken []string) {
	var workers []*respWorker
	var hosts []endpoint
	for n := range 6 {
		w := startRespWorker(h, fmt.Sprintf("s-%d", n), 30*time.Millisecond)
		workers, hosts = append(workers, w), append(hosts, w.endpoint("up"))
	}
	j := startJournal(h, journalDelay, hosts)
	gateway, addr := startPlatformGateway(h, j)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range frontConns {
		client := dialFront(h, addr)
		clients.Go(func() { client.sendSteadily(n, stop) })
	}
	for round := range platformRounds {
		time.Sleep(4 * time.Second)
		drained := busiestWorker(workers)
		h.logf("round %d: %s is to drain", round, drained.name)
		j.awaitPoll()
		time.Sleep(pauseAfterPoll)
		if h.trouble {
			h.logf("pausing the gateway")
			gateway.signal(pauseSignals[0])
			time.Sleep(drainInPause)
			drained.drain(j)
			time.Sleep(gatewayPause - drainInPause)
			gateway.signal(pauseSignals[1])
			h.logf("the gateway continues")
		} else {
			drained.drain(j)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	for _, w := range workers {
		broken = append(broken, w.lateWork()...)
	}
	if exceptions.Load() > 0 {
		panic("a client got an exception: it did not follow the protocol page")
	}
	if !gateway.running() {
		panic("the gateway has ended")
	}
	return broken
}

// busiestWorker returns the worker that got the most requests and orders so far, of those that don't drain.
func busiestWorker(workers []*respWorker) (busiest *respWorker) {
	most := -1
	for _, w := range workers {
		w.mu.Lock()
		if w.drained.IsZero() && len(w.commands) > most {
			busiest, most = w, len(w.commands)
		}
		w.mu.Unlock()
	}
	return busiest
}

// sendSteadily sends a request at each interval until stop is closed, and waits for the answers.
func (c *frontClient) sendSteadily(number int, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer c.conn.Close()
	defer requests.Wait()
	ticker := time.NewTicker(requestEach)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if c.openRequests() >= maxOpenRequests {
			continue
		}
		requests.Go(func() {
			key := fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+(number*5+n)%12)
			sent := time.Now()
			id, a := c.dispatch("tax-check", "indus-textiles", key, 5*time.Second, "a claim")
			if a.kind == "exception" || a.kind == "lost" {
				exceptions.Add(1)
			}
			c.logf("client %d: request %s sent %v ago: %s %s", number, id, time.Since(sent).Round(time.Millisecond), a.kind, a.body)
		})
	}
}

// lateWork returns the new work that came to a draining worker after the drain grace.
func (w *respWorker) lateWork() (late []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drained.IsZero() {
		return nil
	}
	for _, c := range w.commands {
		if after := c.at.Sub(w.drained); after > drainGrace+socketSlack {
			late = append(late, fmt.Sprintf("%s got %s %s %v after its drain was told", w.name, c.words[0], c.words[1],
				after.Round(time.Millisecond)))
		}
	}
	return late
}
