// Command gateway takes clients' requests and has workers run them. With --config it speaks the platform's
// protocols, else the invoke API to clients and the worker protocol to workers.
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

// flags are the command line. Aliases, and the second name of an environment variable, are those of earlier versions.
type flags struct {
	telemetry.Flags
	Config        string `help:"${config_help}" env:"GW_CONFIG" type:"path"`
	MetricsAddr   string `name:"metrics" help:"${metrics_help} ($$${env})." env:"GATEWAY_METRICS,LPGATE_METRICS"`
	Settings      string `help:"File of settings; without it the built-in defaults." type:"path"`
	Listen        string `help:"Address for clients, instead of front.listen."`
	Name          string `help:"Name of this gateway in logs and request ids."`
	Index         int    `default:"0" help:"Its number among the gateways, from 0."`
	GatewayCount  int    `name:"gateways" aliases:"peers" default:"1" help:"Number of gateways, this one included."`
	EndpointCache string `aliases:"keep-list" help:"File that caches the endpoint list for the next start." type:"path"`
	Capture       string `help:"File for a capture of all sockets." type:"path"`
	Record        string `help:"File for a recording of the core." type:"path"`
}

// The texts of the command line's help that are too long for a tag.
var helpTexts = kong.Vars{
	"config_help": "The platform's configuration: the gateway speaks its protocols; of the other flags only " +
		"--metrics and those of logs count then.",
	"metrics_help": "Address where a gateway of the platform serves its state to Prometheus; none by default",
}

// logFlushTimeout is how long the program waits at its end for the reader of its log.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	var f flags
	kong.Parse(&f, kong.Name("gateway"), helpTexts, kong.Description("A gateway of lupinpond: takes requests and has "+
		"workers run them. On SIGTERM it accepts no new requests, answers every request in flight and exits."))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	signal.Ignore(syscall.SIGPIPE) // of a log that nobody reads any more: writing it fails, and its lines are dropped
	log, lossy := telemetry.NewLossyLogger(os.Stderr, f.Flags)
	defer lossy.Close(logFlushTimeout)
	if f.Config != "" {
		return platform.Run(f.Config, log, platform.Options{MetricsAddr: f.MetricsAddr, DroppedLogLines: lossy.Dropped})
	}
	return runFleet(f, log)
}

// runFleet runs a gateway of the invoke API until a signal ends it.
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

// options are those that the flags and the settings state.
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
		if err != nil && !errors.Is(err, fs.ErrNotExist) { // the gateway starts without: the registry sends the list anew
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

// settings reads the settings and checks them and the flags.
func (f flags) settings() (fleetconfig.File, error) {
	settings, err := fleetconfig.Default()
	if f.Settings != "" {
		settings, err = fleetconfig.Read(f.Settings)
	}
	if err != nil {
		return settings, err
	}
	if f.Index < 0 || f.Index >= f.GatewayCount {
		return settings, fmt.Errorf("--index %d: from 0 to one less than --gateways %d", f.Index, f.GatewayCount)
	}
	if f.Listen != "" {
		settings.Gateway.Listen = f.Listen
	}
	return settings, config.CheckLoopback(settings.Gateway.Listen)
}

// startCapture starts a capture of all sockets; stop completes its file.
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

// closeInto closes something and keeps its error where there is none yet.
func closeInto(err *error, closeFunc func() error) {
	if closeErr := closeFunc(); *err == nil {
		*err = closeErr
	}
}
