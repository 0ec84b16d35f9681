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

// gatewayProcess is one front end over its lives: a process, the ways to it, and what excuses it.
type gatewayProcess struct {
	options          Options
	index            int
	name             string
	listen           string            // where its process listens
	clientProxy      *faultproxy.Proxy // between its clients and it
	discoveryProxy   *faultproxy.Proxy // the way to the list service that its configuration names
	discoveryProxies []*faultproxy.Proxy
	checker          *checker
	spawn            func(cmd *exec.Cmd) error // starts a process that ends with this one
	endpoints        func() ([]discovery.Endpoint, int64)
	wrapper          []string // words before the program: what makes its system calls fail

	mu              sync.Mutex
	incarnation     int
	process         *exec.Cmd
	ended           chan struct{}
	stopping        bool  // its end is wished
	accepting       bool  // it takes new requests
	claimed         bool  // a trouble has it in hand
	lossExcuses     spans // times in which a request may be lost
	discoveryDelays spans // times in which its list service was in trouble
	networkDelays   spans // times in which what clients send arrived late
	log             *logReader
}

// logReader takes the lines of a front end's log: those of violated invariants are judged, all are kept in a file.
type logReader struct {
	gateway *gatewayProcess
	file    *os.File
	buffer  []byte
}

// Write takes a part of the log.
func (r *logReader) Write(b []byte) (int, error) {
	r.buffer = append(r.buffer, b...)
	for {
		line, rest, is := bytes.Cut(r.buffer, []byte("\n"))
		if !is {
			break
		}
		r.buffer = rest
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
	r.gateway.checker.Violated(InvariantViolated, r.gateway.name, id, "%s", line)
}

// excuseLoss begins a time in which requests may be lost; the result ends it.
func (f *gatewayProcess) excuseLoss(why string) (end func()) { return f.beginSpan(&f.lossExcuses, why) }

// delayDiscovery begins a time in which its list service is in trouble; the result ends it.
func (f *gatewayProcess) delayDiscovery(why string) (end func()) {
	return f.beginSpan(&f.discoveryDelays, why)
}

// delayNetwork begins a time in which what clients send arrives late; the result ends it.
func (f *gatewayProcess) delayNetwork(why string) (end func()) {
	return f.beginSpan(&f.networkDelays, why)
}

func (f *gatewayProcess) beginSpan(all *spans, why string) (end func()) {
	x := &span{from: time.Now(), reason: why}
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	*all = append(*all, x)
	return func() {
		f.checker.mu.Lock()
		defer f.checker.mu.Unlock()
		x.to = time.Now()
	}
}

// notifiedAt is when a change counts as told to it that the list service told at a time; the ledger's lock is held.
func (f *gatewayProcess) notifiedAt(at time.Time) time.Time {
	if _, is := f.discoveryDelays.overlaps(at.Add(-checkerSlack), at.Add(drainGrace)); is {
		return at.Add(maxNotificationDelay)
	}
	return at
}

// start starts its process with a configuration of now, and has clients come once it is ready.
func (f *gatewayProcess) start(ctx context.Context) error {
	if err := f.configure(nil); err != nil {
		return err
	}
	f.mu.Lock()
	f.incarnation++
	file, err := os.Create(f.options.path(fmt.Sprintf("%s-%d.log", f.name, f.incarnation)))
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.log = &logReader{gateway: f, file: file}
	words := append(append([]string{}, f.wrapper...), f.options.Program, "--log-format", "json", "--log-level", "info")
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+f.options.path(f.name+".json"), "GW_NAME="+f.name, "GW_LISTEN="+f.listen)
	cmd.Stderr, cmd.Stdout = f.log, f.log
	ended := make(chan struct{})
	f.process, f.ended, f.stopping = cmd, ended, false
	f.mu.Unlock()
	began := time.Now()
	if err := f.spawn(cmd); err != nil {
		return err
	}
	f.checker.count(func(s *Counts) { s.Starts++ })
	go func() {
		defer close(ended)
		err := cmd.Wait()
		f.mu.Lock()
		stopping := f.stopping
		f.accepting = false
		f.mu.Unlock()
		if !stopping {
			f.checker.Violated(Crashed, f.name, "", "ended by itself: %v", err)
		}
	}()
	return f.awaitReady(ctx, began, ended)
}

// awaitReady waits until it answers alive.
func (f *gatewayProcess) awaitReady(ctx context.Context, began time.Time, ended chan struct{}) error {
	for ctx.Err() == nil {
		if healthy(f.listen) {
			if took := time.Since(began); took > readyTimeout {
				f.checker.Violated(NotReady, f.name, "", "ready after %v", took)
			}
			f.mu.Lock()
			f.accepting = true
			f.mu.Unlock()
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it was ready", f.name)
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(began) > 3*readyTimeout {
			f.checker.Violated(NotReady, f.name, "", "not ready after %v", time.Since(began))
			return nil
		}
	}
	return nil
}

// healthy asks a front end whether it takes requests.
func healthy(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _, err := conn.Write(healthCheckFrame()); err != nil {
		return false
	}
	m, err := thrift.ReadMessage(conn, maxResponseBytes)
	return err == nil && strings.HasPrefix(m.Name, "alive")
}

// configure writes its configuration of now; between is called in the middle of the writing.
func (f *gatewayProcess) configure(between func()) error {
	known, position := f.endpoints()
	b, err := gatewayConfig(f.options, f, known, position)
	if err != nil {
		return err
	}
	return writeFile(f.options.path(f.name+".json"), b, between)
}

// signal sends a signal to the program itself.
func (f *gatewayProcess) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pid := f.pid(); pid > 0 {
		_ = syscall.Kill(pid, s) // it may have ended
	}
}

// pid is the program's process, which strace may have started; the lock is held.
func (f *gatewayProcess) pid() int {
	if f.process == nil || f.process.Process == nil {
		return 0
	}
	pid := f.process.Process.Pid
	if len(f.wrapper) == 0 {
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
func (f *gatewayProcess) stop(s syscall.Signal, within time.Duration) (byItself bool) {
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

// isAccepting tells whether clients send to it.
func (f *gatewayProcess) isAccepting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepting
}

func (f *gatewayProcess) stopAccepting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepting = false
}

// claim has a trouble take it in hand; false: another one has.
func (f *gatewayProcess) claim() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claimed {
		return false
	}
	f.claimed = true
	return true
}

func (f *gatewayProcess) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimed = false
}
