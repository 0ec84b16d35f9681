package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/testbed/discoverytest"
)

// program is a gateway process with one worker, whose received attempts a test reads.
type program struct {
	*exec.Cmd
	t        *testing.T
	addr     string         // address for clients
	attempts chan []string  // commands of the attempts that the worker received
	arrivals chan time.Time // arrival time of each attempt, in the same order
}

// startProgram starts a gateway process with arguments and waits until it listens and its endpoint list is confirmed.
// It writes its log to log.
func startProgram(t *testing.T, log *os.File, args ...string) *program {
	t.Helper()
	p := &program{t: t, attempts: make(chan []string, 10000), arrivals: make(chan time.Time, 10000)}
	worker := startWorker(t, func(words []string) {
		if words[0] == "FN" {
			p.arrivals <- time.Now()
			p.attempts <- words
		}
	})
	journal, err := discoverytest.New(nil) // it has no event after the one in the configuration
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := journal.Close(); err != nil {
			t.Error(err)
		}
	})
	p.addr = unusedAddr(t)
	p.run(platformConfig{
		listen:     p.addr,
		journal:    journal.Addr,
		sockets:    128,
		hosts:      []string{hostJSON("w", worker, "up")},
		familyInfo: `{"keep":5,"orders":false,"miss_mode":"load"}`,
		connIdle:   15,
		giveUp:     3,
	}, log, args...)
	for deadline := time.Now().Add(20 * time.Second); journal.Counts().Polls < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the gateway doesn't poll for changes of its endpoint list")
		}
	}
	return p
}

// run starts the process with a configuration and arguments and waits until it listens.
func (p *program) run(config platformConfig, log *os.File, args ...string) {
	t := p.t
	t.Helper()
	path := config.write(t)
	p.Cmd = exec.Command(os.Args[0], args...)
	command := strings.Join(append([]string{"gateway"}, args...), " ")
	p.Env = append(os.Environ(), programEnv+"="+command, "GW_CONFIG="+path)
	p.Stderr = log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // fails if the process has already exited
		_ = p.Wait()
	})
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", p.addr); err == nil {
			conn.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the gateway doesn't listen")
		}
	}
}

// stop stops the process with SIGSTOP and waits until all of its threads have stopped.
func (p *program) stop() {
	p.t.Helper()
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		p.t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(p.Process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		p.t.Fatalf("the gateway has not stopped: status %#x, error %v", status, err)
	}
}

// send opens a connection, writes a request's frame to it and returns the connection.
func (p *program) send(frame []byte) net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err == nil {
		_, err = conn.Write(frame)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	return conn
}

// A request that waits in the socket buffer while the process is paused is older than the time at which the gateway
// reads it. The gateway must not state more remaining time to the worker than the client has left, and must not send a
// request whose client disconnected during the pause, even though it reads the disconnect after the request.
func TestPausedWithQueuedRequests(t *testing.T) {
	const pause = 700 * time.Millisecond
	const clientWait = 2500 * time.Millisecond
	p := startProgram(t, os.Stderr)
	first := p.send(requestFrame(1, 1, clientWait)) // its attempt loads the replica
	defer first.Close()
	<-p.attempts
	<-p.arrivals
	p.stop()
	sent := time.Now()
	const disconnected = 20
	for n := range disconnected {
		p.send(requestFrame(100+n, 1, clientWait)).Close()
	}
	waiting := p.send(requestFrame(2, 1, clientWait))
	defer waiting.Close()
	time.Sleep(pause)
	if err := p.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if ok, err := roundTrip(waiting, nil); err != nil || !ok {
		t.Error("request whose client still waits, completed:", ok, err)
	}
	for len(p.attempts) > 0 {
		words, arrivedAt := <-p.attempts, <-p.arrivals
		if words[1] != fmt.Sprintf("%016x", 2) {
			t.Errorf("request %s was sent %v after its client had disconnected", words[1], arrivedAt.Sub(sent))
			continue
		}
		_, wait, _ := strings.Cut(words[2], "wait=")
		stated, err := strconv.Atoi(wait)
		if err != nil {
			t.Fatal(err)
		}
		if left := clientWait - arrivedAt.Sub(sent); time.Duration(stated)*time.Millisecond > left+150*time.Millisecond {
			t.Errorf("the attempt states %d ms of remaining time, the client has %v left", stated, left)
		}
	}
}

// The gateway must serve requests when its log can't be written: first the reader of the log stalls until the pipe is
// full, then it closes the pipe.
func TestLogReaderStalled(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, writer, "--log-level", "debug")
	writer.Close()
	number := 0
	serve := func(times int) {
		t.Helper()
		for range times {
			number++
			conn := p.send(nil)
			if ok, err := roundTrip(conn, requestFrame(number, 1, 2*time.Second)); err != nil || !ok {
				t.Fatal("request", number, ok, err)
			}
			conn.Close()
		}
	}
	serve(300) // logs more than the 64 KiB that the pipe holds
	reader.Close()
	serve(300)
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Error("the gateway did not exit with status 0:", err)
	}
}
