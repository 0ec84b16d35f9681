package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	// dialPause is the pause between attempts to connect to a starting gateway.
	dialPause = 50 * time.Millisecond
	// readyTimeout is the time limit for a starting gateway to listen.
	readyTimeout = 30 * time.Second
)

// ErrNoGatewayProgram reports that a plan has real gateways but their program was not given or does not exist.
var ErrNoGatewayProgram = errors.New("the plan has real gateways and needs the path of their program")

// CheckGatewayProgram returns an error if the plan has real gateways and their program does not exist.
func (p Plan) CheckGatewayProgram(program string) error {
	if p.Gateways.Real == 0 {
		return nil
	}
	if program == "" {
		return ErrNoGatewayProgram
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%w: %w", ErrNoGatewayProgram, err)
	}
	return nil
}

// realGateway is the process of a real gateway.
type realGateway struct {
	*process
	addr string
}

// realGatewaySetup contains the parameters for starting a real gateway.
type realGatewaySetup struct {
	plan          Plan
	program       string
	dir           string // directory of its configuration file
	index         int
	discoveryAddr string
	known         json.RawMessage // initial endpoint list
}

// startRealGateway starts the gateway program in the same way as the deploy file. crashed is called if the process ends
// before it is stopped.
func (s *starter) startRealGateway(setup realGatewaySetup, crashed func(error)) (*realGateway, error) {
	addr, err := freeAddress(loopback(gatewaysNet, setup.index))
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("real-%d", setup.index)
	config, err := setup.plan.platformConfig(name, addr, setup.discoveryAddr, setup.index, setup.known)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(setup.dir, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(setup.program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file, "GW_NAME="+name, "GW_LISTEN="+addr, "TMPDIR="+setup.dir)
	child, err := s.start(name, cmd, crashed)
	if err != nil {
		return nil, err
	}
	return &realGateway{process: child, addr: addr}, nil
}

// freeAddress returns an address on a loopback host with a port that is not in use.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// dialGateway connects to a gateway. It retries for readyTimeout, until the gateway listens.
func dialGateway(ctx context.Context, addr string) (net.Conn, error) {
	end := time.Now().Add(readyTimeout)
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return conn, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialPause):
		}
	}
}
