package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Retries of operations that fail until another process has finished its work.
const (
	// retryInterval is the time between two tries.
	retryInterval = 50 * time.Millisecond

	// startTimeout is how long the configuration file may be incomplete at the start of the process.
	startTimeout = 2 * time.Second

	// listenTimeout is how long a previous process may still use the listen address.
	listenTimeout = 8 * time.Second

	// reloadTimeout is how long the configuration file may be incomplete after SIGHUP.
	reloadTimeout = 10 * time.Second
)

// readInitialConfig reads the configuration file, which may not be completely written yet. readAt is the time just
// before the file was read; the endpoint list in the file is considered no newer than that.
func readInitialConfig(ctx context.Context, path string) (config Config, readAt time.Time, err error) {
	err = retry(ctx, startTimeout, isIncomplete, func() (err error) {
		readAt = time.Now()
		config, err = Read(path)
		return err
	})
	return config, readAt, err
}

// isIncomplete reports whether an error may be due to a configuration file that is still being written, or that can't
// be read temporarily.
func isIncomplete(err error) bool {
	var syntaxError *json.SyntaxError
	var errno syscall.Errno
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &syntaxError) ||
		errors.As(err, &errno)
}

// listen listens at an address. It retries while a previous process has not released the address or the system is short
// of resources.
func listen(ctx context.Context, addr string) (listener net.Listener, err error) {
	err = retry(ctx, listenTimeout, isTemporary, func() (err error) {
		listener, err = net.Listen("tcp", addr)
		return err
	})
	return listener, err
}

// isTemporary reports whether a failure to listen may be temporary.
func isTemporary(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, // a previous process still uses the address
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, // short of descriptors or memory
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// retry calls try until it succeeds, fails with an error that is not retryable, ctx ends, or the timeout has passed. It
// returns the last error.
func retry(ctx context.Context, timeout time.Duration, retryable func(error) bool, try func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil || !retryable(err) || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}
