package soak

import (
	"net"
	"net/netip"
	"os"
	"syscall"
)

// listenBacklog is the number of connections that may wait to be accepted.
const listenBacklog = 4

// listenShortBacklog listens at a loopback address with a short backlog, which net.Listen can't set.
func listenShortBacklog(addr string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // the listener has its own descriptor
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := syscall.Listen(fd, listenBacklog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}
