package turns

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrWouldBlock is the error of a read that does not block and finds no data.
var ErrWouldBlock = errors.New("no data has arrived")

// Socket is a connection that can be read without blocking.
type Socket struct {
	net.Conn
	raw syscall.RawConn // nil if the connection does not support it
}

// NewSocket returns a Socket for a connection.
func NewSocket(conn net.Conn) Socket {
	s := Socket{Conn: conn}
	if supported, ok := conn.(syscall.Conn); ok {
		if raw, err := supported.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	return s
}

// ReadNow reads data that has been received; without any it returns ErrWouldBlock. If the connection does not support
// such a read, it always returns ErrWouldBlock.
func (s *Socket) ReadNow(b []byte) (n int, err error) {
	if s.raw == nil {
		return 0, ErrWouldBlock
	}
	controlErr := s.raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return 0, ErrWouldBlock
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// ClosedByClient reports whether the client has closed or reset the connection, also if data is unread. It returns false
// if the system does not tell.
func (s *Socket) ClosedByClient() bool {
	if s.raw == nil {
		return false
	}
	closed := false
	err := s.raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, pollErr := unix.Poll(state, 0)
		closed = pollErr == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil // an error: this side has closed it
}
