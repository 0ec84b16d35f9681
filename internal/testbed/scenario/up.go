package scenario

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strconv"
	"time"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
	"lupinpond/internal/testbed/emulator"
)

// RunLocal runs front ends, the list and imitation workers in this process until ctx ends; ready is told the addresses.
func RunLocal(ctx context.Context, f fleetconfig.File, fronts, workers int, log *slog.Logger, ready func(fronts []string, list string)) (err error) {
	if fronts < 1 || workers < 1 {
		return fmt.Errorf("at least one front end and one worker")
	}
	list, err := url.Parse(f.Gateway.RegistryURL)
	if err != nil {
		return err
	}
	host, text, err := net.SplitHostPort(f.Gateway.Listen)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	day := Scenario{Name: "up", Seed: uint64(time.Now().UnixNano()), Gateways: fronts, StoreCapacity: 8, Work: map[string]config.Duration{},
		Workers: Workers{Count: workers, Cores: 2, Memory: 2 << 30, Queue: 128, Zones: 2}}
	for _, fn := range f.Functions {
		day.Work[fn.Name] = config.Duration(20 * time.Millisecond)
	}
	s := &run{scenario: day, options: Options{Config: f, Log: log}, startedAt: time.Now(), store: emulator.NewStore(day.StoreCapacity),
		executions: emulator.NewExecutionLog(), registryAddr: list.Host, captureDisabled: true, cachedEndpoints: map[int]registry.WatchEvent{}}
	if err := s.startFleet(ctx); err != nil {
		return err
	}
	defer func() {
		for _, w := range s.workers {
			w.Stop()
		}
	}()
	defer func() { _ = s.registryServer.Close() }()
	var addrs []string
	defer func() {
		for _, l := range s.running {
			if serr := s.stopGateway(l, true); err == nil {
				err = serr
			}
		}
	}()
	for i := range fronts {
		addr := net.JoinHostPort(host, strconv.Itoa(port))
		if port != 0 {
			addr = net.JoinHostPort(host, strconv.Itoa(port+i))
		}
		if addr, err = s.startGateway(i, addr); err != nil {
			return err
		}
		addrs = append(addrs, addr)
	}
	ready(addrs, "http://"+s.registryAddr)
	<-ctx.Done()
	return nil
}
