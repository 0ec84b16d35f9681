package scale

import (
	"time"

	"github.com/prometheus/procfs"

	"lupinpond/internal/testbed/discoverytest"
)

// totals are the sums of the counters and the resource usage of all processes at one time. Fields whose names end in
// Nanos are processor time and those that end in Bytes are resident memory. The fields gatewayNanos to gateways are of
// the hollow gateways.
type totals struct {
	at time.Time

	discoveryNanos int64
	discoveryBytes int64
	discovery      discoverytest.Counts

	workerNanos int64
	workerBytes int64
	workers     workerCounts

	gatewayNanos int64
	gatewayBytes int64
	gatewayFDs   int
	gateways     gatewayCounts

	realGatewayNanos int64
	realGatewayBytes int64
	realGatewayFDs   int
	realGateways     gatewayCounts

	allBytes    int64   // resident memory of all processes of the run
	machineBusy float64 // busy processor seconds of the machine since its boot
	machineIdle float64 // idle processor seconds of the machine since its boot
}

func (t *totals) add(report *childReport) {
	t.allBytes += report.ResidentBytes
	switch {
	case report.Discovery != nil:
		t.discoveryNanos, t.discoveryBytes = report.ProcessorNanos, report.ResidentBytes
		t.discovery = *report.Discovery
	case report.Workers != nil:
		t.workerNanos += report.ProcessorNanos
		t.workerBytes += report.ResidentBytes
		t.workers.add(*report.Workers)
	case report.Gateways != nil:
		t.gatewayNanos += report.ProcessorNanos
		t.gatewayBytes += report.ResidentBytes
		t.gatewayFDs += report.Descriptors
		t.gateways.add(*report.Gateways)
	}
}

func (c *workerCounts) add(other workerCounts) {
	c.Accepted += other.Accepted
	c.OpenConnections += other.OpenConnections
	c.Requests += other.Requests
	c.Loads += other.Loads
	c.LoadRequests += other.LoadRequests
	c.Probes += other.Probes
	c.Cancels += other.Cancels
	c.Rejected += other.Rejected
	c.ControlBytes += other.ControlBytes
	c.RequestBytes += other.RequestBytes
}

func (c *gatewayCounts) add(other gatewayCounts) {
	c.Submitted += other.Submitted
	c.Served += other.Served
	c.Cold += other.Cold
	c.Rejected += other.Rejected
	c.NoWorker += other.NoWorker
	c.Failed += other.Failed
	c.OutOfOrder += other.OutOfOrder
	c.Restarted += other.Restarted
}

// addMachine sets the busy and idle processor time of the machine.
func (t *totals) addMachine() error {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return err
	}
	stat, err := fs.Stat()
	if err != nil {
		return err
	}
	cpu := stat.CPUTotal
	t.machineIdle = cpu.Idle + cpu.Iowait
	t.machineBusy = cpu.User + cpu.Nice + cpu.System + cpu.IRQ + cpu.SoftIRQ + cpu.Steal
	return nil
}
