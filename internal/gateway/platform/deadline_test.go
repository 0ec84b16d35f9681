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

// congestedListener is a listener with a backlog of a single connection, which is full. A connection to it is
// established only after accept has freed the backlog and the kernel of the client retries, a second after its first
// try.
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

// accept accepts the next connection. The first is the one that fills the backlog.
func (l *congestedListener) accept(t *testing.T) int {
	t.Helper()
	fd, _, err := syscall.Accept(l.fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// awaitDial returns when a client is connecting to the listener and its kernel waits to retry: its socket has sent a
// SYN, which was dropped because the backlog is full, and has set the retransmission timer.
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
	t.Fatal("no client connected to the listener within 20 s")
}

// acceptUntilRead accepts the next connection, waits until it has received data or its end, and closes it. If it were
// closed earlier, a request might fail because it is not completely written.
func (l *congestedListener) acceptUntilRead(t *testing.T) {
	t.Helper()
	fd := l.accept(t)
	defer syscall.Close(fd)
	if _, err := syscall.Read(fd, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// startWithCongestedWorker starts a gateway whose only worker has a congested listener and is sent no load requests or
// probes.
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

// The time left that is stated to a worker must not include the time that the connection took to be established: it is
// the time until the client's deadline when the request is written.
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
		t.Fatalf("connected after %v, want a delay of at least 500 ms for the test to be meaningful", connecting)
	}
	buffer := make([]byte, 4096)
	for {
		n, err := syscall.Read(fd, buffer)
		if err != nil || n == 0 {
			t.Fatal("the worker received no request:", n, err)
		}
		_, rest, found := strings.Cut(string(buffer[:n]), "wait=")
		if !found {
			continue // a load request or a probe
		}
		digits, _, _ := strings.Cut(rest, "\r")
		wait, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatal(err)
		}
		left := 2500*time.Millisecond - time.Since(sent)
		if stated := time.Duration(wait) * time.Millisecond; stated > left+150*time.Millisecond {
			t.Errorf("the time left stated to the worker is %v, but the client's deadline is in %v", stated, left)
		}
		return
	}
}

// An attempt that waits for a connection to a worker must not be sent once its client has disconnected, even if the
// event loop stalls and has not processed the disconnect yet.
func TestClientDisconnectsWhileConnectingDuringStall(t *testing.T) {
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
		t.Errorf("an attempt was sent after its client had disconnected: %q", buffer[:n])
	}
}

// awaitPoll returns when the gateway has polled for events that follow all batches sent so far.
func awaitPoll(t *testing.T, h *harness) {
	t.Helper()
	for range 2 {
		awaitNextPoll(t, h)
	}
}

// awaitNextPoll returns at the gateway's next poll. The previous batch has been applied to the connections to workers
// by then.
func awaitNextPoll(t *testing.T, h *harness) {
	t.Helper()
	select {
	case <-h.pollWaits:
	case <-time.After(20 * time.Second):
		t.Fatal("the discovery service was not polled within 20 s")
	}
}
