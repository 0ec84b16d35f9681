// Package faultproxy relays TCP connections on loopback and does to them what networks and machines do: it holds, delays, cuts and
// resets.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what is done to what passes. The zero value relays.
type Fault struct {
	Blackhole       bool          // nothing passes, nothing is closed: a machine that is cut off
	Delay           time.Duration // of each part that passes, both ways
	CloseAfterBytes int           // bytes of answers after which a connection ends; 0: none does
}

// Proxy relays connections to one address.
type Proxy struct {
	target   string
	listener net.Listener
	fault    atomic.Pointer[Fault]

	mu         sync.Mutex
	pairs      map[*connPair]bool
	background sync.WaitGroup
}

// connPair is a connection and the one that it is relayed to.
type connPair struct {
	client, server net.Conn
	responseBytes  atomic.Int64
}

const (
	pollInterval = 2 * time.Millisecond
	dialTimeout  = 2 * time.Second
	bufferBytes  = 16 << 10
)

// New makes a proxy at a free port of loopback.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, pairs: map[*connPair]bool{}}
	p.fault.Store(&Fault{})
	p.background.Add(1)
	go p.accept()
	return p, nil
}

// Addr is where it listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFault has a fault from now on, on the connections that stand too.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(&f) }

// Reset resets every connection, towards both ends.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		ResetConn(x.client)
		ResetConn(x.server)
	}
}

// Close ends the proxy and every connection.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetFault(Fault{})
	p.Reset()
	p.background.Wait()
}

// ResetConn ends a connection with a reset.
func ResetConn(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // where it can't be a reset, an end serves as well
	}
	conn.Close()
}

func (p *Proxy) accept() {
	defer p.background.Done()
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		p.background.Add(1)
		go p.relay(client)
	}
}

// relay relays one connection until both ways have ended.
func (p *Proxy) relay(client net.Conn) {
	defer p.background.Done()
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		ResetConn(client)
		return
	}
	x := &connPair{client: client, server: server}
	p.mu.Lock()
	p.pairs[x] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(x, server, client, false) })
	both.Go(func() { p.copy(x, client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}

// copy passes one way until it ends, and ends the other end as this one has ended.
func (p *Proxy) copy(x *connPair, to, from net.Conn, answers bool) {
	part := make([]byte, bufferBytes)
	for {
		n, err := from.Read(part)
		if n > 0 && !p.forward(x, to, part[:n], answers) {
			ResetConn(to)
			ResetConn(from)
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			to.Close()
			from.Close()
		} else {
			ResetConn(to)
			ResetConn(from)
		}
		return
	}
}

// forward passes a part; false: the connection ends.
func (p *Proxy) forward(x *connPair, to net.Conn, part []byte, answers bool) bool {
	f := p.fault.Load()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	for p.fault.Load().Blackhole {
		time.Sleep(pollInterval)
	}
	if answers && f.CloseAfterBytes > 0 {
		room := f.CloseAfterBytes - int(x.responseBytes.Add(int64(len(part)))) + len(part)
		if room < len(part) {
			_, _ = to.Write(part[:max(0, room)]) // it ends anyway
			return false
		}
	}
	_, err := to.Write(part)
	return err == nil
}
