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
	// maxIdleConnections is the maximum number of idle connections that are kept open to one register.
	maxIdleConnections = 64
	// maxNotifyAttempts is the maximum number of attempts to notify a register.
	maxNotifyAttempts = 3
	// maxAnswerBytes is the maximum length of a register's answer.
	maxAnswerBytes = 2 * maxMessageBytes
)

// Group is the client of a group's registers. Its methods are safe for concurrent use.
type Group struct {
	registerURLs []string
	client       *http.Client
	log          *slog.Logger
	background   sync.WaitGroup
}

// NewGroup returns a Group of an odd number of registers, given as addresses HOST:PORT. All workers of a group must be
// given the same registers. timeout is the timeout of each request to a register.
func NewGroup(registers []string, timeout time.Duration, log *slog.Logger) (*Group, error) {
	if len(registers)%2 == 0 {
		return nil, fmt.Errorf("group has %d registers: the number must be odd, so that the votes can't tie", len(registers))
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	g := &Group{client: &http.Client{Timeout: timeout, Transport: transport}, log: log}
	seen := map[string]bool{}
	for _, address := range registers {
		if seen[address] {
			return nil, fmt.Errorf("register %s is listed twice", address)
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

// Claim claims a key at all registers and returns as soon as their votes decide; if ctx is done first, the decision is
// DecisionUnknown. It returns the claim, to be passed to Complete or Release, the decision, and for DecisionCompleted
// the response of the completed request. Unless the decision is DecisionExecute, the claim is released in the
// background at the registers that granted it or may have granted it.
func (g *Group) Claim(ctx context.Context, key string, window time.Duration) (string, Decision, []byte) {
	message := claimMessage{Key: key, Claim: rand.Text(), WindowMS: max(1, window.Milliseconds())}
	replies := make(chan registerReply, len(g.registerURLs))
	var decision Decision // the goroutines read it after decided is closed
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
	// Not cancelled with ctx: the release of a claim must not be sent before the claim was answered or has timed out.
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

// awaitDecision records replies until they decide on the claim or ctx is done. It returns the decision and the response
// of a completed request.
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
	return DecisionPending, nil // unreachable: with the votes of all registers the decision is not pending
}

// Complete notifies all registers in the background that the request of a claim was completed, unless its response is
// too long to be stored.
func (g *Group) Complete(key, claim string, response []byte) {
	if len(response) > MaxStoredResponse {
		return
	}
	g.notifyAll(pathComplete, claimMessage{Key: key, Claim: claim, Response: response})
}

// Release notifies all registers in the background that the request of a claim was not run.
func (g *Group) Release(key, claim string) {
	g.notifyAll(pathRelease, claimMessage{Key: key, Claim: claim})
}

// Close waits until the notifications in the background have ended, and closes idle connections.
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

// notify notifies one register, with retries. A register that could not be notified keeps the claim, and votes as if
// its request may have run, until the window ends.
func (g *Group) notify(url string, message claimMessage) {
	post := func() (struct{}, error) { return struct{}{}, g.post(context.Background(), url, message, nil) }
	_, err := backoff.Retry(context.Background(), post,
		backoff.WithMaxTries(maxNotifyAttempts), backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		g.log.Warn("register notification failed", "url", url, "err", err)
	}
}

// post sends a message to a register and decodes the register's answer into answer, unless answer is nil.
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
