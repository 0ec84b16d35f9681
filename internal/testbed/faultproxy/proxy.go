// Package faultproxy is a TCP proxy on the loopback interface that injects the faults of networks and machines: it
// blocks, delays, truncates and resets connections.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is the interval at which a blocked connection checks whether the fault has ended.
	pollInterval = 2 * time.Millisecond
	// dialTimeout is the timeout for connecting to the target.
	dialTimeout = 2 * time.Second
	// bufferBytes is the maximum number of bytes that are forwarded at a time.
	bufferBytes = 16 << 10
)

// Fault is a fault that a Proxy injects. The zero value injects none.
type Fault struct {
	Blackhole       bool          // data is held back until the fault ends; connections stay open until a peer closes them
	Reject          bool          // new connections are reset at once, as if no process were listening
	Delay           time.Duration // delay before each chunk of data is forwarded, in both directions
	CloseAfterBytes int           // a connection is reset instead of forwarding more response bytes; 0: no limit
}

// Proxy forwards TCP connections to one address.
type Proxy struct {
	target     string
	listener   net.Listener
	fault      atomic.Pointer[Fault]
	background sync.WaitGroup

	mu    sync.Mutex
	pairs map[*connPair]bool
}

// connPair is a client's connection and the proxy's connection to the target for it.
type connPair struct {
	client, server net.Conn
	responseBytes  atomic.Int64
}

// New starts a proxy to target that listens on a free port of the loopback interface.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, pairs: map[*connPair]bool{}}
	p.fault.Store(&Fault{})
	p.background.Go(p.accept)
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetFault replaces the current fault. It also applies to open connections.
func (p *Proxy) SetFault(fault Fault) { p.fault.Store(&fault) }

// Reset resets all connections, to the client and to the target.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		ResetConn(pair.client)
		ResetConn(pair.server)
	}
}

// Close stops the proxy, resets all connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetFault(Fault{})
	p.Reset()
	p.background.Wait()
}

// ResetConn closes a connection so that the peer gets a TCP reset.
func ResetConn(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // if this fails, a close without a reset is sufficient
	}
	conn.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		p.background.Go(func() { p.relay(client) })
	}
}

// relay forwards one connection until both directions have ended.
func (p *Proxy) relay(client net.Conn) {
	if p.fault.Load().Reject {
		ResetConn(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		ResetConn(client)
		return
	}
	pair := &connPair{client: client, server: server}
	p.mu.Lock()
	p.pairs[pair] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, p.forwardRequest) })
	directions.Go(func() {
		p.copy(client, server, func(to net.Conn, chunk []byte) bool { return p.forwardResponse(pair, to, chunk) })
	})
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pair)
}

// copy forwards data in one direction until from ends or forward returns false. Then it closes both connections, with a
// reset unless from ended with io.EOF.
func (p *Proxy) copy(to, from net.Conn, forward func(to net.Conn, chunk []byte) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !forward(to, buffer[:n]) {
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

// forwardRequest forwards a chunk to the server. It returns false if the connection must be reset.
func (p *Proxy) forwardRequest(to net.Conn, chunk []byte) bool {
	p.waitForFault()
	_, err := to.Write(chunk)
	return err == nil
}

// forwardResponse forwards a chunk to the client. It returns false if the connection must be reset.
func (p *Proxy) forwardResponse(pair *connPair, to net.Conn, chunk []byte) bool {
	fault := p.waitForFault()
	if fault.CloseAfterBytes > 0 {
		before := int(pair.responseBytes.Add(int64(len(chunk)))) - len(chunk)
		if left := fault.CloseAfterBytes - before; left < len(chunk) {
			_, _ = to.Write(chunk[:max(0, left)]) // the connection is reset anyway
			return false
		}
	}
	_, err := to.Write(chunk)
	return err == nil
}

// waitForFault applies the delay of the current fault, blocks while the fault is a blackhole, and returns the fault
// that was current at the call.
func (p *Proxy) waitForFault() *Fault {
	fault := p.fault.Load()
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	for p.fault.Load().Blackhole {
		time.Sleep(pollInterval)
	}
	return fault
}
