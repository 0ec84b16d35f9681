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

const (
	// maxIdleConnections is how many connections to one register are held open.
	maxIdleConnections = 64
	// maxNotifyAttempts is how often a register is notified before it is given up.
	maxNotifyAttempts = 3
	// maxAnswerBytes is the longest answer that is read from a register.
	maxAnswerBytes = 2 * maxMessageBytes
)

// Group asks the registers of a group. Its methods may be called by any goroutine.
type Group struct {
	registerURLs []string
	client       *http.Client
	log          *slog.Logger
	background   sync.WaitGroup
}

// NewGroup makes a Group of an odd number of registers, given as addresses HOST:PORT; all workers of a group name the
// same ones. timeout bounds each request.
func NewGroup(registers []string, timeout time.Duration, log *slog.Logger) (*Group, error) {
	if len(registers)%2 == 0 {
		return nil, fmt.Errorf("%d registers: a group has an odd number, so that more than half is clear", len(registers))
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	g := &Group{client: &http.Client{Timeout: timeout, Transport: transport}, log: log}
	seen := map[string]bool{}
	for _, address := range registers {
		if seen[address] {
			return nil, fmt.Errorf("register %s is named twice", address)
		}
		seen[address] = true
		g.registerURLs = append(g.registerURLs, "http://"+address)
	}
	return g, nil
}

// registerReply is one register's reply to a claim.
type registerReply struct {
	register int
	vote     Vote
	owner    string
	response []byte
}

// Claim claims a key at all registers and returns as soon as the decision is clear. What was granted without running
// is given back. The claim is for Complete and Release; response is what a duplicate of a completed request gets, nil
// if it was too long to be stored.
func (g *Group) Claim(ctx context.Context, key string, window time.Duration) (string, Decision, []byte) {
	message := claimMessage{Key: key, Claim: rand.Text(), WindowMS: max(1, window.Milliseconds())}
	replies := make(chan registerReply, len(g.registerURLs))
	var decision Decision // read by the goroutines once decided is closed
	decided := make(chan struct{})
	for i, url := range g.registerURLs {
		g.background.Go(func() {
			reply := g.claimAt(ctx, i, url, message)
			replies <- reply
			<-decided
			if decision != DecisionExecute && (reply.vote == VoteGranted || reply.vote == VoteFailed) {
				g.notify(url+pathRelease, claimMessage{Key: key, Claim: message.Claim})
			}
		})
	}
	decision, response := g.awaitDecision(ctx, replies)
	close(decided)
	return message.Claim, decision, response
}

// claimAt claims a key at one register.
func (g *Group) claimAt(ctx context.Context, register int, url string, message claimMessage) registerReply {
	var answer claimAnswer
	// not bounded by ctx: a claim that is on its way is followed by its release
	if err := g.post(context.WithoutCancel(ctx), url+pathClaim, message, &answer); err != nil {
		g.log.Warn("idempotency claim failed", "register", url, "err", err)
		return registerReply{register: register, vote: VoteFailed}
	}
	vote := parseVote(answer.Vote)
	if vote == VoteFailed {
		return registerReply{register: register, vote: VoteFailed}
	}
	return registerReply{register: register, vote: vote, owner: answer.Owner, response: answer.Response}
}

// awaitDecision takes replies until they decide on the claim, or ctx ends.
func (g *Group) awaitDecision(ctx context.Context, replies <-chan registerReply) (Decision, []byte) {
	tally := NewTally(len(g.registerURLs))
	for range g.registerURLs {
		select {
		case reply := <-replies:
			decision := tally.Record(reply.register, reply.vote, reply.owner)
			if decision == DecisionCompleted {
				return decision, reply.response
			}
			if decision != DecisionPending {
				return decision, nil
			}
		case <-ctx.Done():
			return DecisionUnknown, nil
		}
	}
	return DecisionPending, nil // a tally of all registers' votes is never pending
}

// Complete notifies all registers that the request of a claim was completed. It does not wait for them.
func (g *Group) Complete(key, claim string, response []byte) {
	if len(response) > MaxStoredResponse {
		response = nil
	}
	g.notifyAll(pathComplete, claimMessage{Key: key, Claim: claim, Response: response})
}

// Release notifies all registers that the request of a claim was not run after all. It does not wait for them.
func (g *Group) Release(key, claim string) {
	g.notifyAll(pathRelease, claimMessage{Key: key, Claim: claim})
}

// Close waits for the notifications under way.
func (g *Group) Close() {
	g.background.Wait()
	g.client.CloseIdleConnections()
}

// notifyAll notifies all registers, each in its own goroutine.
func (g *Group) notifyAll(path string, message claimMessage) {
	for _, url := range g.registerURLs {
		g.background.Go(func() { g.notify(url+path, message) })
	}
}

// notify notifies one register, with retries. A register that is never notified takes the request for one that may have
// run.
func (g *Group) notify(url string, message claimMessage) {
	post := func() (struct{}, error) { return struct{}{}, g.post(context.Background(), url, message, nil) }
	_, err := backoff.Retry(context.Background(), post,
		backoff.WithMaxTries(maxNotifyAttempts), backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		g.log.Warn("register notification failed", "url", url, "err", err)
	}
}

// post sends a message to a register and decodes its answer, unless that is nil.
func (g *Group) post(ctx context.Context, url string, message claimMessage, answer *claimAnswer) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	text, err := httpclient.Do(ctx, g.client, http.MethodPost, url, body, maxAnswerBytes)
	if err != nil || answer == nil {
		return err
	}
	return json.Unmarshal(text, answer)
}
