// Package faultinject defines the faults that can be injected into real and emulated workers.
package faultinject

import (
	"net"
	"sync"
)

// Silencer blocks reads and writes on connections while it is on. The connections remain open. The zero value is off.
type Silencer struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the silencer is turned off; nil while it is off
}

// Set turns the silencer on or off.
func (s *Silencer) Set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.ended == nil:
		s.ended = make(chan struct{})
	case !on && s.ended != nil:
		close(s.ended)
		s.ended = nil
	}
}

// Listener wraps a listener. The silencer applies to the connections that the returned listener accepts.
func (s *Silencer) Listener(inner net.Listener) net.Listener { return &listener{inner, s} }

// listener is a net.Listener whose connections can be silenced.
type listener struct {
	net.Listener
	silencer *Silencer
}

// Accept waits for the next connection and wraps it in a conn.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, silencer: l.silencer, closed: make(chan struct{})}, nil
}

// conn is a connection that can be silenced.
type conn struct {
	net.Conn
	silencer  *Silencer
	closeOnce sync.Once
	closed    chan struct{}
}

// waitWhileSilent blocks while the silencer is on, until it is turned off or the connection is closed.
func (c *conn) waitWhileSilent() {
	c.silencer.mu.Lock()
	ended := c.silencer.ended
	c.silencer.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-c.closed:
	}
}

// Read reads from the connection. Data that arrives while the silencer is on is returned once it is off.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.waitWhileSilent()
	return n, err
}

// Write writes to the connection once the silencer is off.
func (c *conn) Write(b []byte) (int, error) {
	c.waitWhileSilent()
	return c.Conn.Write(b)
}

// Close closes the connection and unblocks reads and writes that wait for the silencer.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
