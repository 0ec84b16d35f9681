package platform_test

import (
	"context"
	"strconv"
	"testing"
	"time"
)

// A worker that has just started is cold, whatever the wall clock of who tells it says: one that is an hour behind does not make it
// old, one that is an hour ahead not unborn.
func TestWallClockOfTheListIsOff(t *testing.T) {
	r := start(t)
	waited(t, r)
	ms := func(off time.Duration) string { return strconv.FormatInt(time.Now().Add(off).UnixMilli(), 10) }
	addr := r.worker.Addr().String()
	began := r.front.Now()
	r.journal <- changes(2, false, oneBorn("behind", addr, "up", ms(-time.Hour)), oneBorn("ahead", addr, "up", ms(time.Hour)),
		oneBorn("right", addr, "up", ms(0)))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		members, _ := r.front.Members(context.Background())
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
			if m.Started < began-5*time.Second || m.Started > r.front.Now() {
				t.Errorf("%s: started at %v, it is %v", m.Worker, m.Started, r.front.Now())
			}
		}
		return
	}
}
