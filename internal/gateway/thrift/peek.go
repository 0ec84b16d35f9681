package thrift

import (
	"net"
	"syscall"
	"time"
)

// peekConn is a connection with a read that does not block.
type peekConn struct {
	net.Conn
	peeked []byte // data that peek has read from the connection and Read has not returned yet
}

// Read returns the data that peek has read, then reads from the connection.
func (p *peekConn) Read(b []byte) (int, error) {
	if len(p.peeked) > 0 {
		n := copy(b, p.peeked)
		p.peeked = p.peeked[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// peek reads the data that has been received, without blocking, and reports whether there is any. It ignores the read
// deadline, and clears it. It returns false if the connection does not support such a read.
func (p *peekConn) peek() bool {
	raw, ok := p.Conn.(syscall.Conn)
	if !ok || p.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	b := make([]byte, readBufferBytes)
	n := 0
	err = control.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	if err != nil || n <= 0 {
		return false
	}
	p.peeked = b[:n]
	return true
}
