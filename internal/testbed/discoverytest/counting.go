package discoverytest

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of all its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

// countingConn is a connection whose bytes are counted, in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
