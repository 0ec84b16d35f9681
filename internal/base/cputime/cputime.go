// Package cputime reads the processor time of the current process.
package cputime

import (
	"syscall"
	"time"
)

// Process returns the processor time that all threads of the process have used, or 0 if the system does not tell it.
func Process() time.Duration {
	var usage syscall.Rusage // of the resources used, so that a replaced clock does not change it
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(syscall.TimevalToNsec(usage.Utime) + syscall.TimevalToNsec(usage.Stime))
}
