// Package idempotency decides whether a keyed event is a repeat, for groups of several workers. A group has a fixed number of
// registers, each of which keeps the first claim of a key until its window is over. A worker claims a key at all of them
// and runs the event only when more than half granted it: two such halves share a register, so that no two claims of a
// key are both granted inside a window, whichever registers, workers or messages are lost.
//
// This file decides and does no I/O; store.go keeps a register's entries, group.go asks the registers.
package idempotency

import "time"

// Said is what one register says to a claim.
type Said int

// What a register says.
const (
	Unheard Said = iota // nothing yet
	Granted             // the key is this claim's
	Held                // another claim has it: its event may have run
	Done                // another claim has it and its event was handled
	Failed              // no answer, or an error: it may have granted
)

// Verdict is what a worker makes of what it has heard.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Run               // it is this claim's
	Repeat            // of one that may have run
	Handled           // repeat of one that was handled
	Unknown           // too few registers answered: the event is not run
)

// Entry is what a register keeps of a key.
type Entry struct {
	Claim   string    `cbor:"1,keyasint"`
	Until   time.Time `cbor:"2,keyasint"` // the end of its window
	Handled bool      `cbor:"3,keyasint,omitempty"`
	Body    []byte    `cbor:"4,keyasint,omitempty"` // the answer of the event that was handled, if it is short enough to be kept
}

// MostBody is how many bytes of an answer are kept for repeats; of a longer one they are told only that it was handled.
const MostBody = 64 << 10

// Ask decides on a claim at one register, which has the entry have if known. It answers the entry that stands then; changed says
// that it has to be written down before the answer is given.
func Ask(now time.Time, have Entry, known bool, claim string, window time.Duration) (keep Entry, changed bool, said Said) {
	switch {
	case !known || !now.Before(have.Until):
		return Entry{Claim: claim, Until: now.Add(window)}, true, Granted
	case have.Claim == claim: // asked again: the answer before was lost
		return have, false, Granted
	case have.Handled:
		return have, false, Done
	default:
		return have, false, Held
	}
}

// Tally is what a worker has heard of one claim. The zero value is not ready; use NewTally.
type Tally struct {
	said   []Said
	holder []string
}

// NewTally begins a claim at so many registers.
func NewTally(registers int) *Tally {
	return &Tally{said: make([]Said, registers), holder: make([]string, registers)}
}

// Hear notes what a register said, and who holds the key there if another claim does, and answers what follows from all
// that was heard.
func (t *Tally) Hear(register int, said Said, holder string) Verdict {
	t.said[register], t.holder[register] = said, holder
	granted, unheard := 0, 0
	others := map[string]int{}
	for i, s := range t.said {
		switch s {
		case Granted:
			granted++
		case Unheard:
			unheard++
		case Done:
			return Handled // only a claim with more than half was run and handled
		case Held:
			others[t.holder[i]]++
		}
	}
	for _, n := range others {
		if 2*n > len(t.said) {
			return Repeat
		}
	}
	switch {
	case 2*granted > len(t.said):
		return Run
	case unheard > 0:
		return Undecided
	}
	return Unknown // split, or too few answered: nobody is known to have it
}
