// Package faultinject has the faults that workers, real and emulated, have on demand.
package faultinject

import (
	"net"
	"sync"
)

// Silencer has connections neither read nor write while it is on, and leaves them open. The zero value is off.
type Silencer struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the silence ends; nil: there is none
}

// Set turns the silence on or off.
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

// Listener wraps a listener so that its connections can be silenced.
func (s *Silencer) Listener(inner net.Listener) net.Listener { return &listener{inner, s} }

// listener accepts connections of a Silencer.
type listener struct {
	net.Listener
	silencer *Silencer
}

// Accept waits for the next connection.
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

// waitWhileSilent returns when there is no silence, or when the connection is closed.
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

// Read reads, and withholds what it read during a silence.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.waitWhileSilent()
	return n, err
}

// Write writes once there is no silence.
func (c *conn) Write(b []byte) (int, error) {
	c.waitWhileSilent()
	return c.Conn.Write(b)
}

// Close closes the connection and frees what a silence holds up.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
