package scale

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
)

// What a process or a part of one takes at the most, from measured runs, rounded up. A plan is rejected by these
// before it starts, and stopped by what is measured while it runs.
const (
	processBytes    = 48 << 20 // a process of its own
	gatewayBytes    = 1 << 20  // a hollow gateway
	endpointBytes   = 1700     // a worker on the endpoint list of one gateway
	workerBytes     = 24 << 10 // an emulated worker with its listener
	connectionBytes = 40 << 10 // both ends of a connection
	workerPart      = 2        // a gateway has connections in at most one of so many of its descriptors
	ownProcesses    = 2        // this process and the discovery service
)

// ErrTooLarge says that a plan does not fit, with the arithmetic.
var ErrTooLarge = errors.New("the plan does not fit this machine")

// errNoMemoryInfo says that the kernel does not tell the machine's memory.
var errNoMemoryInfo = errors.New("read memory of the machine: no MemTotal")

// Estimate is what a plan takes, before it is run.
type Estimate struct {
	Processes int
	Bytes     int64
	Sum       string // how Bytes comes about
}

// Estimate works out what the plan takes at the most.
func (p Plan) Estimate() Estimate {
	gateways := int64(p.Gateways.Hollow + p.Gateways.Real)
	workers := int64(p.Workers.Count)
	connections := gateways * int64(p.Gateways.Sockets/workerPart)
	processes := p.Gateways.Processes + p.Gateways.Real + p.Workers.Processes + ownProcesses
	bytes := int64(processes)*processBytes + gateways*(gatewayBytes+workers*endpointBytes) +
		workers*workerBytes + connections*connectionBytes
	return Estimate{
		Processes: processes,
		Bytes:     bytes,
		Sum: fmt.Sprintf("%d processes * %d MiB + %d gateways * (%d MiB + %d endpoints * %d B) + %d workers * %d KiB + "+
			"%d connections * %d KiB = %d MiB", processes, processBytes>>20, gateways, gatewayBytes>>20, workers, endpointBytes,
			workers, workerBytes>>10, connections, connectionBytes>>10, bytes>>20),
	}
}

// Check rejects a plan that takes more processes than are allowed, or more than the bytes that it may have.
func (p Plan) Check(maxBytes int64) error {
	estimate := p.Estimate()
	if estimate.Processes > maxProcesses {
		return fmt.Errorf("%w: %d processes, at most %d are allowed", ErrTooLarge, estimate.Processes, maxProcesses)
	}
	if estimate.Bytes > maxBytes {
		return fmt.Errorf("%w: %s, at most %d MiB are allowed", ErrTooLarge, estimate.Sum, maxBytes>>20)
	}
	return nil
}

// HalfOfMemory is half of what the machine has.
func HalfOfMemory() (int64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	if info.MemTotalBytes == nil {
		return 0, errNoMemoryInfo
	}
	return int64(*info.MemTotalBytes / 2), nil
}
