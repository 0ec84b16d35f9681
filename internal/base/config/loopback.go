package config

import (
	"fmt"
	"net"
	"strconv"
)

// CheckLoopback refuses an address of a socket that is not on loopback.
func CheckLoopback(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q: the port is no number from 0 to 65535", addr)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q is not on loopback", addr)
	}
	return nil
}
