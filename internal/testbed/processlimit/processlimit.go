// Package processlimit limits the processor time of child processes and measures their memory, without the isolation
// facilities of the system: a process is bound to one processor, and stopped for the rest of each period in which it
// has used its share.
package processlimit

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period in which a process may use its share of a processor.
	quotaPeriod = 100 * time.Millisecond

	// quotaCheckInterval is the time between two checks of the processor time that a process has used.
	quotaCheckInterval = time.Millisecond
)

// Bind binds the threads that a process has, and those that they start later, to one of the processors that this
// process may use.
func Bind(pid, number int) error {
	var available, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &available); err != nil {
		return fmt.Errorf("read the available processors: %w", err)
	}
	one.Set(processor(available, number))
	threads, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "task"))
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(id, &one); err != nil && !errors.Is(err, unix.ESRCH) { // the thread may have ended
			return fmt.Errorf("bind thread %d: %w", id, err)
		}
	}
	return nil
}

// processor returns the processor with the given number among those of the set. Numbers beyond the last start again
// from the first.
func processor(set unix.CPUSet, number int) int {
	number %= max(1, set.Count())
	for cpu := 0; ; cpu++ {
		if !set.IsSet(cpu) {
			continue
		}
		if number == 0 {
			return cpu
		}
		number--
	}
}

// Quota limits the processor time of a process as a quota of the system does.
type Quota struct {
	pid     int
	stop    chan struct{}
	stopped sync.WaitGroup

	mu        sync.Mutex
	suspended bool // the process has used its share of the period
	paused    bool // see Pause
}

// LimitCPU limits a process to a share of one processor until Stop is called: once it has used its share of a period,
// it is stopped with SIGSTOP until the next one. Other users of SIGSTOP and SIGCONT interfere with it.
func LimitCPU(pid int, cores float64) *Quota {
	q := &Quota{pid: pid, stop: make(chan struct{})}
	q.stopped.Go(func() { q.run(time.Duration(cores * float64(quotaPeriod))) })
	return q
}

// Pause stops the process until Resume, whatever its share.
func (q *Quota) Pause() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.paused = true
	q.signal(syscall.SIGSTOP)
}

// Resume ends a pause.
func (q *Quota) Resume() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.paused = false
	if !q.suspended {
		q.signal(syscall.SIGCONT)
	}
}

// signal sends a signal to the process, which may have ended.
func (q *Quota) signal(s syscall.Signal) { _ = syscall.Kill(q.pid, s) }

// Stop ends the limit. The process runs on.
func (q *Quota) Stop() {
	close(q.stop)
	q.stopped.Wait()
}

func (q *Quota) run(share time.Duration) {
	ticker := time.NewTicker(quotaCheckInterval)
	defer ticker.Stop()
	defer q.signal(syscall.SIGCONT)
	usedBefore, periodEnd := CPUTime(q.pid), time.Now().Add(quotaPeriod)
	for {
		select {
		case <-q.stop:
			return
		case now := <-ticker.C:
			used := CPUTime(q.pid)
			if now.After(periodEnd) {
				usedBefore, periodEnd = used, now.Add(quotaPeriod)
			}
			q.setSuspended(used-usedBefore >= share)
		}
	}
}

// setSuspended stops the process or lets it run, unless it is paused.
func (q *Quota) setSuspended(suspended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if suspended == q.suspended {
		return
	}
	q.suspended = suspended
	switch {
	case q.paused:
	case suspended:
		q.signal(syscall.SIGSTOP)
	default:
		q.signal(syscall.SIGCONT)
	}
}

// CPUTime returns the processor time that a process has used, or 0 if it has ended.
func CPUTime(pid int) time.Duration {
	var used unix.Timespec
	processClock := int32(^pid<<3 | 2) // the kernel's number of the processor clock of another process
	if unix.ClockGettime(processClock, &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

// PeakMemory returns the largest resident memory that a process has had, in bytes. The process must be running.
func PeakMemory(pid int) (int64, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	status, err := process.NewStatus()
	if err != nil {
		return 0, err
	}
	if status.VmHWM == 0 { // the process has ended, and its parent has not waited for it
		return 0, fmt.Errorf("process %d has no peak memory in its status", pid)
	}
	return int64(status.VmHWM), nil
}
