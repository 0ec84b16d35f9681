package thrift

// ReadingConns returns the number of connections on which a message is being read or handled.
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
