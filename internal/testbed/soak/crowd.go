package soak

import (
	"context"
	"sync/atomic"
	"time"
)

// TrafficSpike is a period in which clients send Factor times their usual request rate.
type TrafficSpike struct {
	At     time.Duration
	Length time.Duration
	Factor int
}

// rateMultiplier is the factor by which the clients' request rate is currently raised. The zero value is the usual
// rate.
type rateMultiplier struct{ extra atomic.Int64 }

func (m *rateMultiplier) factor() float64 { return float64(1 + m.extra.Load()) }

// play raises the request rate for the duration of a traffic spike.
func (m *rateMultiplier) play(ctx context.Context, spike TrafficSpike) {
	if spike.Factor <= 1 {
		return
	}
	sleep(ctx, spike.At)
	m.extra.Store(int64(spike.Factor - 1))
	sleep(ctx, spike.Length)
	m.extra.Store(0)
}
