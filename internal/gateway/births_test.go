package gateway

import (
	"testing"
	"time"
)

// The age of a worker is taken when it is first told, whatever the wall clock says later, and is bounded by when it can have come.
func TestStartTimes(t *testing.T) {
	now := 10 * time.Hour
	b := &StartTimes{func() time.Duration { return now }, map[string]startTime{}}
	wants := func(what string, got, want time.Duration) {
		t.Helper()
		if d := got - want; d < -time.Second || d > time.Second {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	born := time.Now().Add(-5 * time.Second)
	wants("known from the start", b.Started("a", born, UnboundedAge), now-5*time.Second)
	wants("the wall clock was set ahead an hour", b.Started("b", time.Now().Add(-time.Hour), 2*time.Second), now-2*time.Second)
	wants("the wall clock was set back an hour", b.Started("c", time.Now().Add(time.Hour), 2*time.Second), now)
	now += time.Minute
	wants("told again", b.Started("a", born, 0), now-time.Minute-5*time.Second)
	wants("another life", b.Started("a", born.Add(time.Millisecond), 0), now)
	wants("long ago", b.Started("d", time.Time{}, 0), 0)
	b.Forget("b")
	b.Retain(map[string]bool{"a": true})
	if len(b.known) != 1 {
		t.Error(b.known)
	}
}
