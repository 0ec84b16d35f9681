package platform_test

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/platform"
)

// logBuffer collects log lines, for tests to wait for.
type logBuffer struct {
	mu      sync.Mutex
	text    string
	changed chan struct{}
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(b)
	close(l.changed)
	l.changed = make(chan struct{})
	return len(b), nil
}

// wait waits until a text has been logged so many times.
func (l *logBuffer) wait(text string, times int) {
	for {
		l.mu.Lock()
		n, kick := strings.Count(l.text, text), l.changed
		l.mu.Unlock()
		if n >= times {
			return
		}
		<-kick
	}
}

// freeAddr is an address at which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// withListen is a configuration with another address for clients.
func withListen(config, addr string) []byte {
	return []byte(strings.Replace(config, `"listen":`, `"listen":"`+addr+`","was":`, 1))
}

func writeConfig(t *testing.T, path string, config []byte) {
	t.Helper()
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startProgram runs a gateway by a configuration file, as its program does; the harness dials it then.
func startProgram(t *testing.T, h *harness, config string, options platform.Options) (
	path string, l *logBuffer, ended chan error) {
	t.Helper()
	h.addr, path = freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, withListen(config, h.addr))
	l, ended = runProgram(path, options)
	return path, l, ended
}

func runProgram(path string, options platform.Options) (l *logBuffer, ended chan error) {
	l, ended = &logBuffer{changed: make(chan struct{})}, make(chan error, 1)
	go func() { ended <- platform.Run(path, slog.New(slog.NewTextHandler(l, nil)), options) }()
	return l, ended
}

func signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// A file that can't be read leaves the configuration in force, also in the middle of a reload and while the gateway
// drains; a second SIGTERM changes nothing; all ends without an error.
func TestSignals(t *testing.T) {
	h := start(t)
	path, l, ended := startProgram(t, h, h.config, platform.Options{})
	l.wait("gateway listening", 1)
	c := h.dial()
	c.dispatch("a", fields(id(1))...)
	c.expect("handled", "done a")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	bad := 0
	for _, text := range []string{
		"",
		string(good[:len(good)/2]),
		`{"name":"n0"}`,
		strings.Replace(string(good), `"sockets":256`, `"sockets":-1`, 1),
	} {
		writeConfig(t, path, []byte(text))
		signal(t, syscall.SIGHUP)
		bad++
		l.wait("configuration reload failed", bad)
		c.dispatch("b", fields(id(1+bad))...)
		c.expect("handled", "done b")
	}
	writeConfig(t, path, good)
	signal(t, syscall.SIGHUP)
	l.wait("msg=\"configuration reloaded\"", 1)
	release := make(chan struct{})
	h.worker.respondWith(func(_, _, body string) []string {
		<-release
		return []string{"ok", "how=ready", body}
	})
	c.dispatch("c", fields(id(50))...)
	h.worker.next(t, "FN")
	signal(t, syscall.SIGTERM)
	l.wait("draining", 1)
	signal(t, syscall.SIGHUP) // in the middle of the drain
	l.wait("msg=\"configuration reloaded\"", 2)
	signal(t, syscall.SIGTERM)
	close(release)
	c.expect("handled", "c")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// An invalid configuration ends the start with an error of one line that names what is wrong.
func TestStartWithInvalidConfig(t *testing.T) {
	h := start(t)
	for change, names := range map[string]string{
		`"seed":"8c1f`:        "seed",
		`"cores":1.0`:         "cores",
		`"sockets":256`:       "sockets",
		`"memory_mb":64`:      "memory_mb",
		`"journal":"127`:      "journal",
		`"request_classes":[`: "request_classes",
	} {
		name, value, _ := strings.Cut(change, ":")
		config := strings.Replace(h.config, change, name+`:"x","was":`+value, 1)
		_, _, ended := startProgram(t, h, config, platform.Options{})
		if err := <-ended; err == nil || !strings.Contains(err.Error(), names) || strings.Contains(err.Error(), "\n") {
			t.Errorf("without %s: %v", names, err)
		}
	}
	missing := filepath.Join(t.TempDir(), "none")
	if err := platform.Run(missing, slog.New(slog.DiscardHandler), platform.Options{}); err == nil {
		t.Error("a missing file is accepted")
	}
}

// A configuration that is being written at SIGHUP is applied once it is complete, without another signal, and one
// that is being written at the start too; an address that another process still uses is listened at once that has
// released it.
func TestIncompleteConfigIsRetried(t *testing.T) {
	h := start(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr, path := listener.Addr().String(), filepath.Join(t.TempDir(), "config.json")
	complete := withListen(h.config, addr)
	incomplete := complete[:len(complete)/2]
	writeConfig(t, path, incomplete)
	l, ended := runProgram(path, platform.Options{})
	time.Sleep(100 * time.Millisecond)
	writeConfig(t, path, complete)
	time.Sleep(100 * time.Millisecond)
	listener.Close()
	l.wait("gateway listening", 1)
	writeConfig(t, path, incomplete)
	signal(t, syscall.SIGHUP)
	l.wait("configuration reload failed", 1)
	writeConfig(t, path, complete)
	l.wait("msg=\"configuration reloaded\"", 1)
	signal(t, syscall.SIGUSR1)
	l.wait("msg=status", 1)
	signal(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
