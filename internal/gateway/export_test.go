package gateway

import "time"

// StalledSince reports whether a stall of the process ended after t. Invariants are not checked across a stall.
func (l *EventLoop) StalledSince(t time.Time) bool { return l.stall.EndedAfter(t, time.Now()) }
