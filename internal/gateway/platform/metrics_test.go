package platform_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/gateway/platform"
)

// scrape returns the text of the metrics served at an address.
func scrape(t *testing.T, addr string) string {
	t.Helper()
	client := &http.Client{Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// The metrics of a gateway are served while it runs, and its status is logged on SIGUSR1 and at the end.
func TestMetrics(t *testing.T) {
	h := start(t)
	metricsAddr := freeAddr(t)
	_, l, ended := startProgram(t, h, h.config, platform.Options{MetricsAddr: metricsAddr})
	l.wait("metrics listening", 1)
	l.wait("gateway listening", 1)
	c := h.dial()
	c.dispatch("a", fields(id(1))...)
	c.expect("handled", "done a")
	metrics := scrape(t, metricsAddr)
	for _, line := range []string{
		`lupinpond_requests_total{ending="completed"} 1`,
		`lupinpond_connections 1`,
		`lupinpond_workers 1`,
		`lupinpond_attempts_total 1`,
		`lupinpond_requests_given_up_total{reason="no_time_left"} 0`,
		`lupinpond_overloaded 0`,
	} {
		if !strings.Contains(metrics, line+"\n") {
			t.Errorf("metrics do not contain the line %s:\n%s", line, metrics)
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
