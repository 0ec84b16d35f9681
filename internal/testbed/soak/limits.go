package soak

import (
	"time"

	"lupinpond/internal/testbed/processlimit"
)

// processLimits are the processor time and the memory that a gateway may use.
type processLimits struct {
	cores    float64
	memoryMB int
}

// limitsOf returns the limits of a gateway. They differ among the gateways of a run.
func limitsOf(index int) processLimits {
	return []processLimits{{1, 64}, {0.4, 32}, {0.4, 64}}[index%3]
}

// memoryCheckInterval is the time between two readings of a process's peak memory.
const memoryCheckInterval = 100 * time.Millisecond

// enforceLimits limits the processor time of the gateway's process, and records a violation if its memory passes the
// limit, until the process has ended.
func (g *gatewayProcess) enforceLimits(pid int, ended <-chan struct{}) {
	quota := processlimit.LimitCPU(pid, g.limits.cores)
	g.setQuota(quota)
	defer func() {
		g.setQuota(nil)
		quota.Stop()
	}()
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	exceeded := false
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		peak, err := processlimit.PeakMemory(pid)
		if err != nil {
			continue // the process has ended
		}
		g.checker.count(func(counts *Counts) { counts.PeakMemory = max(counts.PeakMemory, peak) })
		if !exceeded && peak > int64(g.limits.memoryMB)<<20 {
			exceeded = true
			g.checker.recordViolation(MemoryExceeded, g.name, "", "peak memory %d bytes, the limit is %d MB", peak,
				g.limits.memoryMB)
		}
	}
}

func (g *gatewayProcess) setQuota(quota *processlimit.Quota) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota = quota
}

func (g *gatewayProcess) currentQuota() *processlimit.Quota {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quota
}
