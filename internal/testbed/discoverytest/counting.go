package discoverytest

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of all connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept gives a connection that counts.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what was read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
