package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["own"] = ownExplore }

func ownExplore(rec *record, trouble bool) bool {
	defaults, err := exec.Command("bin/lpctl", "check").Output()
	if err != nil {
		cannotRun("settings: %v", err)
	}
	settings := strings.ReplaceAll(string(defaults), "http://127.0.0.1:8710", "REGISTRY")
	fl := startOwnFleet(rec, temporary(), settings,
		"gross-salary:salary-release transfer:bank-transfer tax-slab:tax-check preview:pay-preview", 2, 4, 3)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(70 * time.Second)
	kinds := []struct {
		f, tenant string
		wait      time.Duration
		keyed     bool
	}{{"gross-salary", "indus-textiles", 6 * time.Second, false}, {"transfer", "ravi-foods", 4 * time.Second, true}, {"tax-slab", "chenab-tools", 4 * time.Second, true}, {"preview", "chenab-tools", 3 * time.Second, false}}
	if trouble {
		go func() {
			for time.Now().Before(end.Add(-5 * time.Second)) {
				switch k := rand.IntN(13); {
				case k < 2:
					go fl.workers[rand.IntN(4)].restart(syscall.SIGKILL)
				case k < 5:
					p := fl.workers[rand.IntN(4)]
					p.signal(syscall.SIGSTOP)
					time.AfterFunc(time.Duration(500+rand.IntN(7000))*time.Millisecond, func() { p.signal(syscall.SIGCONT) })
				case k < 7:
					p := fl.registers[rand.IntN(3)]
					p.signal(syscall.SIGSTOP)
					time.AfterFunc(time.Duration(500+rand.IntN(4000))*time.Millisecond, func() { p.signal(syscall.SIGCONT) })
				case k < 8:
					fl.registers[rand.IntN(3)].restart(syscall.SIGKILL)
				case k < 9:
					p := fl.gateways[rand.IntN(2)]
					p.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(400+rand.IntN(580)) * time.Millisecond)
					p.signal(syscall.SIGCONT)
				case k < 10:
					fl.registry.restart(syscall.SIGKILL)
				case k < 12:
					go fl.workers[rand.IntN(4)].restart(syscall.SIGTERM)
				default:
					p := fl.registry
					p.signal(syscall.SIGSTOP)
					time.AfterFunc(time.Duration(500+rand.IntN(7000))*time.Millisecond, func() { p.signal(syscall.SIGCONT) })
				}
				time.Sleep(time.Duration(1000+rand.IntN(2500)) * time.Millisecond)
			}
		}()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sentKind := map[string]int{}
	status := map[string]int{}
	broken := 0
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for time.Now().Before(end) {
		wg.Go(func() {
			k := rand.IntN(4)
			id := newID()
			body := fmt.Sprintf("%s %dms", id, 20+rand.IntN(200))
			req, _ := http.NewRequest("POST", "http://"+fl.gatewayAddr[rand.IntN(2)]+"/v1/functions/"+kinds[k].f+"/invocations", bytes.NewReader([]byte(body)))
			req.GetBody = nil
			req.Header.Set("Lupin-Tenant", kinds[k].tenant)
			if kinds[k].keyed {
				req.Header.Set("Idempotency-Key", id)
			}
			mu.Lock()
			sentKind[id] = k
			mu.Unlock()
			at := time.Now()
			resp, err := client.Do(req)
			took := time.Since(at)
			result := "error"
			text := ""
			if err == nil {
				b, readErr := io.ReadAll(resp.Body)
				resp.Body.Close()
				text = string(b)
				result = fmt.Sprint(resp.StatusCode)
				if readErr != nil {
					result = "cut"
				}
			} else {
				text = err.Error()
			}
			rec.line("%s %s -> %s after %v %s", id, kinds[k].f, result, took.Round(time.Millisecond), text)
			mu.Lock()
			defer mu.Unlock()
			status[result]++
			if result == "200" && text != id+" released" {
				broken++
				rec.line("BROKEN: %s got %q", id, text)
			}
			if took > kinds[k].wait+1500*time.Millisecond || result == "cut" || result == "error" {
				broken++
				rec.line("BROKEN: %s %s after %v %v", id, result, took, text)
			}
		})
		time.Sleep(time.Duration(rand.IntN(50)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(9 * time.Second)
	n := 0
	for id, count := range fl.effects() {
		k, known := sentKind[id]
		n++
		if !known || count > 1 && k != 3 {
			broken++
			rec.line("BROKEN: %s of %s had %d effects", id, kinds[k].f, count)
		}
	}
	fmt.Println(len(sentKind), "events", n, "effects", status, "broken", broken)
	return broken > 0
}
