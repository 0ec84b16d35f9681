package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/testbed/subprocess"
)

const (
	// stopTimeout is the time limit for a process to exit after a stop; then it is killed.
	stopTimeout = 5 * time.Second
	// tailBytes is the number of bytes that are kept of the end of a process's standard error.
	tailBytes = 2000
)

// ErrChildExited reports that a process of the run exited before it was stopped.
var ErrChildExited = errors.New("a process of the run exited unexpectedly")

// process is a child process. It ends when its parent ends for any reason: its standard input then ends, and the kernel
// sends it a signal when the thread that started it has ended.
type process struct {
	name  string
	cmd   *exec.Cmd
	pipe  *pipe     // nil if the process accepts no commands
	stdin io.Closer // standard input, for the pipe
	tail  *tail
	ended chan struct{}

	mu       sync.Mutex
	stopping bool
}

// starter starts the child processes of a run.
type starter struct{ *subprocess.Starter }

// startChild starts a process that accepts commands. crashed is called if the process ends before it is stopped.
func (s *starter) startChild(name string, cmd *exec.Cmd, crashed func(error)) (*process, error) {
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p, err := s.start(name, cmd, crashed)
	if err != nil {
		return nil, err
	}
	p.stdin, p.pipe = stdin, newPipe(stdout, stdin)
	return p, nil
}

// start starts a process. crashed is called if the process ends before it is stopped.
func (s *starter) start(name string, cmd *exec.Cmd, crashed func(error)) (*process, error) {
	p := &process{name: name, cmd: cmd, tail: &tail{}, ended: make(chan struct{})}
	cmd.Stderr = p.tail
	if err := s.Start(cmd); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		defer close(p.ended)
		p.wait(crashed)
	}()
	return p, nil
}

func (p *process) wait(crashed func(error)) {
	state, err := p.cmd.Process.Wait() // cmd.Wait would close the pipe under a reply that is being read
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return
	}
	status := "exit status unknown"
	if err == nil {
		status = state.String()
	}
	crashed(fmt.Errorf("%w: %s: %s: %s", ErrChildExited, p.name, status, p.tail))
}

// stop ends the process by closing its standard input or, if that isn't a pipe, by SIGTERM. It kills the process if it
// has not exited after stopTimeout or when ctx is done.
func (p *process) stop(ctx context.Context) {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	if p.stdin != nil {
		p.stdin.Close()
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	}
	select {
	case <-p.ended:
		return
	case <-time.After(stopTimeout):
	case <-ctx.Done():
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// tail is an io.Writer that keeps the last tailBytes bytes.
type tail struct {
	mu     sync.Mutex
	buffer []byte
}

// Write appends part and drops the oldest bytes. It never fails.
func (t *tail) Write(part []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer = append(t.buffer, part...)
	t.buffer = t.buffer[max(0, len(t.buffer)-tailBytes):]
	return len(part), nil
}

// String returns the kept bytes without surrounding white space.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.buffer))
}
