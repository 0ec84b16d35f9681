// Package idempotency decides whether a keyed event is a repeat, for groups of several workers. A group has a fixed number of
// registers, each of which keeps the first claim of a key until its window is over. A worker claims a key at all of them
// and runs the event only when more than half granted it: two such halves share a register, so that no two claims of a
// key are both granted inside a window, whichever registers, workers or messages are lost.
//
// This file decides and does no I/O; store.go keeps a register's entries, group.go asks the registers.
package idempotency

import "time"

// Vote is what one register says to a claim.
type Vote int

// What a register says.
const (
	VotePending   Vote = iota // nothing yet
	VoteGranted               // the key is this claim's
	VoteClaimed               // another claim has it: its event may have run
	VoteCompleted             // another claim has it and its event was handled
	VoteFailed                // no answer, or an error: it may have granted
)

// Decision is what a worker makes of what it has heard.
type Decision int

// The verdicts.
const (
	DecisionPending   Decision = iota
	DecisionExecute            // it is this claim's
	DecisionDuplicate          // of one that may have run
	DecisionCompleted          // repeat of one that was handled
	DecisionUnknown            // too few registers answered: the event is not run
)

// Entry is what a register keeps of a key.
type Entry struct {
	Claim     string    `cbor:"1,keyasint"`
	ExpiresAt time.Time `cbor:"2,keyasint"` // the end of its window
	Completed bool      `cbor:"3,keyasint,omitempty"`
	Response  []byte    `cbor:"4,keyasint,omitempty"` // the answer of the event that was handled, if it is short enough to be kept
}

// MaxStoredResponse is how many bytes of an answer are kept for repeats; of a longer one they are told only that it was handled.
const MaxStoredResponse = 64 << 10

// EvaluateClaim decides on a claim at one register, which has the entry have if known. It answers the entry that stands then; changed says
// that it has to be written down before the answer is given.
func EvaluateClaim(now time.Time, have Entry, known bool, claim string, window time.Duration) (keep Entry, changed bool, said Vote) {
	switch {
	case !known || !now.Before(have.ExpiresAt):
		return Entry{Claim: claim, ExpiresAt: now.Add(window)}, true, VoteGranted
	case have.Claim == claim: // asked again: the answer before was lost
		return have, false, VoteGranted
	case have.Completed:
		return have, false, VoteCompleted
	default:
		return have, false, VoteClaimed
	}
}

// Tally is what a worker has heard of one claim. The zero value is not ready; use NewTally.
type Tally struct {
	votes  []Vote
	owners []string
}

// NewTally begins a claim at so many registers.
func NewTally(registers int) *Tally {
	return &Tally{votes: make([]Vote, registers), owners: make([]string, registers)}
}

// Record notes what a register said, and who holds the key there if another claim does, and answers what follows from all
// that was heard.
func (t *Tally) Record(register int, said Vote, holder string) Decision {
	t.votes[register], t.owners[register] = said, holder
	granted, unheard := 0, 0
	others := map[string]int{}
	for i, s := range t.votes {
		switch s {
		case VoteGranted:
			granted++
		case VotePending:
			unheard++
		case VoteCompleted:
			return DecisionCompleted // only a claim with more than half was run and handled
		case VoteClaimed:
			others[t.owners[i]]++
		}
	}
	for _, n := range others {
		if 2*n > len(t.votes) {
			return DecisionDuplicate
		}
	}
	switch {
	case 2*granted > len(t.votes):
		return DecisionExecute
	case unheard > 0:
		return DecisionPending
	}
	return DecisionUnknown // split, or too few answered: nobody is known to have it
}
