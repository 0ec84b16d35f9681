package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lupinpond/internal/base/httpclient"
)

// Group asks the registers of a group. Its methods may be called by any goroutine.
type Group struct {
	registers []string // base addresses
	client    *http.Client
	log       *slog.Logger
	work      sync.WaitGroup
}

// NewGroup makes a Group of an odd number of registers, given as addresses HOST:PORT; all workers of a group name the
// same ones. limit bounds each request.
func NewGroup(registers []string, limit time.Duration, log *slog.Logger) (*Group, error) {
	if len(registers)%2 == 0 {
		return nil, fmt.Errorf("%d registers: a group has an odd number, so that more than half is clear", len(registers))
	}
	seen := map[string]bool{}
	g := &Group{client: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, log: log}
	for _, r := range registers {
		if seen[r] {
			return nil, fmt.Errorf("register %s is named twice", r)
		}
		seen[r] = true
		g.registers = append(g.registers, "http://"+r)
	}
	return g, nil
}

// Claim claims a key at all registers and returns as soon as the verdict is clear. What it was granted without running is
// given back. The claim is for Handled and Release; body is the answer that a repeat of a handled event gets, nil if it was
// too long to be kept.
func (g *Group) Claim(ctx context.Context, key string, window time.Duration) (claim string, v Verdict, body []byte) {
	claim = rand.Text()
	type heard struct {
		register int
		said     Said
		holder   string
		body     []byte
	}
	all := make(chan heard, len(g.registers))
	decided := make(chan struct{}) // closed when the verdict stands
	for i, base := range g.registers {
		g.work.Go(func() {
			var a answer
			h := heard{register: i, said: Failed}
			// not bounded by ctx: a claim that is on its way is followed by what gives it back
			err := g.post(context.WithoutCancel(ctx), base+"/v1/claim", message{Key: key, Claim: claim, Window: max(1, window.Milliseconds())}, &a)
			if err != nil {
				g.log.Warn("register did not answer a claim", "register", base, "err", err)
			} else {
				for said, name := range names {
					if name == a.Said {
						h.said, h.holder, h.body = said, a.Holder, a.Body
					}
				}
			}
			all <- h
			<-decided
			if v != Run && (h.said == Granted || h.said == Failed) {
				g.tell(base+"/v1/release", message{Key: key, Claim: claim})
			}
		})
	}
	tally := NewTally(len(g.registers))
	for range g.registers {
		select {
		case h := <-all:
			v = tally.Hear(h.register, h.said, h.holder)
			if v == Handled {
				body = h.body
			}
		case <-ctx.Done():
			v = Unknown
		}
		if v != Undecided {
			break
		}
	}
	close(decided)
	return // as they stand: what was asked reads them
}

// Handled tells all registers that the event of a claim was handled. It does not wait for them.
func (g *Group) Handled(key, claim string, body []byte) {
	if len(body) > MostBody {
		body = nil
	}
	g.everywhere("/v1/handled", message{Key: key, Claim: claim, Body: body})
}

// Release tells them that it was not run after all.
func (g *Group) Release(key, claim string) {
	g.everywhere("/v1/release", message{Key: key, Claim: claim})
}

// Close waits for what is under way.
func (g *Group) Close() {
	g.work.Wait()
	g.client.CloseIdleConnections()
}

func (g *Group) everywhere(path string, m message) {
	for _, base := range g.registers {
		g.work.Go(func() { g.tell(base+path, m) })
	}
}

// tell is tried a few times; a register that never hears it takes the event for one that may have run.
func (g *Group) tell(url string, m message) {
	_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
		return struct{}{}, g.post(context.Background(), url, m, nil)
	}, backoff.WithMaxTries(3), backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		g.log.Warn("register was not told", "url", url, "err", err)
	}
}

func (g *Group) post(ctx context.Context, url string, m message, into any) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	text, err := httpclient.Do(ctx, g.client, http.MethodPost, url, body, 2*maxBody)
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(text, into)
}
