package thrift

import (
	"context"
	"time"
)

// Eviction: past Limits.MaxConns, idle connections end for new ones.
const (
	// capacityWait is how long a new connection waits for a place, and those behind it in the listen backlog.
	capacityWait = 500 * time.Millisecond

	// maxEvictionAttempts is the number of connections that are asked to end for one place.
	maxEvictionAttempts = 3

	// evictionTimeout is how long each of them may take.
	evictionTimeout = 50 * time.Millisecond
)

// awaitCapacity waits until there is a place for one more connection; false: there is none in time. Where something
// is owed on all, a new one waits rather than be closed with a request that its client may have sent.
func (s *Server) awaitCapacity(ctx context.Context) bool {
	for deadline := time.Now().Add(capacityWait); s.Connections() >= s.limits.MaxConns && !s.evictIdle(); {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(minAcceptBackoff)
	}
	return true
}

// evictIdle ends one connection on which nothing is owed. It ends by itself, once it has looked whether a request has
// come.
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

// evictionCandidate is the connection that has been idle longest. Those that have never sent a request go first, and
// those that have sent a part of a message last.
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

// evictionRank ranks a connection by the time of its last activity, the earliest to be evicted first.
func (c *Conn) evictionRank(now time.Time) (rank time.Time, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := &c.server.limits
	rank = c.lastActivity
	if !c.hasRequested {
		rank = rank.Add(-limits.IdleTimeout)
	}
	if !c.awaitingMessage { // a message is being read
		rank = rank.Add(2 * limits.IdleTimeout)
		if now.Sub(c.messageBegan) < limits.MessageTimeout/2 {
			return rank, false
		}
	}
	return rank, c.isIdle() && !c.disconnected && !c.closing && !c.evicting
}

// requestEviction asks a connection on which nothing is owed to end, if no request has come on it; false: it must not.
func (c *Conn) requestEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || c.disconnected || c.closing {
		return false
	}
	c.evicting = true
	_ = c.conn.SetReadDeadline(time.Now()) // a closed one has its error already
	return true
}
