package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { cases["ration"] = rationExplore }

func rationExplore(rec *record, trouble bool) bool {
	d := lahore()
	d.rate = [3]float64{5, 6, 0.3}
	workers, j, f := startFleet(rec, d, 5)
	var mu sync.Mutex
	var sent []time.Time
	end := time.Now().Add(60 * time.Second)
	if trouble {
		go func() {
			for i := 0; ; i++ {
				time.Sleep(time.Duration(3000+rand.IntN(9000)) * time.Millisecond)
				if i%2 == 0 {
					j.down()
				} else {
					j.up()
				}
			}
		}()
		go func() {
			for {
				time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
				w := workers[rand.IntN(5)]
				w.mu.Lock()
				for conn := range w.conns {
					conn.Close()
				}
				w.mu.Unlock()
			}
		}()
	}
	var wg sync.WaitGroup
	base := 0
	for time.Now().Before(end) {
		c := mustDial(rec, f)
		burst := 1 + rand.IntN(28)
		wg.Go(func() {
			for range burst {
				q := &request{id: newID(), class: "tax-check", tenant: "indus-textiles",
					wait: 2500 * time.Millisecond, body: "b", key: functionKey(base + rand.IntN(30))}
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				if c.dispatch(q) != nil {
					return
				}
			}
		})
		base += 3
		time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	var orders []time.Time
	for _, w := range workers {
		for _, a := range w.all() {
			if a.command == "SPAWN" && a.n > 0 {
				orders = append(orders, a.at)
			}
		}
	}
	slices.SortFunc(orders, time.Time.Compare)
	broken, worst := 0, -100.0
	for i, at := range orders {
		n := 0
		for k := i; k >= 0 && at.Sub(orders[k]) < 5*time.Second-50*time.Millisecond; k-- {
			n++
		}
		requests := 0
		for _, s := range sent {
			if age := at.Sub(s); age >= 0 && age < 5050*time.Millisecond {
				requests++
			}
		}
		worst = max(worst, float64(n)-6-0.3*float64(requests))
		if float64(n) > 6+0.3*float64(requests) {
			broken++
			rec.line("BROKEN: %d orders, %d requests at %v", n, requests, rec.since(at))
		}
	}
	fmt.Println(len(orders), "orders", len(sent), "requests", "broken", broken, "worst", worst)
	return broken > 0
}
