package platform_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/platform"
)

// The state of a gateway is served to Prometheus while it runs, and logged at SIGUSR1 and at the end.
func TestMetrics(t *testing.T) {
	h := start(t)
	free := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	var metrics string
	h.addr, metrics = free(), free()
	path := filepath.Join(t.TempDir(), "config.json")
	config := strings.Replace(h.config, `"listen":`, `"listen":"`+h.addr+`","was":`, 1)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	l, ended := &logBuffer{changed: make(chan struct{})}, make(chan error, 1)
	go func() {
		ended <- platform.Run(path, slog.New(slog.NewTextHandler(l, nil)), platform.Options{MetricsAddr: metrics})
	}()
	l.wait("metrics listening", 1)
	l.wait("gateway listening", 1)
	c := h.dial()
	c.dispatch("a", fields(id(1))...)
	c.expect("handled", "done a")
	client := &http.Client{Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`lupinpond_requests_total{ending="completed"} 1`,
		`lupinpond_connections 1`,
		`lupinpond_workers 1`,
		`lupinpond_attempts_total 1`,
		`lupinpond_requests_given_up_total{reason="no_time_left"} 0`,
		`lupinpond_overloaded 0`,
	} {
		if !strings.Contains(string(b), line+"\n") {
			t.Errorf("%s is missing:\n%s", line, b)
		}
	}
	signal(t, syscall.SIGUSR1)
	l.wait("msg=status", 1)
	signal(t, syscall.SIGTERM)
	l.wait("msg=status", 2)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
