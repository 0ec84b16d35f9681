package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// Indexes of fields in a line of /proc/net/tcp.
const (
	tcpLocalField  = 1
	tcpRemoteField = 2
	tcpInodeField  = 9
)

// gatewayOf returns the gateway whose process has the other end of a connection open; nil: none has, or no longer.
func (r *run) gatewayOf(conn net.Conn) *gatewayProcess {
	inode := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	if inode == "" {
		return nil
	}
	for _, gateway := range r.gateways {
		gateway.mu.Lock()
		pid := gateway.pidLocked()
		gateway.mu.Unlock()
		if pid > 0 && hasSocket(pid, inode) {
			return gateway
		}
	}
	return nil
}

// socketInode returns the inode of this machine's socket with the given local and remote address; empty: there is none.
func socketInode(local, remote net.Addr) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	wantLocal, wantRemote := procAddr(local), procAddr(remote)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > tcpInodeField && fields[tcpLocalField] == wantLocal && fields[tcpRemoteField] == wantRemote {
			return fields[tcpInodeField]
		}
	}
	return ""
}

// procAddr formats an IPv4 address and port as in /proc/net/tcp, with the address in the machine's byte order.
func procAddr(addr net.Addr) string {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(descriptor); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
