package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// prSetChildSubreaper is PR_SET_CHILD_SUBREAPER of prctl(2).
const prSetChildSubreaper = 36

// maxRun is the time after which a run ends by itself.
const maxRun = 110 * time.Second

// Bounds of the rule on drains.
const (
	drainGrace  = 500 * time.Millisecond // rules.stop_sending_within, or stop-sending-within in our own settings
	socketSlack = 50 * time.Millisecond  // the protocol page: each time limit is 50 ms longer
)

// harness holds the processes, the folder and the record of one run of a case.
type harness struct {
	root    string // the repository
	folder  string // temporary folder, removed at the end
	trouble bool   // false with TROUBLE=0
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	ending bool // no more processes may be started
}

// process is a program that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newHarness(caseFolder string) *harness {
	root, err := filepath.Abs(filepath.Join(caseFolder, "..", ".."))
	check(err)
	folder, err := os.MkdirTemp("", "review")
	check(err)
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	check(err)
	h := &harness{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	h.logf("trouble: %v", h.trouble)
	return h
}

// check ends the case with the status couldNotRun if there is an error.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// logf writes a line to the record, with the time since the start in milliseconds.
func (h *harness) logf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%8.1f  %s\n", float64(time.Since(h.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// run calls play and ends all processes that the case has started. It returns the exit status.
func (h *harness) run(play func(*harness) (broken []string)) (status int) {
	// Replicas whose worker has been killed become children of this process, which reaps them.
	if _, _, errno := syscall.RawSyscall(syscall.SYS_PRCTL, prSetChildSubreaper, 1, 0); errno != 0 {
		panic(errno)
	}
	defer func() {
		if reason := recover(); reason != nil {
			h.logf("could not run: %v", reason)
			fmt.Println("could not run:", reason)
			status = couldNotRun
		}
		h.end()
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stopped:
			h.logf("could not run: %v", s)
		case <-time.After(maxRun):
			h.logf("could not run: not over after %v", maxRun)
		}
		h.end()
		os.Exit(couldNotRun)
	}()
	broken := play(h)
	for _, line := range broken {
		h.logf("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken: %d findings, the first: %s\n", len(broken), broken[0])
		return ruleBroken
	}
	h.logf("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

// end ends all processes that the case has started, and their children, and removes the temporary folder.
func (h *harness) end() {
	h.mu.Lock()
	h.ending = true
	procs := h.procs
	h.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) {
		pid, err := syscall.Wait4(-1, nil, syscall.WNOHANG, nil)
		if err != nil { // there is no child any more
			break
		}
		if pid == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if !time.Now().Before(end) {
		h.logf("processes are left")
	}
	os.RemoveAll(h.folder)
	h.record.Sync()
}

// startProgram starts a program in the root of the repository. Its output goes to a log file in the temporary folder.
func (h *harness) startProgram(name string, env []string, command ...string) *process {
	log, err := os.OpenFile(filepath.Join(h.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.root, log, log
	cmd.Env = append(append(os.Environ(), "TMPDIR="+h.folder), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	h.mu.Lock()
	if h.ending {
		h.mu.Unlock()
		select {} // nothing is started any more
	}
	err = cmd.Start()
	if err == nil {
		h.procs = append(h.procs, p)
	}
	h.mu.Unlock()
	check(err)
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	h.logf("started %s: %s", name, strings.ReplaceAll(strings.Join(command, " "), h.folder, "TMP"))
	return p
}

// startGateway starts a gateway with the run line of the deploy file, and further arguments.
func (h *harness) startGateway(name string, env []string, arguments string) *process {
	deploy, err := os.ReadFile(filepath.Join(h.root, "deploy", "balancer.toml"))
	check(err)
	var run string
	for line := range strings.Lines(string(deploy)) {
		if rest, found := strings.CutPrefix(line, `run = "`); found {
			run, _, _ = strings.Cut(rest, `"`)
		}
	}
	if run == "" {
		panic("deploy/balancer.toml has no run line")
	}
	return h.startProgram(name, env, "/bin/sh", "-c", strings.TrimSpace(run+" "+arguments))
}

// signal sends a signal to a process.
func (p *process) signal(s syscall.Signal) { check(p.cmd.Process.Signal(s)) }

// running reports whether a process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends a process with its children and waits for its end.
func (p *process) kill() {
	if p.running() {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	}
	<-p.done
}

// freeAddr returns an address on loopback that no process listens on.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer listener.Close()
	return listener.Addr().String()
}

// awaitAddr waits until a process listens on an address.
func awaitAddr(addr string) {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			conn.Close()
			return
		}
		if time.Now().After(end) {
			check(fmt.Errorf("nobody listens on %s: %w", addr, err))
		}
	}
}

// runTool runs a program to its end and returns its output.
func (h *harness) runTool(command ...string) string {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir = h.root
	output, err := cmd.CombinedOutput()
	h.logf("ran %s", strings.ReplaceAll(strings.Join(command, " "), h.folder, "TMP"))
	if err != nil {
		check(fmt.Errorf("%s: %w: %s", command[0], err, output))
	}
	return string(output)
}

// answer is the answer of a gateway to a request over the invoke API.
type answer struct {
	status int
	body   string
	err    error
}

// invoke sends a request over the invoke API and returns the answer.
func invoke(ctx context.Context, addr, function, body string, headers map[string]string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+addr+"/v1/functions/"+function+"/invocations", bytes.NewReader([]byte(body)))
	check(err)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, strings.TrimSpace(string(text)), err}
}

// effectLog follows the file into which the replicas of a worker write a line for each effect.
type effectLog struct {
	worker string
	path   string
	offset int64
}

// read returns the names of the effects that were written since the last call.
func (l *effectLog) read() (names []string) {
	file, err := os.Open(l.path)
	if err != nil {
		return nil // the worker has not created it yet
	}
	defer file.Close()
	if _, err := file.Seek(l.offset, io.SeekStart); err != nil {
		return nil
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return nil
	}
	complete := text[:bytes.LastIndexByte(text, '\n')+1]
	l.offset += int64(len(complete))
	for line := range strings.Lines(string(complete)) {
		if name, found := strings.CutPrefix(strings.TrimSpace(line), "effect "); found {
			names = append(names, name)
		}
	}
	return names
}
