package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// Times in which what another process has not finished yet is tried again.
const (
	retryPause    = 50 * time.Millisecond
	startTimeout  = 2 * time.Second  // a configuration that is being written, at the start
	listenTimeout = 8 * time.Second  // an address that the process before has not let go yet
	reloadTimeout = 10 * time.Second // a configuration that is being written, after SIGHUP
)

// Options are what a front end is run with beside its configuration.
type Options struct {
	MetricsAddr     string       // address where the state is served to Prometheus; empty: nowhere
	DroppedLogLines func() int64 // log lines that found no reader; may be nil
}

// Run runs a front end by a configuration file until SIGTERM. At SIGHUP it reads the file again, at SIGUSR1 it logs its state.
func Run(path string, log *slog.Logger, o Options) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := readInitialConfig(ctx, path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(min(c.Cores, float64(runtime.NumCPU())))))
	debug.SetMemoryLimit(c.Memory / 2) // the rest is for the program itself, stacks and what the system counts beside
	listener, err := listen(ctx, c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f := New(c, listener, log, nil)
	f.droppedLogLines = o.DroppedLogLines
	if o.MetricsAddr != "" {
		go func() {
			if err := f.serveMetrics(f.workCtx, o.MetricsAddr); err != nil {
				f.log.Error("metrics are not served", "err", err)
			}
		}()
	}
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	return f.handleSignals(path, signals, ended)
}

// handleSignals does what signals ask for until the front end has ended.
func (f *Gateway) handleSignals(path string, signals <-chan os.Signal, ended <-chan error) error {
	var again <-chan time.Time // a configuration that could not be read is to be read again
	var until time.Time
	for {
		select {
		case err := <-ended:
			f.logStatus(slog.LevelInfo)
			return err
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				f.logStatus(slog.LevelWarn) // asked for: it is logged at the usual level
				continue
			}
			until = time.Now().Add(reloadTimeout)
			again = f.reloadFile(path, true, until)
		case <-again:
			again = f.reloadFile(path, false, until)
		}
	}
}

// reloadFile reads the configuration again. Where it can't be read the front end goes on with what it has, and reads it once more after
// a pause, as it may be being written: the result tells when, nil: not any more.
func (f *Gateway) reloadFile(path string, first bool, until time.Time) <-chan time.Time {
	c, err := Read(path)
	if err == nil {
		f.Reload(c)
		return nil
	}
	if first {
		f.log.Error("the new configuration is not taken", "err", err)
	}
	if time.Now().After(until) {
		f.log.Error("the new configuration is given up", "err", err)
		return nil
	}
	return time.After(retryPause)
}

// readInitialConfig reads the configuration, which may be being written.
func readInitialConfig(ctx context.Context, path string) (c Config, err error) {
	err = retry(ctx, startTimeout, isIncomplete, func() (err error) {
		c, err = Read(path)
		return err
	})
	return c, err
}

// isIncomplete tells whether a configuration may be one that is being written, or could not be read for now.
func isIncomplete(err error) bool {
	var syntax *json.SyntaxError
	var system syscall.Errno
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &syntax) || errors.As(err, &system)
}

// listen listens, also at an address that a process before this one has not let go yet, or when the system is short of something.
func listen(ctx context.Context, addr string) (listener net.Listener, err error) {
	err = retry(ctx, listenTimeout, isTemporary, func() (err error) {
		listener, err = net.Listen("tcp", addr)
		return err
	})
	return listener, err
}

// isTemporary tells whether the reason why an address can't be listened at may pass.
func isTemporary(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// retry calls f until it succeeds, fails for good, ctx ends, or some time has passed; the last error stands.
func retry(ctx context.Context, within time.Duration, again func(error) bool, f func() error) error {
	end := time.Now().Add(within)
	for {
		err := f()
		if err == nil || !again(err) || time.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}
