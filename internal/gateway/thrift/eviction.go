package thrift

import (
	"context"
	"time"
)

// Eviction: once there are Limits.MaxConns connections, idle ones are closed to make room for new ones.
const (
	// capacityWait is how long a new connection waits for capacity. The connections behind it in the listen backlog
	// wait as long.
	capacityWait = 500 * time.Millisecond

	// maxEvictionAttempts is the maximum number of connections that are asked to close for one new connection.
	maxEvictionAttempts = 3

	// evictionTimeout is how long a connection that is asked to close may take.
	evictionTimeout = 50 * time.Millisecond
)

// awaitCapacity waits until the server can serve one more connection, and reports whether that was in time. If no
// connection is idle, a new one waits, as its client may have sent a request that would be lost if it were closed.
func (s *Server) awaitCapacity(ctx context.Context) bool {
	for deadline := time.Now().Add(capacityWait); s.Connections() >= s.limits.MaxConns && !s.evictIdle(); {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(minAcceptBackoff)
	}
	return true
}

// evictIdle evicts one idle connection and reports whether it has been closed. The reader of the connection closes it,
// after a check that no request has arrived.
func (s *Server) evictIdle() bool {
	for range maxEvictionAttempts {
		candidate := s.evictionCandidate()
		if candidate == nil {
			return false
		}
		if !candidate.requestEviction() {
			continue
		}
		select {
		case <-candidate.done:
			return true
		case <-time.After(evictionTimeout):
		}
	}
	return false
}

// evictionCandidate returns the connection that has been idle longest, or nil if none can be evicted. Connections that
// have never sent a request are evicted first, and those that have sent a part of a message last.
func (s *Server) evictionCandidate() (candidate *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var lowest time.Time
	for c := range s.conns {
		rank, evictable := c.evictionRank(now)
		if evictable && (candidate == nil || rank.Before(lowest)) {
			candidate, lowest = c, rank
		}
	}
	return candidate
}

// evictionRank returns the time of the last activity of a connection, adjusted for its state, and whether it can be
// evicted. The connection with the earliest rank is evicted first.
func (c *Conn) evictionRank(now time.Time) (rank time.Time, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := &c.server.limits
	rank = c.lastActivity
	if !c.hasRequested {
		rank = rank.Add(-limits.IdleTimeout)
	}
	if !c.awaitingMessage { // a message is being read or handled
		rank = rank.Add(2 * limits.IdleTimeout)
		if now.Sub(c.messageBegan) < limits.MessageTimeout/2 {
			return rank, false
		}
	}
	return rank, c.isIdle() && !c.disconnected && !c.closing && !c.evicting
}

// requestEviction asks an idle connection to close itself, which it does if no request has arrived. It returns false if
// the connection is not idle or is already closing.
func (c *Conn) requestEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || c.disconnected || c.closing {
		return false
	}
	c.evicting = true
	_ = c.conn.SetReadDeadline(time.Now()) // fails only on a closed connection, whose reader gets an error anyway
	return true
}
