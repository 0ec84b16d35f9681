package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["chaos"] = chaosExplore }

type ended struct {
	at     time.Time
	ran    bool // may have run
	worker *worker
	from   time.Time
}

func chaosExplore(rec *record, trouble bool) bool {
	d := lahore()
	d.classes = []class{
		{"check", "pure", "all", 0.75, 2.5, 5},
		{"approve", "token", "cell", 1, 3, 2},
		{"zonal", "token", "zone", 1, 3, 2},
		{"every", "token", "all", 1, 3, 2},
		{"payout", "side_effect", "all", 0.6, 3, 5},
	}
	d.rate = [3]float64{5, 6, 0.3}
	var mu sync.Mutex
	broken := 0
	out := map[string]map[*worker]bool{} // id -> workers where it is out
	first := map[string]*ended{}         // first attempt that may have run or is out
	classOf := map[string]class{}
	var hosts []host
	var workers []*worker
	blocks := map[*worker]int{}
	zones := map[*worker]string{}
	bad := map[*worker]bool{}
	for i := range 6 {
		w := newWorker(rec, fmt.Sprintf("s-%08x", 0xc41f7a+i*0x9e3779), 300*time.Millisecond, 60*time.Millisecond)
		workers = append(workers, w)
		h := w.host("up")
		h.Block = i / 2
		h.Site = []string{"a", "b"}[i/3]
		blocks[w], zones[w] = h.Block, h.Site
		hosts = append(hosts, h)
		finish := func(id string, ran bool) {
			mu.Lock()
			delete(out[id], w)
			if !ran && len(out[id]) == 0 && first[id] != nil && first[id].worker == w && !first[id].ran {
				delete(first, id)
			} else if ran && first[id] != nil && first[id].worker == w {
				first[id].ran = true
			}
			mu.Unlock()
		}
		w.onRequest = func(c *workerConn, id string, fields map[string]string, body string) bool {
			now := time.Now()
			mu.Lock()
			cl := classOf[id]
			if len(out[id]) > 0 {
				broken++
				rec.line("BROKEN: two attempts of %s out", id)
			}
			if f := first[id]; f != nil && (f.ran || len(out[id]) > 0) {
				switch {
				case cl.effect == "side_effect":
					broken++
					rec.line("BROKEN: %s at most once again", id)
				case cl.effect == "token":
					if now.Sub(f.from) > time.Duration(cl.window*1e9)+100*time.Millisecond {
						broken++
						rec.line("BROKEN: %s again after %v", id, now.Sub(f.from))
					}
					if cl.scope == "cell" && blocks[w] != blocks[f.worker] || cl.scope == "zone" && zones[w] != zones[f.worker] {
						broken++
						rec.line("BROKEN: %s outside of its group", id)
					}
				}
			}
			if first[id] == nil {
				first[id] = &ended{from: now, worker: w}
			}
			if out[id] == nil {
				out[id] = map[*worker]bool{}
			}
			out[id][w] = true
			isBad := bad[w]
			mu.Unlock()
			if !isBad {
				go func() {
					time.Sleep(w.load(fields["key"], 1) + time.Duration(20+rand.IntN(100))*time.Millisecond)
					finish(id, true)
					c.end(id, "ok", "how=ready", "done:"+body)
				}()
				return true
			}
			switch rand.IntN(9) {
			case 0: // reset under the request, unread
				finish(id, false)
				mu.Lock()
				if first[id] != nil && first[id].worker == w {
					first[id].ran = true
				}
				mu.Unlock()
				c.conn.Close()
			case 1: // reset later
				time.AfterFunc(time.Duration(rand.IntN(300))*time.Millisecond, func() { finish(id, true); c.conn.Close() })
			case 2: // silence
			case 3:
				finish(id, false)
				c.end(id, "refused", "stats=busy_reqs:9;pending:3", "")
			case 4:
				finish(id, false)
				c.end(id, "nothing", "-", "")
			case 5:
				finish(id, true)
				c.end(id, "error", "-", "")
			case 6:
				finish(id, true)
				c.mu.Lock()
				_, _ = c.conn.Write([]byte("*4\r\n$16\r\n" + id + "\r\n$2\r\nok\r\n$-5\r\nzzz"))
				c.mu.Unlock()
			case 7:
				go func() {
					time.Sleep(60 * time.Millisecond)
					finish(id, true)
					c.end("ffffffffffffffff", "ok", "-", "foreign")
					c.end(id, "ok", "how=ready", "done:"+body)
					time.Sleep(5 * time.Millisecond)
					c.end(id, "ok", "how=ready", "second:"+body)
				}()
			case 8:
				time.AfterFunc(time.Duration(rand.IntN(3500))*time.Millisecond, func() {
					finish(id, true)
					c.end(id, "ok", "how=ready", "done:"+body)
				})
			}
			return true
		}
		w.onKill = func(id string) { finish(id, true) }
		w.onClose = func(ids []string) {
			for _, id := range ids {
				finish(id, true)
			}
		}
	}
	j := newJournal(rec, hosts)
	f := newFront(rec)
	f.write(d, j.addr, j.known())
	f.start()
	if trouble {
		go func() {
			for {
				mu.Lock()
				for _, w := range workers {
					bad[w] = rand.IntN(3) == 0
				}
				mu.Unlock()
				time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
			}
		}()
	}
	var all []*request
	var wg sync.WaitGroup
	end := time.Now().Add(45 * time.Second)
	for range 6 {
		c := mustDial(rec, f)
		wg.Go(func() {
			for time.Now().Before(end) {
				cl := d.classes[rand.IntN(5)]
				q := &request{id: newID(), class: cl.name, tenant: []string{"indus-textiles", "ravi-pharmacy"}[rand.IntN(2)],
					wait: time.Duration(2500) * time.Millisecond, body: newID(), key: functionKey(rand.IntN(12))}
				if cl.effect == "token" {
					q.once = newID()
				}
				c.mu.Lock()
				crowded := len(c.open) >= 30
				c.mu.Unlock()
				if crowded {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				mu.Lock()
				classOf[q.id] = cl
				all = append(all, q)
				mu.Unlock()
				if c.dispatch(q) != nil {
					rec.line("BROKEN: send")
					return
				}
				time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	counts := map[string]int{}
	for _, q := range all {
		q.mu.Lock()
		if len(q.answers) > 0 {
			counts[q.answers[0]]++
		}
		if q.answerBody != "" && q.answerBody != "done:"+q.body {
			broken++
			rec.line("BROKEN: %s got %q", q.id, q.answerBody)
		}
		q.mu.Unlock()
	}
	fmt.Println(len(all), "requests", counts, broken)
	bad2 := checkRequests(rec, d, all, workers, map[string]time.Time{})
	return bad2 || broken > 0
}
