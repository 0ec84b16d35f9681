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
	// stopTimeout is how long a process has to end by itself before it is killed.
	stopTimeout = 5 * time.Second
	// tailBytes is how much of the end of a process's messages is kept.
	tailBytes = 2000
)

// ErrChildExited says that a process of the run ended before it was told to.
var ErrChildExited = errors.New("a process of the run ended by itself")

// process is a child. It ends with its parent, however that ends: by the end of its standard input, and by the signal
// that the kernel sends it when the thread that started it has ended.
type process struct {
	name  string
	cmd   *exec.Cmd
	pipe  *pipe     // nil: it takes no commands
	stdin io.Closer // of the pipe
	tail  *tail
	ended chan struct{}

	mu       sync.Mutex
	stopping bool
}

// starter starts the children of a run.
type starter struct{ *subprocess.Starter }

// startChild starts a child that takes commands; crashed is called when it ends without having been stopped.
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

// start starts a process; crashed is called when it ends without having been stopped.
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
	how := "its end can't be told"
	if err == nil {
		how = state.String()
	}
	crashed(fmt.Errorf("%w: %s: %s: %s", ErrChildExited, p.name, how, p.tail))
}

// stop ends the process: at the end of its input or by SIGTERM, or killed after a while.
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

// tail keeps the last bytes of what is written to it.
type tail struct {
	mu     sync.Mutex
	buffer []byte
}

// Write keeps the end of what came.
func (t *tail) Write(part []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer = append(t.buffer, part...)
	t.buffer = t.buffer[max(0, len(t.buffer)-tailBytes):]
	return len(part), nil
}

// String is what is kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.buffer))
}
