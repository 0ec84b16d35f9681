package platform

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// Options are the settings of a gateway that are not part of its configuration file.
type Options struct {
	MetricsAddr     string       // address at which metrics are served to Prometheus; empty: they are not served
	DroppedLogLines func() int64 // returns the number of log lines dropped because they were not read; may be nil
}

// Run runs a gateway with a configuration file until SIGTERM or an interrupt. On SIGHUP it reads the file again, on
// SIGUSR1 it logs its status.
func Run(path string, log *slog.Logger, options Options) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, readAt, err := readInitialConfig(ctx, path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(min(config.Cores, float64(runtime.NumCPU())))))
	debug.SetMemoryLimit(config.Memory / goMemoryDivisor)
	listener, err := listen(ctx, config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g := New(config, listener, log, nil)
	g.watcher.SetListTime(readAt) // listen may have waited for seconds until the address was free
	g.droppedLogLines = options.DroppedLogLines
	metricsDone := g.startMetrics(options.MetricsAddr)
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	err = g.handleSignals(path, signals, ended)
	<-metricsDone
	return err
}

// startMetrics starts to serve metrics if an address is given. The channel is closed once the metrics server has ended,
// which it does after the gateway.
func (g *Gateway) startMetrics(addr string) (done <-chan struct{}) {
	ended := make(chan struct{})
	if addr == "" {
		close(ended)
		return ended
	}
	go func() {
		defer close(ended)
		if err := g.serveMetrics(g.workCtx, addr); err != nil {
			g.log.Error("metrics server failed", "err", err)
		}
	}()
	return ended
}

// handleSignals handles signals until the gateway has ended, and returns its error.
func (g *Gateway) handleSignals(path string, signals <-chan os.Signal, ended <-chan error) error {
	var retry <-chan time.Time // fires when a file that could not be read, perhaps half written, must be read again
	var deadline time.Time     // time after which the file is not read again
	for {
		select {
		case err := <-ended:
			g.logStatus(slog.LevelInfo)
			return err
		case received := <-signals:
			if received == syscall.SIGUSR1 {
				g.logStatus(slog.LevelWarn) // an explicit request, so it is also logged at the default level
				continue
			}
			deadline = time.Now().Add(reloadTimeout)
			retry = nil
			if err := g.reloadFile(path); err != nil {
				g.log.Error("configuration reload failed", "err", err)
				retry = time.After(retryInterval)
			}
		case <-retry:
			retry = nil
			switch err := g.reloadFile(path); {
			case err == nil:
			case time.Now().After(deadline):
				g.log.Error("configuration reload abandoned", "err", err)
			default:
				retry = time.After(retryInterval)
			}
		}
	}
}

// reloadFile reads the configuration file again. If it can't be read, the gateway keeps its present configuration.
func (g *Gateway) reloadFile(path string) error {
	config, err := Read(path)
	if err == nil {
		g.Reload(config)
	}
	return err
}
