// Package cputime reads the processor time of the current process.
package cputime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Process returns the processor time that all threads of the process have used, or 0 if the system does not tell it.
func Process() time.Duration {
	var used unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
