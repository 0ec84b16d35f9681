package scale

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// idlePollInterval is the interval at which a pacer with rate 0 checks whether the rate has changed, and at which
// run.finish checks whether all gateways have the same endpoint list.
const idlePollInterval = 100 * time.Millisecond

// requestRate is a number of requests per second that may change concurrently.
type requestRate struct{ bits atomic.Uint64 }

func (r *requestRate) set(rate float64) { r.bits.Store(math.Float64bits(rate)) }

func (r *requestRate) get() float64 { return math.Float64frombits(r.bits.Load()) }

// pacer generates the times of requests as a Poisson process with a variable rate.
type pacer struct {
	rate   *requestRate
	random *rand.Rand
	next   time.Time
}

// wait waits until the time of the next request. It returns false if ctx is done earlier.
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
