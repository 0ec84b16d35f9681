package thrift

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errWouldBlock is the error of a read that does not block and finds no data.
var errWouldBlock = errors.New("thrift: no data has arrived")

// peekConn is a connection with a read that does not block.
type peekConn struct {
	net.Conn
	raw    syscall.RawConn // nil if the connection does not support a read that does not block
	peeked []byte          // data that peek has read from the connection and Read has not returned yet
}

func newPeekConn(conn net.Conn) peekConn {
	p := peekConn{Conn: conn}
	if supported, ok := conn.(syscall.Conn); ok {
		if raw, err := supported.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	return p
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

// readNow is like Read, but returns errWouldBlock if no data has been received. If the connection does not support such a
// read, it always returns errWouldBlock.
func (p *peekConn) readNow(b []byte) (n int, err error) {
	if len(p.peeked) > 0 {
		return p.Read(b)
	}
	if p.raw == nil {
		return 0, errWouldBlock
	}
	controlErr := p.raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return 0, errWouldBlock
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
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
	n, err := p.readNow(b)
	if err != nil {
		return false
	}
	p.peeked = b[:n]
	return true
}

// closedByClient reports whether the client has closed or reset the connection, also if data is unread. It returns false
// if the system does not tell.
func (p *peekConn) closedByClient() bool {
	if p.raw == nil {
		return false
	}
	closed := false
	err := p.raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, pollErr := unix.Poll(state, 0)
		closed = pollErr == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil // an error: this side has closed it
}
