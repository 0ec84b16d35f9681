// Package faultinject has ways to misbehave that real and imitation workers share.
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

// Set begins or ends the silence.
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

// Listener wraps a listener whose connections fall silent.
func (s *Silencer) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	silencer *Silencer
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, silencer: l.silencer, closed: make(chan struct{})}, nil
}

type conn struct {
	net.Conn
	silencer *Silencer
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) wait() {
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

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wait()
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.wait()
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
