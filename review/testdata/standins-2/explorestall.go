package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stall"] = stallExplore }

// checkRequests checks rules 1 and 2 on what clients and workers saw.
func checkRequests(rec *record, d deployment, all []*request, workers []*worker, cancelledAt map[string]time.Time) bool {
	broken := false
	byID := map[string][]arrival{}
	for _, w := range workers {
		for _, a := range w.all() {
			if a.command == "FN" {
				byID[a.id] = append(byID[a.id], a)
			}
		}
	}
	for _, q := range all {
		q.mu.Lock()
		answers, at := q.answers, q.answeredAt
		q.mu.Unlock()
		gone, cancelled := cancelledAt[q.id]
		if cancelled {
			for _, a := range byID[q.id] {
				if a.at.After(gone.Add(150 * time.Millisecond)) {
					rec.line("BROKEN: %s came to %s %v after its client had gone", q.id, a.worker, a.at.Sub(gone))
					broken = true
				}
			}
			continue
		}
		if len(answers) != 1 || answers[0] == "closed" {
			rec.line("BROKEN: %s got %v", q.id, answers)
			broken = true
		} else if late := at.Sub(q.sentAt.Add(q.wait)); late > 500*time.Millisecond {
			rec.line("BROKEN: %s answered %v late", q.id, late)
			broken = true
		}
	}
	return broken
}

func stallExplore(rec *record, trouble bool) bool {
	d := lahore()
	workers, j, f := startFleet(rec, d, 4)
	var mu sync.Mutex
	var all []*request
	cancelledAt := map[string]time.Time{}
	var wg sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	for range 8 {
		c := mustDial(rec, f)
		wg.Go(func() {
			for time.Now().Before(end) {
				cl := d.classes[rand.IntN(3)]
				q := &request{id: newID(), class: cl.name, tenant: []string{"indus-textiles", "ravi-pharmacy"}[rand.IntN(2)],
					wait: 2500 * time.Millisecond, body: "b", key: functionKey(rand.IntN(12))}
				c.mu.Lock()
				crowded := len(c.open) >= 30
				c.mu.Unlock()
				if crowded {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				if c.dispatch(q) != nil {
					rec.line("BROKEN: send")
					return
				}
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
				if rand.IntN(4) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(60))*time.Millisecond, func() {
						select {
						case <-q.done:
							return
						default:
						}
						c.cancel(q)
						mu.Lock()
						cancelledAt[q.id] = time.Now()
						mu.Unlock()
					})
				}
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	told := map[string]time.Time{}
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(2200*time.Millisecond + time.Duration(rand.IntN(1300))*time.Millisecond)
		if trouble {
			f.signal(syscall.SIGSTOP)
		}
		time.Sleep(50 * time.Millisecond)
		w := workers[i%4]
		if i%2 == 0 {
			workers[i%4].drain()
			told[w.name] = time.Now()
			j.change(w.host("draining"))
		}
		time.Sleep(800 * time.Millisecond)
		if trouble {
			f.signal(syscall.SIGCONT)
		}
		if i%2 == 0 {
			time.Sleep(time.Second)
			limit := told[w.name].Add(550 * time.Millisecond)
			if lateWork(rec, w, limit) > 0 {
				rec.line("BROKEN: drain")
			}
			w.mu.Lock()
			w.draining = false
			w.mu.Unlock()
			w.mu.Lock()
			w.arrivals = w.arrivals[:0:0]
			w.mu.Unlock()
			j.change(w.host("up"))
		}
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	rec.line("%d requests, %d cancelled", len(all), len(cancelledAt))
	return checkRequests(rec, d, all, workers, cancelledAt)
}

func init() {
	cases["restart"] = func(rec *record, trouble bool) bool { return restartPlay(rec, lahore(), trouble) }
	cases["restart-no"] = func(rec *record, trouble bool) bool {
		d := lahore()
		d.orders = false
		return restartPlay(rec, d, trouble)
	}
}

func restartPlay(rec *record, d deployment, trouble bool) bool {
	workers, j, f := startFleet(rec, d, 3)
	known := j.known()
	c := mustDial(rec, f)
	send(c, d, 12, 30*time.Millisecond, 2*time.Second)
	began := time.Now()
	told := began.Add(time.Second)
	if trouble {
		j.down()
		told = began.Add(7 * time.Second)
	}
	time.Sleep(time.Second)
	j.change(workers[0].host("draining"))
	workers[0].drain()
	time.Sleep(2 * time.Second)
	if trouble {
		f.signal(syscall.SIGKILL)
		<-f.ended
		f.write(d, j.addr, known)
		f.start()
	}
	c = mustDial(rec, f)
	var clients sync.WaitGroup
	clients.Go(func() { send(c, d, 24, 30*time.Millisecond, time.Until(began.Add(13*time.Second))) })
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	if trouble {
		j.up()
	}
	clients.Wait()
	late := lateWork(rec, workers[0], told.Add(550*time.Millisecond))
	f.copyLog()
	return late > 0
}
