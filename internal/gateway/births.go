package gateway

import (
	"math"
	"time"
)

// UnboundedAge is the bound of an age of which nothing is known.
const UnboundedAge = time.Duration(math.MaxInt64)

// StartTimes tells when workers have started by the owner's clock. Their list tells it by the wall clock, which may step: the age
// of a worker is taken once, when it is first told, and is never more than the time in which it can have come.
type StartTimes struct {
	now   func() time.Duration
	known map[string]startTime
}

type startTime struct {
	reported time.Time
	started  time.Duration
}

// NewStartTimes keeps the births of the workers of one list.
func (o *EventLoop) NewStartTimes() *StartTimes { return &StartTimes{o.Now, map[string]startTime{}} }

// Started is when a worker has started that the list says was born at a time; zero: long ago. A worker that is new in the list
// has come within a time.
func (b *StartTimes) Started(worker string, born time.Time, within time.Duration) time.Duration {
	if born.IsZero() {
		delete(b.known, worker)
		return 0
	}
	if old, is := b.known[worker]; is && old.reported.Equal(born) {
		return old.started
	}
	age := min(max(0, time.Since(born)), within)
	started := max(0, b.now()-age)
	b.known[worker] = startTime{born, started}
	return started
}

// Forget forgets a worker that has left the list.
func (b *StartTimes) Forget(worker string) { delete(b.known, worker) }

// Retain forgets all workers but those for which named is true.
func (b *StartTimes) Retain(named map[string]bool) {
	for worker := range b.known {
		if !named[worker] {
			delete(b.known, worker)
		}
	}
}
