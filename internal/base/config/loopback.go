package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
)

// CheckLoopback returns an error if addr is not of the form HOST:PORT or its host is not a loopback address.
func CheckLoopback(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not an address of the form HOST:PORT", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > math.MaxUint16 {
		return fmt.Errorf("%q: the port must be a number from 0 to 65535", addr)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q is not on loopback", addr)
	}
	return nil
}
