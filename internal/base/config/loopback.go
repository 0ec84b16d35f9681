package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
)

// CheckLoopback returns an error for a socket address that is not on loopback.
func CheckLoopback(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > math.MaxUint16 {
		return fmt.Errorf("%q: the port is no number from 0 to 65535", addr)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q is not on loopback", addr)
	}
	return nil
}
