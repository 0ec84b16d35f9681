package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/internal/testbed/faultproxy"
)

// front is one front end over its lives: a process, the ways to it, and what excuses it.
type front struct {
	o       Options
	index   int
	name    string
	listen  string            // where its process listens
	clients *faultproxy.Proxy // between its clients and it
	journal *faultproxy.Proxy // the way to the list service that its configuration names
	ways    []*faultproxy.Proxy
	ledger  *ledger
	spawn   func(cmd *exec.Cmd) error // starts a process that ends with this one
	known   func() ([]discovery.Endpoint, int64)
	inject  []string // words before the program: what makes its system calls fail

	mu       sync.Mutex
	life     int
	process  *exec.Cmd
	ended    chan struct{}
	stopping bool  // its end is wished
	taking   bool  // it takes new requests
	busy     bool  // a trouble has it in hand
	excuses  spans // times in which a request may be lost
	late     spans // times in which its list service was in trouble
	network  spans // times in which what clients send arrived late
	log      *logReader
}

// logReader takes the lines of a front end's log: those of violated invariants are judged, all are kept in a file.
type logReader struct {
	front *front
	file  *os.File
	part  []byte
}

// Write takes a part of the log.
func (r *logReader) Write(b []byte) (int, error) {
	r.part = append(r.part, b...)
	for {
		line, rest, is := bytes.Cut(r.part, []byte("\n"))
		if !is {
			break
		}
		r.part = rest
		r.line(line)
	}
	return r.file.Write(b)
}

func (r *logReader) line(line []byte) {
	var entry map[string]any
	if json.Unmarshal(line, &entry) != nil || entry["msg"] != "invariant violated" {
		return
	}
	id, _ := entry["request"].(string)
	r.front.ledger.Violated(OwnInvariant, r.front.name, id, "%s", line)
}

// excuse begins a time in which requests may be lost; the result ends it.
func (f *front) excuse(why string) (end func()) { return f.begin(&f.excuses, why) }

// lateList begins a time in which its list service is in trouble; the result ends it.
func (f *front) lateList(why string) (end func()) { return f.begin(&f.late, why) }

// lateNetwork begins a time in which what clients send arrives late; the result ends it.
func (f *front) lateNetwork(why string) (end func()) { return f.begin(&f.network, why) }

func (f *front) begin(all *spans, why string) (end func()) {
	x := &span{from: time.Now(), why: why}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	*all = append(*all, x)
	return func() {
		f.ledger.mu.Lock()
		defer f.ledger.mu.Unlock()
		x.to = time.Now()
	}
}

// toldAt is when a change counts as told to it that the list service told at a time; the ledger's lock is held.
func (f *front) toldAt(at time.Time) time.Time {
	if _, is := f.late.meets(at.Add(-judgeSlack), at.Add(drainGrace)); is {
		return at.Add(toldAtLatest)
	}
	return at
}

// start starts its process with a configuration of now, and has clients come once it is ready.
func (f *front) start(ctx context.Context) error {
	if err := f.configure(nil); err != nil {
		return err
	}
	f.mu.Lock()
	f.life++
	file, err := os.Create(f.o.path(fmt.Sprintf("%s-%d.log", f.name, f.life)))
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.log = &logReader{front: f, file: file}
	words := append(append([]string{}, f.inject...), f.o.Program, "--log-format", "json", "--log-level", "info")
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+f.o.path(f.name+".json"), "GW_NAME="+f.name, "GW_LISTEN="+f.listen)
	cmd.Stderr, cmd.Stdout = f.log, f.log
	ended := make(chan struct{})
	f.process, f.ended, f.stopping = cmd, ended, false
	f.mu.Unlock()
	began := time.Now()
	if err := f.spawn(cmd); err != nil {
		return err
	}
	f.ledger.count(func(s *Sums) { s.Starts++ })
	go func() {
		defer close(ended)
		err := cmd.Wait()
		f.mu.Lock()
		stopping := f.stopping
		f.taking = false
		f.mu.Unlock()
		if !stopping {
			f.ledger.Violated(Crashed, f.name, "", "ended by itself: %v", err)
		}
	}()
	return f.ready(ctx, began, ended)
}

// ready waits until it answers alive.
func (f *front) ready(ctx context.Context, began time.Time, ended chan struct{}) error {
	for ctx.Err() == nil {
		if alive(f.listen) {
			if took := time.Since(began); took > readyWithin {
				f.ledger.Violated(NotReady, f.name, "", "ready after %v", took)
			}
			f.mu.Lock()
			f.taking = true
			f.mu.Unlock()
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it was ready", f.name)
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(began) > 3*readyWithin {
			f.ledger.Violated(NotReady, f.name, "", "not ready after %v", time.Since(began))
			return nil
		}
	}
	return nil
}

// alive asks a front end whether it takes requests.
func alive(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _, err := conn.Write(aliveFrame()); err != nil {
		return false
	}
	m, err := thrift.ReadMessage(conn, mostAnswer)
	return err == nil && strings.HasPrefix(m.Name, "alive")
}

// configure writes its configuration of now; between is called in the middle of the writing.
func (f *front) configure(between func()) error {
	known, position := f.known()
	b, err := config(f.o, f, known, position)
	if err != nil {
		return err
	}
	return write(f.o.path(f.name+".json"), b, between)
}

// signal sends a signal to the program itself.
func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pid := f.pid(); pid > 0 {
		_ = syscall.Kill(pid, s) // it may have ended
	}
}

// pid is the program's process, which strace may have started; the lock is held.
func (f *front) pid() int {
	if f.process == nil || f.process.Process == nil {
		return 0
	}
	pid := f.process.Process.Pid
	if len(f.inject) == 0 {
		return pid
	}
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid))
	if err != nil {
		return 0
	}
	child := 0
	_, _ = fmt.Sscan(string(children), &child) // none yet: 0
	return child
}

// stop ends it by a signal and waits for the end; kill comes after some time.
func (f *front) stop(s syscall.Signal, within time.Duration) (byItself bool) {
	f.mu.Lock()
	f.stopping = true
	ended := f.ended
	f.mu.Unlock()
	if ended == nil {
		return true
	}
	f.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(within):
	}
	f.signal(syscall.SIGKILL)
	f.mu.Lock()
	if f.process.Process != nil {
		_ = f.process.Process.Kill() // strace too
	}
	f.mu.Unlock()
	<-ended
	return false
}

// takes tells whether clients send to it.
func (f *front) takes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taking
}

func (f *front) rest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taking = false
}

// claim has a trouble take it in hand; false: another one has.
func (f *front) claim() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy {
		return false
	}
	f.busy = true
	return true
}

func (f *front) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = false
}
