package gateway

import (
	"testing"
	"time"
)

// A worker's age must be computed only once, when its start time is first reported, so that later steps of the wall
// clock have no effect. It must be bounded by the time within which the worker can have started.
func TestStartTimes(t *testing.T) {
	now := 10 * time.Hour
	times := &StartTimes{func() time.Duration { return now }, map[string]startTime{}}
	want := func(what string, got, wanted time.Duration) {
		t.Helper()
		if d := got - wanted; d < -time.Second || d > time.Second {
			t.Errorf("%s: %v, want %v", what, got, wanted)
		}
	}
	reported := time.Now().Add(-5 * time.Second)
	want("listed at the gateway's start", times.Started("a", reported, UnboundedAge), now-5*time.Second)
	want("the wall clock was set ahead an hour",
		times.Started("b", time.Now().Add(-time.Hour), 2*time.Second), now)
	want("listed with a delay", times.Started("e", time.Now().Add(-5*time.Second), 2*time.Second), now-2*time.Second)
	want("started during an outage of the list", times.Started("f", time.Now().Add(-20*time.Second), 30*time.Second),
		now-20*time.Second)
	want("started during an outage, the wall clock was set ahead an hour",
		times.Started("g", time.Now().Add(-time.Hour), 30*time.Second), now)
	want("the wall clock was set back an hour", times.Started("c", time.Now().Add(time.Hour), 2*time.Second), now)
	now += time.Minute
	want("reported again", times.Started("a", reported, 0), now-time.Minute-5*time.Second)
	want("another incarnation", times.Started("a", reported.Add(time.Millisecond), 0), now)
	want("no start time reported", times.Started("d", time.Time{}, 0), 0)
	times.Remove("b")
	times.Retain(map[string]bool{"a": true})
	if len(times.known) != 1 {
		t.Error(times.known)
	}
}
