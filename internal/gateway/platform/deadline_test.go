package platform_test

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// congestedListener listens with a queue for a single connection, and fills it: a connection to it comes up only when the
// kernel tries again a second after accept has made room.
type congestedListener struct {
	fd   int
	addr string
}

func newCongestedListener(t *testing.T) *congestedListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	l := &congestedListener{fd: fd}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	l.addr = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(filler) })
	if err := syscall.Connect(filler, name); err != nil {
		t.Fatal(err)
	}
	return l
}

// accept takes the next connection; the first is the one that fills the queue.
func (l *congestedListener) accept(t *testing.T) int {
	t.Helper()
	fd, _, err := syscall.Accept(l.fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// startWithCongestedWorker starts a front end whose only worker is at a crowded listener: what goes there is requests alone.
func startWithCongestedWorker(t *testing.T) (*congestedListener, *harness) {
	slow := newCongestedListener(t)
	r := start(t, `"dial_timeout":0.25`, `"dial_timeout":5`, `"orders":true`, `"orders":false`, `"probing":true`, `"probing":false`)
	r.batches <- batchJSON(2, false, hostJSON("slow", slow.addr, "up")+","+hostJSON("w", r.worker.Addr().String(), "removed"))
	awaitPoll(t, r)
	return slow, r
}

// The time that a worker is told is what the client has left when the request leaves, however long the connection took to
// come up.
func TestDeadlineAfterSlowConnection(t *testing.T) {
	slow, r := startWithCongestedWorker(t)
	c := r.dial()
	sent := time.Now()
	c.dispatch("a", fields(id(1))...)
	time.Sleep(50 * time.Millisecond) // the first try to connect finds no room
	syscall.Close(slow.accept(t))
	fd := slow.accept(t)
	defer syscall.Close(fd)
	took := time.Since(sent)
	if took < 500*time.Millisecond {
		t.Fatalf("the connection came up after %v: the test shows nothing", took)
	}
	have := make([]byte, 4096)
	for {
		n, err := syscall.Read(fd, have)
		if err != nil || n == 0 {
			t.Fatal("no request came:", n, err)
		}
		_, rest, is := strings.Cut(string(have[:n]), "wait=")
		if !is {
			continue // an order to load, or a probe
		}
		digits, _, _ := strings.Cut(rest, "\r")
		wait, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatal(err)
		}
		left := 2500*time.Millisecond - time.Since(sent)
		if told := time.Duration(wait) * time.Millisecond; told > left+150*time.Millisecond {
			t.Errorf("%v after the client sent it, a worker is told %v, the client has %v left", took, told, left)
		}
		return
	}
}

// A client that leaves while its attempt waits for a connection gets none, though the owner stands still and has not heard of it.
func TestClientLeavesWhileConnectingAndOwnerStalls(t *testing.T) {
	slow, r := startWithCongestedWorker(t)
	c := r.dial()
	c.dispatch("a", fields(id(1))...)
	time.Sleep(50 * time.Millisecond) // the first try to connect finds no room
	r.gateway.Pause(3 * time.Second)
	c.Close()
	syscall.Close(slow.accept(t))
	fd := slow.accept(t)
	defer syscall.Close(fd)
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 1}); err != nil {
		t.Fatal(err)
	}
	have := make([]byte, 4096)
	if n, _ := syscall.Read(fd, have); n > 0 {
		t.Errorf("an attempt for a client that has left: %q", have[:n])
	}
}

// awaitPoll returns when the front end has asked for what comes after the answers given so far.
func awaitPoll(t *testing.T, r *harness) {
	t.Helper()
	for range 2 {
		select {
		case <-r.pollWaits:
		case <-time.After(20 * time.Second):
			t.Fatal("the journal is not asked")
		}
	}
}
