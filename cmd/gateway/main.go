// Command gateway is a front end.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/base/config"
	"lupinpond/internal/base/telemetry"
	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/platform"
	"lupinpond/internal/registry"
)

type flags struct {
	telemetry.Flags
	Config        string `help:"The platform's configuration: the front end speaks its protocol; no flag but --metrics and those of logs counts then." env:"GW_CONFIG" type:"path"`
	MetricsAddr   string `name:"metrics" help:"Address where a front end of the platform serves its state to Prometheus; none by default." env:"LPGATE_METRICS"`
	Settings      string `help:"File of settings; without it the built-in defaults." type:"path"`
	Listen        string `help:"Where clients come, instead of front.listen."`
	Name          string `help:"Name of this front end in logs and events' ids."`
	Index         int    `default:"0" help:"Its number among the front ends, from 0."`
	GatewayCount  int    `name:"peers" default:"1" help:"How many front ends there are, this one included."`
	EndpointCache string `name:"keep-list" help:"File in which the list of workers is kept for the next start." type:"path"`
	Capture       string `help:"File for a capture of all sockets." type:"path"`
	Record        string `help:"File for a recording of the core." type:"path"`
}

// logFlushTimeout is how long the end waits for who reads the log.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	var f flags
	kong.Parse(&f, kong.Name("gateway"), kong.Description("A front end of lupinpond: takes events over HTTP and has workers "+
		"run them. On SIGTERM it takes no new events, answers every event in hand and ends."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

func run(f flags) (err error) {
	signal.Ignore(syscall.SIGPIPE) // of a log that nobody reads any more: what is written there fails, and is dropped
	log, lossy := telemetry.NewLossyLogger(os.Stderr, f.Flags)
	defer lossy.Close(logFlushTimeout)
	if f.Config != "" {
		return platform.Run(f.Config, log, platform.Options{MetricsAddr: f.MetricsAddr, DroppedLogLines: lossy.Dropped})
	}
	file, err := fleetconfig.Default()
	if f.Settings != "" {
		file, err = fleetconfig.Read(f.Settings)
	}
	if err != nil {
		return err
	}
	if f.Index < 0 || f.Index >= f.GatewayCount {
		return fmt.Errorf("--index %d: from 0 to one less than --peers %d", f.Index, f.GatewayCount)
	}
	if f.Listen != "" {
		file.Gateway.Listen = f.Listen
	}
	if err := config.CheckLoopback(file.Gateway.Listen); err != nil {
		return err
	}
	o := gateway.Options{Name: f.Name, Index: f.Index, GatewayCount: f.GatewayCount, Seed: uint64(time.Now().UnixNano()), Config: file, Log: log}
	if f.EndpointCache != "" {
		if o.CachedEndpoints, err = gateway.ReadEndpointCache(f.EndpointCache); err != nil { // an unreadable one is as none: the list comes anew
			log.Warn("starting without a kept list", "err", err)
		}
		o.OnEndpoints = func(n registry.WatchEvent) {
			if err := gateway.WriteEndpointCache(f.EndpointCache, n); err != nil {
				log.Error("the list is not kept", "err", err)
			}
		}
	}
	closing := func(c func() error) {
		if cerr := c(); err == nil && cerr != nil {
			err = cerr
		}
	}
	if f.Capture != "" {
		out, cerr := os.Create(f.Capture)
		if cerr != nil {
			return cerr
		}
		defer closing(out.Close)
		base := time.Now()
		capturing, cerr := capture.NewWriter(out, capture.Header{Incarnation: f.Name, GatewayIndex: f.Index, Base: base})
		if cerr != nil {
			return cerr
		}
		defer closing(capturing.Close)
		o.Tap = capture.NewTap(base, capturing.Add)
	}
	if f.Record != "" {
		out, cerr := os.Create(f.Record)
		if cerr != nil {
			return cerr
		}
		defer closing(out.Close)
		o.Record = out
	}
	if o.Listener, err = net.Listen("tcp", file.Gateway.Listen); err != nil {
		return err
	}
	g, err := gateway.New(o)
	if err != nil {
		return errors.Join(err, o.Listener.Close())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return g.Run(ctx, context.Background())
}
