package scale

import (
	"errors"
	"fmt"

	"github.com/prometheus/procfs"
)

// What a process or a part of one takes at the most, from measured runs, rounded up. A plan is refused by these before it
// starts, and stopped by what is measured while it runs.
const (
	processBytes    = 48 << 20 // a process of its own
	gatewayBytes    = 1 << 20  // a hollow front end
	endpointBytes   = 1700     // a worker on the list of one front end
	workerBytes     = 24 << 10 // an emulated worker with its listener
	connectionBytes = 40 << 10 // both ends of a connection
	workerPart      = 2        // a front end has connections in at most one of so many of its descriptors
)

// ErrTooLarge says that a plan does not fit, with the arithmetic.
var ErrTooLarge = errors.New("the plan does not fit this machine")

// Estimate is what a plan takes, before it is run.
type Estimate struct {
	Processes int
	Bytes     int64
	Sum       string // how Bytes comes about
}

// Estimate works out what the plan takes at the most.
func (p Plan) Estimate() Estimate {
	f, w := p.Gateways, p.Workers
	fronts := int64(f.Hollow + f.Real)
	connections := fronts * int64(f.Sockets/workerPart)
	e := Estimate{Processes: f.Processes + f.Real + w.Processes + 2}
	e.Bytes = int64(e.Processes)*processBytes + fronts*(gatewayBytes+int64(w.Count)*endpointBytes) +
		int64(w.Count)*workerBytes + connections*connectionBytes
	e.Sum = fmt.Sprintf("%d processes * %d MiB + %d front ends * (%d MiB + %d lines * %d B) + %d workers * %d KiB + "+
		"%d connections * %d KiB = %d MiB", e.Processes, processBytes>>20, fronts, gatewayBytes>>20, w.Count, endpointBytes,
		w.Count, workerBytes>>10, connections, connectionBytes>>10, e.Bytes>>20)
	return e
}

// Check refuses a plan that takes more processes than are allowed, or more than the bytes that it may have.
func (p Plan) Check(most int64) error {
	e := p.Estimate()
	if e.Processes > maxProcesses {
		return fmt.Errorf("%w: %d processes, at most %d are allowed", ErrTooLarge, e.Processes, maxProcesses)
	}
	if e.Bytes > most {
		return fmt.Errorf("%w: %s, at most %d MiB are allowed", ErrTooLarge, e.Sum, most>>20)
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
		return 0, errors.New("the machine does not tell its memory")
	}
	return int64(*info.MemTotalBytes / 2), nil
}
