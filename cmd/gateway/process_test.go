package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// program is the gateway as a process of its own, with one worker whose requests a test reads.
type program struct {
	*exec.Cmd
	t        *testing.T
	addr     string
	attempts chan []string  // requests as they arrived at the worker
	arrivals chan time.Time // when each of them did
}

// startProgram starts the gateway with arguments and waits until it is ready; log receives its log.
func startProgram(t *testing.T, log *os.File, args ...string) *program {
	t.Helper()
	p := &program{t: t, attempts: make(chan []string, 10000), arrivals: make(chan time.Time, 10000)}
	worker := startWorker(t, func(words []string) {
		if words[0] == "FN" {
			p.arrivals <- time.Now()
			p.attempts <- words
		}
	})
	journal := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(journal.Close)
	p.addr = unusedAddr(t)
	path := platformConfig{
		listen:     p.addr,
		journal:    journal.Listener.Addr().String(),
		sockets:    128,
		hosts:      []string{hostJSON("w", worker, "up")},
		familyInfo: `{"keep":5,"orders":false,"miss_mode":"load"}`,
		connIdle:   15,
		giveUp:     3,
	}.write(t)
	p.Cmd = exec.Command(os.Args[0], args...)
	command := strings.Join(append([]string{"gateway"}, args...), " ")
	p.Env = append(os.Environ(), programEnv+"="+command, "GW_CONFIG="+path)
	p.Stderr = log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()
	})
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", p.addr); err == nil {
			conn.Close()
			return p
		}
		if time.Now().After(deadline) {
			t.Fatal("nobody listens")
		}
	}
}

// send connects and sends a request.
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

// A request that waits in the kernel while the process is paused is older than it looks: its worker is told no more
// time than its client has left, and one whose client has disconnected meanwhile is not sent at all, though its
// disconnect is read later.
func TestPausedWithQueuedRequests(t *testing.T) {
	const pause = 700 * time.Millisecond
	const clientWait = 2500 * time.Millisecond
	p := startProgram(t, os.Stderr)
	first := p.send(requestFrame(1, 1, clientWait)) // the replica is warm from now on
	defer first.Close()
	<-p.attempts
	<-p.arrivals
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
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
		t.Error("the request that is waited for:", ok, err)
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
			t.Errorf("the worker is told %d ms, the client has %v left", stated, left)
		}
	}
}

// Nobody reads the log: first its reader stalls until the pipe is full, then it is closed. Requests are served all
// the same.
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
	serve(300) // a pipe holds 64 KiB
	reader.Close()
	serve(300)
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		t.Error("it does not exit with status 0:", err)
	}
}
