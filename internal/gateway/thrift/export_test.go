package thrift

// ReadingConns is the number of connections of which a message is being read or handled.
func (s *Server) ReadingConns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if !c.awaitingMessage {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
