package gateway

import "time"

// StalledSince reports whether a stall of the process has ended after a time: invariants are not checked across it.
func (l *EventLoop) StalledSince(t time.Time) bool { return l.stall.EndedAfter(t, time.Now()) }
