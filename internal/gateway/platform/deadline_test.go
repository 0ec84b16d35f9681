package platform_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// congestedListener listens with a backlog of a single connection, and fills it: a connection to it is established only
// when the kernel retries, a second after accept has made room.
type congestedListener struct {
	fd   int
	addr string
}

func newCongestedListener(t *testing.T) *congestedListener {
	t.Helper()
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

// accept accepts the next connection; the first is the one that fills the backlog.
func (l *congestedListener) accept(t *testing.T) int {
	t.Helper()
	fd, _, err := syscall.Accept(l.fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// awaitDial returns when somebody connecting to the listener waits for the kernel's retry: a socket has sent its SYN, and
// has the timer for the next one set. The first has failed on the full backlog.
func (l *congestedListener) awaitDial(t *testing.T) {
	t.Helper()
	_, port, _ := strings.Cut(l.addr, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	const synSent, retransmitTimer = "02", "01:"
	remote := fmt.Sprintf("0100007F:%04X", number)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		sockets, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(sockets)) {
			socket := strings.Fields(line) // number, local address, remote address, state, queues, timer, ...
			if socket[2] == remote && socket[3] == synSent && strings.HasPrefix(socket[5], retransmitTimer) {
				return
			}
		}
	}
	t.Fatal("nobody connects")
}

// acceptUntilRead accepts the next connection and closes it once something has come on it, or its end: closed before,
// it might end under a request that is not written yet.
func (l *congestedListener) acceptUntilRead(t *testing.T) {
	t.Helper()
	fd := l.accept(t)
	defer syscall.Close(fd)
	if _, err := syscall.Read(fd, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// startWithCongestedWorker starts a gateway whose only worker has a congested listener, and gets nothing but requests.
func startWithCongestedWorker(t *testing.T) (*congestedListener, *harness) {
	t.Helper()
	slow := newCongestedListener(t)
	h := start(t, `"dial_timeout":0.25`, `"dial_timeout":5`, `"orders":true`, `"orders":false`,
		`"probing":true`, `"probing":false`)
	h.batches <- batchJSON(2, false,
		hostJSON("slow", slow.addr, "up")+","+hostJSON("w", h.worker.Addr().String(), "removed"))
	awaitPoll(t, h)
	return slow, h
}

// The time left that a worker gets is what the client has left when the request is written, however long the connection
// took.
func TestDeadlineAfterSlowConnection(t *testing.T) {
	slow, h := startWithCongestedWorker(t)
	c := h.dial()
	sent := time.Now()
	c.dispatch("a", fields(id(1))...)
	slow.awaitDial(t)
	syscall.Close(slow.accept(t))
	fd := slow.accept(t)
	defer syscall.Close(fd)
	if connecting := time.Since(sent); connecting < 500*time.Millisecond {
		t.Fatalf("connected after %v: the test shows nothing", connecting)
	}
	buffer := make([]byte, 4096)
	for {
		n, err := syscall.Read(fd, buffer)
		if err != nil || n == 0 {
			t.Fatal("no request arrives:", n, err)
		}
		_, rest, found := strings.Cut(string(buffer[:n]), "wait=")
		if !found {
			continue // a load request, or a probe
		}
		digits, _, _ := strings.Cut(rest, "\r")
		wait, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatal(err)
		}
		left := 2500*time.Millisecond - time.Since(sent)
		if stated := time.Duration(wait) * time.Millisecond; stated > left+150*time.Millisecond {
			t.Errorf("the worker gets %v, the client has %v left", stated, left)
		}
		return
	}
}

// For a client that disconnects while its attempt waits for a connection the attempt is not sent, though the event loop
// stalls and does not know of it yet.
func TestClientLeavesWhileConnectingAndOwnerStalls(t *testing.T) {
	slow, h := startWithCongestedWorker(t)
	c := h.dial()
	c.dispatch("a", fields(id(1))...)
	slow.awaitDial(t)
	h.gateway.Pause(3 * time.Second)
	c.Close()
	syscall.Close(slow.accept(t))
	fd := slow.accept(t)
	defer syscall.Close(fd)
	timeout := &syscall.Timeval{Sec: 1}
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, timeout); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4096)
	if n, _ := syscall.Read(fd, buffer); n > 0 {
		t.Errorf("an attempt for a client that has disconnected: %q", buffer[:n])
	}
}

// awaitPoll returns when the gateway has polled for what follows the batches so far.
func awaitPoll(t *testing.T, h *harness) {
	t.Helper()
	for range 2 {
		awaitNextPoll(t, h)
	}
}

// awaitNextPoll returns at the gateway's next poll: the connections to workers have what the batch before it says.
func awaitNextPoll(t *testing.T, h *harness) {
	t.Helper()
	select {
	case <-h.pollWaits:
	case <-time.After(20 * time.Second):
		t.Fatal("the discovery service is not polled")
	}
}
