package platform_test

import (
	"context"
	"strconv"
	"testing"
	"time"
)

// A worker that has just started must be treated as cold even if the wall clock of the discovery service is wrong. With
// a clock an hour behind it must not appear to be an hour old, and with one an hour ahead its start time must not be in
// the future.
func TestEndpointStartTimesWithSkewedClock(t *testing.T) {
	h := start(t)
	awaitPoll(t, h)
	ms := func(off time.Duration) string { return strconv.FormatInt(time.Now().Add(off).UnixMilli(), 10) }
	addr := h.worker.Addr().String()
	before := h.gateway.Now()
	h.batches <- batchJSON(2, false,
		hostStartedAt("behind", addr, "up", ms(-time.Hour)),
		hostStartedAt("ahead", addr, "up", ms(time.Hour)),
		hostStartedAt("right", addr, "up", ms(0)))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		members, _ := h.gateway.Members(context.Background())
		if len(members) < 4 {
			if time.Now().After(end) {
				t.Fatal("the event was not applied within 20 s")
			}
			continue
		}
		for _, m := range members {
			if m.Worker == "w" {
				continue
			}
			if m.Started < before-5*time.Second || m.Started > h.gateway.Now() {
				t.Errorf("worker %s: start time %v, want about the present time %v", m.Worker, m.Started, h.gateway.Now())
			}
		}
		return
	}
}
