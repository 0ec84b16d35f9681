package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case: the pause is longer than the wait that the gateway asks for in a poll (twice the drain grace, 1 s)
// and the delay of the journal service, so that the drain is told after the answer to the poll in flight.
const (
	journalDelay   = 100 * time.Millisecond
	gatewayPause   = 2500 * time.Millisecond
	drainInPause   = 1400 * time.Millisecond
	requestEach    = 80 * time.Millisecond // of each connection
	frontConns     = 8
	platformRounds = 3
)

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
		drained := workers[round]
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
	for _, w := range workers[:platformRounds] {
		broken = append(broken, w.lateWork()...)
	}
	if !gateway.running() {
		panic("the gateway has ended")
	}
	return broken
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
		requests.Go(func() {
			key := fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+(number*5+n)%12)
			sent := time.Now()
			id, a := c.dispatch("tax-check", "indus-textiles", key, 5*time.Second, "a claim")
			c.logf("client %d: request %s sent %v ago: %s %s", number, id, time.Since(sent).Round(time.Millisecond), a.kind, a.body)
		})
	}
}

// lateWork returns the new work that came to a draining worker after the drain grace.
func (w *respWorker) lateWork() (late []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.commands {
		if after := c.at.Sub(w.drained); after > drainGrace+socketSlack {
			late = append(late, fmt.Sprintf("%s got %s %s %v after its drain was told", w.name, c.words[0], c.words[1],
				after.Round(time.Millisecond)))
		}
	}
	return late
}
