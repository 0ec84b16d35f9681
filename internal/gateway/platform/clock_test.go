package platform_test

import (
	"context"
	"strconv"
	"testing"
	"time"
)

// A worker that has just started is cold, whatever the wall clock of who tells it says: one that is an hour behind does not make it
// old, one that is an hour ahead not unborn.
func TestEndpointStartTimesWithSkewedClock(t *testing.T) {
	r := start(t)
	awaitPoll(t, r)
	ms := func(off time.Duration) string { return strconv.FormatInt(time.Now().Add(off).UnixMilli(), 10) }
	addr := r.worker.Addr().String()
	began := r.gateway.Now()
	r.batches <- batchJSON(2, false, hostStartedAt("behind", addr, "up", ms(-time.Hour)), hostStartedAt("ahead", addr, "up", ms(time.Hour)),
		hostStartedAt("right", addr, "up", ms(0)))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		members, _ := r.gateway.Members(context.Background())
		if len(members) < 4 {
			if time.Now().After(end) {
				t.Fatal("the list is not heard of")
			}
			continue
		}
		for _, m := range members {
			if m.Worker == "w" {
				continue
			}
			if m.Started < began-5*time.Second || m.Started > r.gateway.Now() {
				t.Errorf("%s: started at %v, it is %v", m.Worker, m.Started, r.gateway.Now())
			}
		}
		return
	}
}
