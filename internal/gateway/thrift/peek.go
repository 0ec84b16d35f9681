package thrift

import (
	"net"
	"time"

	"lupinpond/internal/gateway/turns"
)

// peekConn is a connection with a read that does not block.
type peekConn struct {
	turns.Socket
	peeked []byte // data that peek has read from the connection and Read has not returned yet
}

func newPeekConn(conn net.Conn) peekConn { return peekConn{Socket: turns.NewSocket(conn)} }

// Read returns the data that peek has read, then reads from the connection.
func (p *peekConn) Read(b []byte) (int, error) {
	if len(p.peeked) > 0 {
		n := copy(b, p.peeked)
		p.peeked = p.peeked[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// ReadNow is like Read, but returns turns.ErrWouldBlock if no data has been received.
func (p *peekConn) ReadNow(b []byte) (int, error) {
	if len(p.peeked) > 0 {
		return p.Read(b)
	}
	return p.Socket.ReadNow(b)
}

// peek reads the data that has been received, without blocking, and reports whether there is any. It ignores the read
// deadline, and clears it. It returns false if the connection does not support such a read.
func (p *peekConn) peek() bool {
	if len(p.peeked) > 0 {
		return true
	}
	if p.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	b := make([]byte, readBufferBytes)
	n, err := p.ReadNow(b)
	if err != nil {
		return false
	}
	p.peeked = b[:n]
	return true
}
