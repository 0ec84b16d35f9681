package thrift

import (
	"net"
	"syscall"
	"time"
)

// peekConn is a connection that can be read from without waiting.
type peekConn struct {
	net.Conn
	peeked []byte
}

// Read reads what peek has read first.
func (p *peekConn) Read(b []byte) (int, error) {
	if len(p.peeked) > 0 {
		n := copy(b, p.peeked)
		p.peeked = p.peeked[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// peek reports whether something can be read now, though the time for reading may be up; false also where the system
// does not say.
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
