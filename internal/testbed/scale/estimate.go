package scale

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
)

// Upper bounds of the memory of each part, measured in runs and rounded up. A plan is checked against them before it
// starts; while it runs, the measured memory is checked.
const (
	processBytes         = 48 << 20 // memory of a process without its gateways or workers
	gatewayBytes         = 1 << 20  // memory of a gateway without its endpoint list
	endpointBytes        = 1700     // memory of one worker's entry in the endpoint list of one gateway
	workerBytes          = 24 << 10 // memory of an emulated worker with its listener
	connectionBytes      = 40 << 10 // memory of both ends of a connection
	socketsPerWorkerConn = 2        // a gateway has at most Sockets/socketsPerWorkerConn connections to workers
	fixedProcesses       = 2        // the parent process and the discovery service
)

// ErrTooLarge is returned for a plan that exceeds a limit. The error text contains the calculation.
var ErrTooLarge = errors.New("the plan does not fit this machine")

// errNoMemoryInfo reports that /proc/meminfo has no MemTotal.
var errNoMemoryInfo = errors.New("read memory of the machine: no MemTotal")

// Estimate is the estimated resource usage of a plan.
type Estimate struct {
	Processes int
	Bytes     int64
	Sum       string // calculation of Bytes, for messages
}

// Estimate calculates an upper bound of the plan's resource usage.
func (p Plan) Estimate() Estimate {
	gateways := int64(p.Gateways.Hollow + p.Gateways.Real)
	workers := int64(p.Workers.Count)
	connections := gateways * int64(p.Gateways.Sockets/socketsPerWorkerConn)
	processes := p.Gateways.Processes + p.Gateways.Real + p.Workers.Processes + fixedProcesses
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

// Check returns an error if the estimated number of processes exceeds maxProcesses or the estimated memory exceeds
// maxBytes.
func (p Plan) Check(maxBytes int64) error {
	estimate := p.Estimate()
	if estimate.Processes > maxProcesses {
		return fmt.Errorf("%w: it needs %d processes, the limit is %d", ErrTooLarge, estimate.Processes, maxProcesses)
	}
	if estimate.Bytes > maxBytes {
		return fmt.Errorf("%w: it needs %s, the limit is %d MiB", ErrTooLarge, estimate.Sum, maxBytes>>20)
	}
	return nil
}

// HalfOfMemory returns half of the machine's memory in bytes.
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
