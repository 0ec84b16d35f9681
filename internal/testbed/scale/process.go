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

// endLimit is how long a process has to end by itself before it is killed.
const endLimit = 5 * time.Second

// ErrChildExited says that a process of the run ended before it was told to.
var ErrChildExited = errors.New("a process of the run ended by itself")

// process is a child. It ends with its parent, however that ends: by the end of its standard input, and by the signal that
// the kernel sends it when the thread that started it is gone.
type process struct {
	name  string
	cmd   *exec.Cmd
	pipe  *pipe // nil: it takes no commands
	in    io.Closer
	tail  *tail
	ended chan struct{}

	mu       sync.Mutex
	stopping bool
}

// starter starts the children of a run.
type starter struct{ *subprocess.Starter }

// tail keeps the last bytes of what is written to it.
type tail struct {
	mu     sync.Mutex
	buffer []byte
}

const tailBytes = 2000

// Write keeps the end of what came.
func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer = append(t.buffer, b...)
	t.buffer = t.buffer[max(0, len(t.buffer)-tailBytes):]
	return len(b), nil
}

// String is what was kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.buffer))
}

// start starts a child; crashed is told when it ends without having been stopped.
func (s *starter) start(name string, cmd *exec.Cmd, commands bool, crashed func(error)) (*process, error) {
	p := &process{name: name, cmd: cmd, tail: &tail{}, ended: make(chan struct{})}
	cmd.Stderr = p.tail
	if commands {
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		p.in, p.pipe = in, newPipe(out, in)
	}
	if err := s.Start(cmd); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		defer close(p.ended)
		state, err := cmd.Process.Wait() // cmd.Wait would close the pipe under a reply that is being read
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.stopping {
			return
		}
		how := "its end can't be told"
		if err == nil {
			how = state.String()
		}
		crashed(fmt.Errorf("%w: %s: %s: %s", ErrChildExited, name, how, p.tail))
	}()
	return p, nil
}

// stop ends the child: at the end of its input, or killed after a while.
func (p *process) stop(ctx context.Context) {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	if p.in != nil {
		p.in.Close()
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	}
	select {
	case <-p.ended:
		return
	case <-time.After(endLimit):
	case <-ctx.Done():
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}
