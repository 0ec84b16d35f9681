// Command gateway accepts requests of clients and runs them on workers. With --config it speaks the platform's
// protocols, otherwise the HTTP invoke API with clients and the worker protocol with workers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
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

// flags are the flags of the command line. Aliases, and the second name of an environment variable, are names of
// earlier versions that still work.
type flags struct {
	telemetry.Flags
	Config        string `help:"${config_help}" env:"GW_CONFIG" type:"path"`
	MetricsAddr   string `name:"metrics" help:"${metrics_help} ($$${env})." env:"GATEWAY_METRICS,LPGATE_METRICS"`
	Settings      string `help:"Settings file; the built-in defaults are used without it." type:"path"`
	Listen        string `help:"Address for clients; overrides front.listen of the settings."`
	Name          string `help:"Name of this gateway in logs and request IDs."`
	Index         int    `default:"0" help:"Index of this gateway among all gateways, from 0."`
	GatewayCount  int    `name:"gateways" aliases:"peers" default:"1" help:"Number of gateways, this one included."`
	EndpointCache string `aliases:"keep-list" help:"File that caches the endpoint list for the next start." type:"path"`
	Capture       string `help:"File to which the traffic of all sockets is captured." type:"path"`
	Record        string `help:"File to which the core's inputs and actions are recorded." type:"path"`
}

// helpTexts are the help texts that are too long for a struct tag.
var helpTexts = kong.Vars{
	"config_help": "Configuration file of the platform; with it the gateway speaks the platform's protocols and " +
		"ignores all other flags but --metrics and the log flags.",
	"metrics_help": "Address at which a gateway of the platform serves Prometheus metrics; none by default",
}

// logFlushTimeout is how long the program waits before it exits for its remaining log lines to be read.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	var f flags
	kong.Parse(&f, kong.Name("gateway"), helpTexts, kong.Description("A gateway of lupinpond: accepts requests and "+
		"runs them on workers. On SIGTERM it stops accepting requests, answers all requests in flight and exits."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	signal.Ignore(syscall.SIGPIPE) // if the reader of the log has closed the pipe, only log lines are lost
	log, lossy := telemetry.NewLossyLogger(os.Stderr, f.Flags)
	defer lossy.Close(logFlushTimeout)
	if f.Config != "" {
		return platform.Run(f.Config, log, platform.Options{MetricsAddr: f.MetricsAddr, DroppedLogLines: lossy.Dropped})
	}
	return runFleet(f, log)
}

// runFleet runs a gateway that serves the invoke API, until a signal stops it.
func runFleet(f flags, log *slog.Logger) (err error) {
	options, err := f.options(log)
	if err != nil {
		return err
	}
	if f.Capture != "" {
		tap, stopCapture, captureErr := startCapture(f)
		if captureErr != nil {
			return captureErr
		}
		defer closeInto(&err, stopCapture)
		options.Tap = tap
	}
	if f.Record != "" {
		recording, createErr := os.Create(f.Record)
		if createErr != nil {
			return createErr
		}
		defer closeInto(&err, recording.Close)
		options.Record = recording
	}
	if options.Listener, err = net.Listen("tcp", options.Config.Gateway.Listen); err != nil {
		return err
	}
	g, err := gateway.New(options)
	if err != nil {
		return errors.Join(err, options.Listener.Close())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return g.Run(ctx, context.Background())
}

// options returns the gateway's options from the flags and the settings.
func (f flags) options(log *slog.Logger) (gateway.Options, error) {
	settings, err := f.settings()
	if err != nil {
		return gateway.Options{}, err
	}
	options := gateway.Options{
		Name:         f.Name,
		Index:        f.Index,
		GatewayCount: f.GatewayCount,
		Seed:         uint64(time.Now().UnixNano()),
		Config:       settings,
		Log:          log,
	}
	if f.EndpointCache != "" {
		options.CachedEndpoints, err = gateway.ReadEndpointCache(f.EndpointCache)
		if err != nil && !errors.Is(err, fs.ErrNotExist) { // not fatal: the registry sends the complete list
			log.Warn("endpoint cache not read", "err", err)
		}
		options.OnEndpoints = func(event registry.WatchEvent) {
			if err := gateway.WriteEndpointCache(f.EndpointCache, event); err != nil {
				log.Error("endpoint cache not written", "err", err)
			}
		}
	}
	return options, nil
}

// settings reads the settings, applies the flags that override them, and validates both.
func (f flags) settings() (fleetconfig.File, error) {
	settings, err := fleetconfig.Default()
	if f.Settings != "" {
		settings, err = fleetconfig.Read(f.Settings)
	}
	if err != nil {
		return settings, err
	}
	if f.Index < 0 || f.Index >= f.GatewayCount {
		return settings, fmt.Errorf("--index %d: must be from 0 to one less than --gateways %d", f.Index, f.GatewayCount)
	}
	if f.Listen != "" {
		settings.Gateway.Listen = f.Listen
	}
	return settings, config.CheckLoopback(settings.Gateway.Listen)
}

// startCapture starts a capture of the traffic of all sockets. stop ends it and completes the file.
func startCapture(f flags) (tap *capture.Tap, stop func() error, err error) {
	file, err := os.Create(f.Capture)
	if err != nil {
		return nil, nil, err
	}
	base := time.Now()
	writer, err := capture.NewWriter(file, capture.Header{Incarnation: f.Name, GatewayIndex: f.Index, Base: base})
	if err != nil {
		return nil, nil, errors.Join(err, file.Close())
	}
	stop = func() error {
		writeErr := writer.Close()
		return errors.Join(writeErr, file.Close())
	}
	return capture.NewTap(base, writer.Add), stop, nil
}

// closeInto calls closeFunc and stores its error in *err, unless *err already holds an error.
func closeInto(err *error, closeFunc func() error) {
	if closeErr := closeFunc(); *err == nil {
		*err = closeErr
	}
}
