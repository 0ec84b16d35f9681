package scale

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"lupinpond/internal/testbed/discoverytest"
)

// Child runs a role in a child process. It reads commands of the parent process from in and writes replies to out, and
// returns when in ends.
func Child(ctx context.Context, role Role, in io.Reader, out io.Writer) error {
	p := newPipe(in, out)
	switch role {
	case RoleDiscovery:
		return runDiscovery(p)
	case RoleWorkers:
		return runWorkers(p)
	case RoleGateways:
		return runGateways(ctx, p)
	}
	return fmt.Errorf("unknown role %q", role)
}

// runDiscovery runs the emulated discovery service and executes the parent's commands.
func runDiscovery(p *pipe) error {
	var server *discoverytest.Server
	defer func() {
		if server != nil {
			_ = server.Close() // ignored: the process ends anyway
		}
	}()
	return p.serve(func(c command) (r reply, err error) {
		switch {
		case c.Setup != nil:
			if server, err = discoverytest.New(c.Setup.List); err == nil {
				r.Addr = server.Addr
			}
		case len(c.Publish) > 0:
			position, at := server.Publish(c.Publish)
			r.Position, r.At = position, at.UnixNano()
		case c.Unavailable != nil && *c.Unavailable:
			err = server.Stop()
		case c.Unavailable != nil:
			err = server.Resume()
		case c.Report:
			if r.Report, err = ownReport(); err == nil {
				r.Report.Discovery = server.Counts()
			}
		}
		return r, err
	})
}

// ownReport returns a report with the resource usage of this process.
func ownReport() (*childReport, error) {
	var spent unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &spent); err != nil {
		return nil, err
	}
	residentBytes, descriptors, err := processState(os.Getpid())
	return &childReport{ProcessorNanos: spent.Nano(), ResidentBytes: residentBytes, Descriptors: descriptors}, err
}

// processState returns the resident memory and the number of open file descriptors of a process.
func processState(pid int) (residentBytes int64, descriptors int, err error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return 0, 0, err
	}
	stat, err := p.Stat()
	if err != nil {
		return 0, 0, err
	}
	descriptors, err = p.FileDescriptorsLen()
	return int64(stat.ResidentMemory()), descriptors, err
}

// processorTime returns the processor time that another process has used, with the resolution of a clock tick.
func processorTime(pid int) (nanos int64, err error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	stat, err := p.Stat()
	return int64(stat.CPUTime() * 1e9), err
}
