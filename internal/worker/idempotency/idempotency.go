// Package idempotency detects duplicates of requests with an idempotency key in a group of workers. A group has a fixed
// number of registers. Each register stores the first claim of a key until the end of the key's window, or until the
// claim is released because its request was not run. A worker claims a key at all registers and runs the request only
// if a majority of them granted the claim. As any two majorities have a register in common, at most one claim of a key
// that is not released is granted within the window, whichever registers, workers or messages are lost.
//
// This file has the decisions and does no I/O. register.go stores the entries of a register, http.go serves them to
// workers, and group.go is the client of a group's registers.
package idempotency

import "time"

// MaxStoredResponse is the length in bytes of the longest response that is stored for duplicates. The claim of a
// request with a longer response stays open: a duplicate can't get that response, so it is reported as one that may
// have run.
const MaxStoredResponse = 64 << 10

// Vote is the answer of one register to a claim.
type Vote int

// The votes.
const (
	VotePending   Vote = iota // the register has not answered yet
	VoteGranted               // the register stores this claim as the owner of the key
	VoteClaimed               // another claim owns the key; its request may have run
	VoteCompleted             // another claim owns the key; its request was completed
	VoteFailed                // the register returned an error or no answer; it may have granted the claim
)

// Decision is the result of the votes on a claim.
type Decision int

// The decisions.
const (
	DecisionPending   Decision = iota // more votes are needed
	DecisionExecute                   // a majority granted the claim: run the request
	DecisionDuplicate                 // duplicate of a request that may have run
	DecisionCompleted                 // duplicate of a request that was completed
	DecisionUnknown                   // no claim has a majority of the votes: the request is not run
)

// Entry is what a register stores for a key.
type Entry struct {
	Claim     string    `cbor:"1,keyasint"`           // the claim that owns the key
	ExpiresAt time.Time `cbor:"2,keyasint"`           // end of the key's window
	Completed bool      `cbor:"3,keyasint,omitempty"` // the claim's request was completed
	Response  []byte    `cbor:"4,keyasint,omitempty"` // response of the completed request, if short enough to be stored
}

// EvaluateClaim returns the vote of one register on a claim. entry is the register's entry for the key, if known is
// true. stored is the entry that is valid after the vote. If changed is true, the register must store it before it
// sends the vote.
func EvaluateClaim(
	now time.Time, entry Entry, known bool, claim string, window time.Duration,
) (stored Entry, changed bool, vote Vote) {
	switch {
	case !known || !now.Before(entry.ExpiresAt):
		return Entry{Claim: claim, ExpiresAt: now.Add(window)}, true, VoteGranted
	case entry.Claim == claim: // the same claim again: its previous vote was lost
		return entry, false, VoteGranted
	case entry.Completed:
		return entry, false, VoteCompleted
	default:
		return entry, false, VoteClaimed
	}
}

// Tally collects the votes on one claim. Use NewTally to create one.
type Tally struct {
	votes  []Vote
	owners []string // by register: the claim that owns the key there
}

// NewTally returns a Tally without votes for a claim at the given number of registers.
func NewTally(registers int) *Tally {
	return &Tally{votes: make([]Vote, registers), owners: make([]string, registers)}
}

// Record records the vote of a register and the claim that owns the key there. It returns the decision that follows
// from all votes recorded so far.
func (t *Tally) Record(register int, vote Vote, owner string) Decision {
	t.votes[register], t.owners[register] = vote, owner
	granted, pending := 0, 0
	claimed := map[string]int{}
	for i, vote := range t.votes {
		switch vote {
		case VoteGranted:
			granted++
		case VotePending:
			pending++
		case VoteCompleted:
			return DecisionCompleted // only the request of a claim with a majority is run and completed
		case VoteClaimed:
			claimed[t.owners[i]]++
		}
	}
	for _, votes := range claimed {
		if t.isMajority(votes) {
			return DecisionDuplicate
		}
	}
	switch {
	case t.isMajority(granted):
		return DecisionExecute
	case pending > 0:
		return DecisionPending
	}
	return DecisionUnknown // the votes are split, or too few registers answered
}

// isMajority reports whether votes is more than half the number of registers.
func (t *Tally) isMajority(votes int) bool { return 2*votes > len(t.votes) }
