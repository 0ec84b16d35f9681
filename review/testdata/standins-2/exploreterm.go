package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = termExplore }

func termExplore(rec *record, trouble bool) bool {
	d := lahore()
	broken := false
	total := 0
	for round := range 8 {
		if round%2 == 1 {
			d.classes = []class{{"pay-preview", "pure", "all", 0.25, 0.6, 5}, {"tax-check", "pure", "all", 0.15, 0.5, 5}, {"salary-release", "side_effect", "all", 0.2, 0.6, 5}}
		} else {
			d = lahore()
		}
		workers, _, f := startFleet(rec, d, 4)
		if round%4 >= 2 {
			for _, w := range workers {
				time.AfterFunc(1900*time.Millisecond, func() { w.setSilent(true) })
			}
		}
		var mu sync.Mutex
		var all []*request
		var wg sync.WaitGroup
		begin := time.Now()
		term := begin.Add(2 * time.Second)
		lastNew, lastOpen := term.Add(350*time.Millisecond), term.Add(590*time.Millisecond)
		one := func(c *client) bool {
			cl := d.classes[rand.IntN(3)]
			c.mu.Lock()
			crowded := len(c.open) >= 30
			c.mu.Unlock()
			if crowded {
				return true
			}
			q := &request{id: newID(), class: cl.name, tenant: "indus-textiles",
				wait: time.Duration(cl.giveUp * (0.5 + rand.Float64()/2) * 1e9), body: "b", key: functionKey(rand.IntN(12))}
			if c.dispatch(q) != nil {
				return false
			}
			mu.Lock()
			all = append(all, q)
			mu.Unlock()
			return true
		}
		for range 6 {
			c := mustDial(rec, f)
			wg.Go(func() {
				for time.Now().Before(lastOpen) {
					if !one(c) {
						if time.Now().After(lastNew) {
							return
						}
						c = mustDial(rec, f)
					}
					time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				}
			})
		}
		wg.Go(func() {
			for time.Now().Before(lastNew) {
				c, err := dialClient(rec, f.addr)
				if err != nil {
					rec.line("BROKEN: dial at %v", time.Since(term))
					broken = true
					return
				}
				one(c)
				time.Sleep(10 * time.Millisecond)
			}
		})
		time.Sleep(time.Until(term))
		f.signal(syscall.SIGTERM)
		longest := time.Duration(min(3, d.classes[0].giveUp) * 1e9)
		time.Sleep(time.Until(term.Add(longest + 700*time.Millisecond)))
		select {
		case <-f.ended:
		default:
			rec.line("killed")
			f.signal(syscall.SIGKILL)
		}
		wg.Wait()
		time.Sleep(200 * time.Millisecond)
		broken = checkRequests(rec, d, all, workers, nil) || broken
		total += len(all)
	}
	fmt.Println(total, "requests")
	return broken
}
