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
	// localMeanCPUTime is the mean CPU time of a request at an emulated worker of RunLocal.
	localMeanCPUTime = 20 * time.Millisecond
	// localStoreCapacity is the number of concurrent fetches that the store of RunLocal serves at full speed.
	localStoreCapacity = 8
)

// ErrNothingToRun is returned by RunLocal if its options have no gateway or no worker.
var ErrNothingToRun = errors.New("at least one gateway and one worker are needed")

// LocalOptions configures RunLocal.
type LocalOptions struct {
	Config   fleetconfig.File
	Gateways int // number of gateways; the first listens at the address in Config, the others at the next ports
	Workers  int
	Log      *slog.Logger
	Ready    func(gateways []string, registry string) // called with the addresses once all gateways are running
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

// scenario returns the scenario that RunLocal plays. It has no arrivals and no faults.
func (o LocalOptions) scenario() Scenario {
	work := map[string]config.Duration{}
	for _, function := range o.Config.Functions {
		work[function.Name] = config.Duration(localMeanCPUTime)
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

// offsetPort returns addr with its port increased by offset. Port 0 stays 0, which means any free port.
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
