package platform

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
)

// Run runs a front end by a configuration file until SIGTERM, and reads the file again at SIGHUP.
func Run(path string, log *slog.Logger) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := Read(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(min(c.Cores, float64(runtime.NumCPU())))))
	debug.SetMemoryLimit(c.Memory / 2) // the rest is for the program itself, stacks and what the system counts beside
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f := New(c, listener, log, nil)
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-hup:
			c, err := Read(path)
			if err != nil { // the front end goes on with what it has
				log.Error("the new configuration is not taken", "err", err)
				continue
			}
			f.Reload(c)
		}
	}
}
