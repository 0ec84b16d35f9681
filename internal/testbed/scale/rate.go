package scale

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// idlePollInterval is how often a sender without requests looks whether it has some again.
const idlePollInterval = 100 * time.Millisecond

// requestRate is a number of requests a second that may change at any time.
type requestRate struct{ bits atomic.Uint64 }

func (r *requestRate) set(rate float64) { r.bits.Store(math.Float64bits(rate)) }

func (r *requestRate) get() float64 { return math.Float64frombits(r.bits.Load()) }

// pacer spaces requests at random times around a rate.
type pacer struct {
	rate   *requestRate
	random *rand.Rand
	next   time.Time
}

// wait waits for the time of the next request; false: ctx has ended.
func (p *pacer) wait(ctx context.Context) bool {
	for {
		rate := p.rate.get()
		pause := idlePollInterval
		if rate > 0 {
			pause = time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
		}
		p.next = p.next.Add(pause)
		timer := time.NewTimer(time.Until(p.next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
		if rate > 0 {
			return true
		}
	}
}
