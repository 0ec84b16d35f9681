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
	registerURLs []string // base addresses
	client       *http.Client
	log          *slog.Logger
	background   sync.WaitGroup
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
		g.registerURLs = append(g.registerURLs, "http://"+r)
	}
	return g, nil
}

// Claim claims a key at all registers and returns as soon as the verdict is clear. What it was granted without running is
// given back. The claim is for Handled and Release; body is the answer that a repeat of a handled event gets, nil if it was
// too long to be kept.
func (g *Group) Claim(ctx context.Context, key string, window time.Duration) (claim string, v Decision, body []byte) {
	claim = rand.Text()
	type heard struct {
		register int
		said     Vote
		holder   string
		body     []byte
	}
	all := make(chan heard, len(g.registerURLs))
	decided := make(chan struct{}) // closed when the verdict stands
	for i, base := range g.registerURLs {
		g.background.Go(func() {
			var a claimAnswer
			h := heard{register: i, said: VoteFailed}
			// not bounded by ctx: a claim that is on its way is followed by what gives it back
			err := g.post(context.WithoutCancel(ctx), base+"/v1/claim", claimMessage{Key: key, Claim: claim, WindowMS: max(1, window.Milliseconds())}, &a)
			if err != nil {
				g.log.Warn("register did not answer a claim", "register", base, "err", err)
			} else {
				for said, name := range voteNames {
					if name == a.Vote {
						h.said, h.holder, h.body = said, a.Owner, a.Response
					}
				}
			}
			all <- h
			<-decided
			if v != DecisionExecute && (h.said == VoteGranted || h.said == VoteFailed) {
				g.notify(base+"/v1/release", claimMessage{Key: key, Claim: claim})
			}
		})
	}
	tally := NewTally(len(g.registerURLs))
	for range g.registerURLs {
		select {
		case h := <-all:
			v = tally.Record(h.register, h.said, h.holder)
			if v == DecisionCompleted {
				body = h.body
			}
		case <-ctx.Done():
			v = DecisionUnknown
		}
		if v != DecisionPending {
			break
		}
	}
	close(decided)
	return // as they stand: what was asked reads them
}

// Complete tells all registers that the event of a claim was handled. It does not wait for them.
func (g *Group) Complete(key, claim string, body []byte) {
	if len(body) > MaxStoredResponse {
		body = nil
	}
	g.notifyAll("/v1/handled", claimMessage{Key: key, Claim: claim, Response: body})
}

// Release tells them that it was not run after all.
func (g *Group) Release(key, claim string) {
	g.notifyAll("/v1/release", claimMessage{Key: key, Claim: claim})
}

// Close waits for what is under way.
func (g *Group) Close() {
	g.background.Wait()
	g.client.CloseIdleConnections()
}

func (g *Group) notifyAll(path string, m claimMessage) {
	for _, base := range g.registerURLs {
		g.background.Go(func() { g.notify(base+path, m) })
	}
}

// notify is tried a few times; a register that never hears it takes the event for one that may have run.
func (g *Group) notify(url string, m claimMessage) {
	_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
		return struct{}{}, g.post(context.Background(), url, m, nil)
	}, backoff.WithMaxTries(3), backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		g.log.Warn("register was not told", "url", url, "err", err)
	}
}

func (g *Group) post(ctx context.Context, url string, m claimMessage, into any) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	text, err := httpclient.Do(ctx, g.client, http.MethodPost, url, body, 2*maxMessageBytes)
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(text, into)
}
