package platform

import (
	"runtime/metrics"

	"github.com/prometheus/procfs"
)

// Names of the runtime's metrics of memory.
const (
	heapMetric   = "/memory/classes/heap/objects:bytes"
	stacksMetric = "/memory/classes/heap/stacks:bytes"
)

// memoryUse is the memory of the process by purpose, in bytes.
type memoryUse struct {
	Resident     int64 // of the whole process; 0 if the system does not tell it
	PeakResident int64 // largest Resident since the start; 0 if the system does not tell it
	Heap         int64 // objects on the heap, those not yet collected included
	Stacks       int64 // stacks of goroutines
	Requests     int64 // requests in hand
	Answers      int64 // answers that are not written yet
	Partial      int64 // messages that have been received in part
}

// memoryUse returns the present use of memory.
func (g *Gateway) memoryUse() memoryUse {
	samples := []metrics.Sample{{Name: heapMetric}, {Name: stacksMetric}}
	metrics.Read(samples)
	use := memoryUse{
		Heap:     uint64Value(samples[0]),
		Stacks:   uint64Value(samples[1]),
		Requests: g.server.CallBytes(),
		Answers:  g.server.UnwrittenBytes(),
		Partial:  g.server.PartialBytes(),
	}
	if process, err := procfs.Self(); err == nil {
		if status, err := process.NewStatus(); err == nil {
			use.Resident, use.PeakResident = int64(status.VmRSS), int64(status.VmHWM)
		}
	}
	return use
}

// uint64Value returns the value of a sample, or 0 if the runtime has no such metric.
func uint64Value(sample metrics.Sample) int64 {
	if sample.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample.Value.Uint64())
}
