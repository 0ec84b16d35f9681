package scenario

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/url"
	"strconv"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

const (
	// localWork is the mean CPU time of a request at an emulated worker of RunLocal.
	localWork = 20 * time.Millisecond
	// localStoreCapacity is how many fetches its store serves at full speed.
	localStoreCapacity = 8
)

// ErrNothingToRun says that RunLocal was asked for no gateway or no worker.
var ErrNothingToRun = errors.New("at least one gateway and one worker are needed")

// LocalOptions are what RunLocal runs.
type LocalOptions struct {
	Config   fleetconfig.File
	Gateways int // the first listens where Config says, the others on the ports after it
	Workers  int
	Log      *slog.Logger
	Ready    func(gateways []string, registry string) // called with the addresses once all run
}

// RunLocal runs gateways, the registry and emulated workers in this process until ctx ends.
func RunLocal(ctx context.Context, options LocalOptions) (err error) {
	if options.Gateways < 1 || options.Workers < 1 {
		return ErrNothingToRun
	}
	registryURL, err := url.Parse(options.Config.Gateway.RegistryURL)
	if err != nil {
		return err
	}
	r := newRun(options.scenario(), Options{Config: options.Config, Log: options.Log}, registryURL.Host)
	r.captureDisabled = true
	defer r.stopFleet()
	if err := r.startFleet(ctx); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.drainGateways()) }()
	var addrs []string
	for i := range options.Gateways {
		addr, err := offsetPort(options.Config.Gateway.Listen, i)
		if err != nil {
			return err
		}
		if addr, err = r.startGateway(i, addr); err != nil {
			return err
		}
		addrs = append(addrs, addr)
	}
	options.Ready(addrs, "http://"+r.registryAddr)
	<-ctx.Done()
	return nil
}

// scenario is what RunLocal plays: no arrivals and no faults.
func (o LocalOptions) scenario() Scenario {
	work := map[string]config.Duration{}
	for _, function := range o.Config.Functions {
		work[function.Name] = config.Duration(localWork)
	}
	return Scenario{
		Name:          "up",
		Seed:          uint64(time.Now().UnixNano()),
		Gateways:      o.Gateways,
		StoreCapacity: localStoreCapacity,
		Work:          work,
		Workers:       Workers{Count: o.Workers, Cores: 2, Memory: 2 << 30, Queue: 128, Zones: 2},
	}
}

// offsetPort is an address some ports on. Port 0 stays 0: any free one.
func offsetPort(addr string, offset int) (string, error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", err
	}
	if port == 0 {
		offset = 0
	}
	return net.JoinHostPort(host, strconv.Itoa(port+offset)), nil
}
