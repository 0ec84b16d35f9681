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

// logBuffer is a writer that collects log lines, so that tests can wait for them.
type logBuffer struct {
	mu      sync.Mutex
	text    string
	changed chan struct{} // closed and replaced when text is appended
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(b)
	close(l.changed)
	l.changed = make(chan struct{})
	return len(b), nil
}

// wait waits until a text has been logged the given number of times.
func (l *logBuffer) wait(text string, times int) {
	for {
		l.mu.Lock()
		n, changed := strings.Count(l.text, text), l.changed
		l.mu.Unlock()
		if n >= times {
			return
		}
		<-changed
	}
}

// freeAddr returns an address at which no process listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// withListen returns a configuration with its address for clients replaced.
func withListen(config, addr string) []byte {
	return []byte(strings.Replace(config, `"listen":`, `"listen":"`+addr+`","was":`, 1))
}

func writeConfig(t *testing.T, path string, config []byte) {
	t.Helper()
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startProgram runs a gateway with a configuration file, as the gateway program does, and makes the harness dial it.
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

// A gateway must survive signals at awkward moments. If the configuration file can't be read on SIGHUP, the present
// configuration stays in force; a reload is possible while the gateway is draining; a second SIGTERM has no effect.
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
	h.worker.nextCommand(t, "FN")
	signal(t, syscall.SIGTERM)
	l.wait("draining", 1)
	signal(t, syscall.SIGHUP) // while the gateway is draining
	l.wait("msg=\"configuration reloaded\"", 2)
	signal(t, syscall.SIGTERM)
	close(release)
	c.expect("handled", "c")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A gateway with an invalid configuration must fail to start, with a single-line error that names the invalid key.
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
			t.Errorf("with an invalid %s: got error %v, want one line that names the key", names, err)
		}
	}
	missing := filepath.Join(t.TempDir(), "none")
	if err := platform.Run(missing, slog.New(slog.DiscardHandler), platform.Options{}); err == nil {
		t.Error("a missing configuration file is accepted")
	}
}

// A configuration file that is incomplete at the start or on SIGHUP must be applied once it is complete, without a
// further signal. If another process still uses the listen address, the gateway must listen once it is released.
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
