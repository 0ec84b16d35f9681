// Package idempotency decides whether a request with an idempotency key is a duplicate, for groups of several
// workers. A group has a fixed number of registers, each of which stores the first claim of a key until its window is
// over. A worker claims a key at all of them and runs the request only when a majority granted it: two majorities
// share a register, so that no two claims of a key are both granted inside a window, whichever registers, workers or
// messages are lost.
//
// This file decides and does no I/O; register.go stores a register's entries, http.go serves them, group.go asks the
// registers of a group.
package idempotency

import "time"

// MaxStoredResponse is how many bytes of a response are stored for duplicates; of a longer one they learn only that the
// request was completed.
const MaxStoredResponse = 64 << 10

// Vote is what one register says to a claim.
type Vote int

// The votes.
const (
	VotePending   Vote = iota // nothing yet
	VoteGranted               // the key is this claim's
	VoteClaimed               // another claim has it: its request may have run
	VoteCompleted             // another claim has it and its request was completed
	VoteFailed                // no answer, or an error: it may have granted
)

// Decision is what follows from the votes on a claim.
type Decision int

// The decisions.
const (
	DecisionPending   Decision = iota
	DecisionExecute            // the claim is granted
	DecisionDuplicate          // of a request that may have run
	DecisionCompleted          // of a request that was completed
	DecisionUnknown            // too few registers answered: the request is not run
)

// Entry is what a register stores of a key.
type Entry struct {
	Claim     string    `cbor:"1,keyasint"`
	ExpiresAt time.Time `cbor:"2,keyasint"` // the end of its window
	Completed bool      `cbor:"3,keyasint,omitempty"`
	Response  []byte    `cbor:"4,keyasint,omitempty"` // of the completed request, if it is short enough to be stored
}

// EvaluateClaim votes on a claim at one register; known says whether the register has an entry of its key. It returns
// the entry that stands from then on; changed says that it has to be stored before the vote is given.
func EvaluateClaim(
	now time.Time, entry Entry, known bool, claim string, window time.Duration,
) (stored Entry, changed bool, vote Vote) {
	switch {
	case !known || !now.Before(entry.ExpiresAt):
		return Entry{Claim: claim, ExpiresAt: now.Add(window)}, true, VoteGranted
	case entry.Claim == claim: // claimed again: the vote before was lost
		return entry, false, VoteGranted
	case entry.Completed:
		return entry, false, VoteCompleted
	default:
		return entry, false, VoteClaimed
	}
}

// Tally has the votes on one claim. The zero value is not ready; use NewTally.
type Tally struct {
	votes  []Vote
	owners []string // by register: the claim that has the key there, where it is another
}

// NewTally begins the tally of a claim at so many registers.
func NewTally(registers int) *Tally {
	return &Tally{votes: make([]Vote, registers), owners: make([]string, registers)}
}

// Record adds a register's vote, and which claim has the key there if it is another one, and returns what follows
// from all votes so far.
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
			return DecisionCompleted // only a claim with a majority was run and completed
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
	return DecisionUnknown // split, or too few answered: no claim is known to have it
}

// isMajority reports whether so many votes are more than half of all.
func (t *Tally) isMajority(votes int) bool { return 2*votes > len(t.votes) }
