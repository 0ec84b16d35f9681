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
	// dialPause is how long a client waits before it dials a starting gateway again.
	dialPause = 50 * time.Millisecond
	// readyTimeout is how long a gateway may take to listen.
	readyTimeout = 30 * time.Second
)

// ErrNoGatewayProgram says that a plan has real gateways and no program was named for them.
var ErrNoGatewayProgram = errors.New("the plan has real gateways: name their program")

// CheckGatewayProgram checks that the program of the real gateways is there, if the plan has some.
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

// realGateway is a real gateway's process.
type realGateway struct {
	*process
	addr string
}

// realGatewaySetup is what a real gateway is started with.
type realGatewaySetup struct {
	plan          Plan
	program       string
	dir           string // of its configuration
	index         int
	discoveryAddr string
	known         json.RawMessage // the endpoints that it begins with
}

// startRealGateway starts the program as the deploy file does; crashed is called when it ends without having been
// stopped.
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

// freeAddress finds a port at a host of loopback that nothing else has an address at.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// dialGateway waits until a gateway listens.
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
