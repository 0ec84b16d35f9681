// Package subprocess starts child processes that the kernel kills when the current process ends, even if it crashes.
package subprocess

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts child processes from one OS thread, which lives until Close. The children get a parent-death signal:
// the kernel kills them when the thread that started them ends, not only when the process does. An ordinary goroutine
// may run on a thread that ends earlier.
type Starter struct {
	jobs chan func()
	done chan struct{}
}

// NewStarter returns a Starter, which must be closed with Close.
func NewStarter() *Starter {
	s := &Starter{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine and its children are killed
		defer close(s.done)
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

// Start starts a child process, as cmd.Start does. It sets cmd.SysProcAttr.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread and thereby kills the children that are still running.
func (s *Starter) Close() {
	close(s.jobs)
	<-s.done
}
