// Package subprocess starts processes that end with this one, however that ends.
package subprocess

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts children from one thread, which lives as long as it does: the kernel kills the children that are left
// when the thread that started them is gone.
type Starter struct {
	jobs chan func()
	done chan struct{}
}

// NewStarter makes a Starter; Close ends it.
func NewStarter() *Starter {
	s := &Starter{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, and with it the children that are left
		defer close(s.done)
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

// Start starts a child.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends it, and the children that are left.
func (s *Starter) Close() {
	close(s.jobs)
	<-s.done
}
