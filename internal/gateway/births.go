package gateway

import (
	"math"
	"time"
)

// Always is the bound of an age of which nothing is known.
const Always = time.Duration(math.MaxInt64)

// Births tells when workers have started by the owner's clock. Their list tells it by the wall clock, which may step: the age
// of a worker is taken once, when it is first told, and is never more than the time in which it can have come.
type Births struct {
	now   func() time.Duration
	known map[string]birth
}

type birth struct {
	told    time.Time
	started time.Duration
}

// NewBirths keeps the births of the workers of one list.
func (o *Owner) NewBirths() *Births { return &Births{o.Now, map[string]birth{}} }

// Started is when a worker has started that the list says was born at a time; zero: long ago. A worker that is new in the list
// has come within a time.
func (b *Births) Started(worker string, born time.Time, within time.Duration) time.Duration {
	if born.IsZero() {
		delete(b.known, worker)
		return 0
	}
	if old, is := b.known[worker]; is && old.told.Equal(born) {
		return old.started
	}
	age := min(max(0, time.Since(born)), within)
	started := max(0, b.now()-age)
	b.known[worker] = birth{born, started}
	return started
}

// Forget forgets a worker that has left the list.
func (b *Births) Forget(worker string) { delete(b.known, worker) }

// Keep forgets all workers but those for which named is true.
func (b *Births) Keep(named map[string]bool) {
	for worker := range b.known {
		if !named[worker] {
			delete(b.known, worker)
		}
	}
}
