package httpserver_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"lupinpond/internal/base/httpserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lineWriter is an io.Writer for a logger that sends each line to the channel.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// startService runs a service in a goroutine. It returns the URL of the service and a channel for the error of Run.
func startService(t *testing.T, ctx context.Context, s httpserver.Service) (url string, result <-chan error) {
	t.Helper()
	lines, done := make(lineWriter, 1), make(chan error, 1)
	s.Name, s.Addr, s.Log = "test service", "127.0.0.1:0", slog.New(slog.NewTextHandler(lines, nil))
	go func() { done <- s.Run(ctx) }()
	_, address, found := strings.Cut(strings.TrimSpace(<-lines), "address=")
	if !found {
		t.Fatal("the log line does not contain the address")
	}
	return "http://" + address, done
}

// TestServiceDrains guards against a service that aborts requests on shutdown: a request that is in flight when the
// context is done completes within the grace period, and then Run returns nil.
func TestServiceDrains(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	arrived, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "completed")
	})
	stopped := make(chan struct{})
	url, result := startService(t, ctx, httpserver.Service{Server: httpserver.NewServer(handler), GracePeriod: 1 << 40,
		Tasks: []func(context.Context) error{func(ctx context.Context) error {
			<-ctx.Done()
			close(stopped)
			return nil
		}}})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	body := make(chan string, 1)
	go func() {
		resp, err := client.Get(url)
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		content, _ := io.ReadAll(resp.Body)
		body <- string(content)
	}()
	<-arrived
	cancel()
	<-stopped
	close(release)
	if got := <-body; got != "completed" {
		t.Errorf("response to the request in flight: got %q", got)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestServiceErrors checks that Run returns the error of a failed task, and an error if the address is in use.
func TestServiceErrors(t *testing.T) {
	failure := errors.New("task failed")
	server := httpserver.NewServer(http.NotFoundHandler())
	_, result := startService(t, t.Context(), httpserver.Service{Server: server,
		Tasks: []func(context.Context) error{func(context.Context) error { return failure }}})
	if err := <-result; !errors.Is(err, failure) {
		t.Error(err)
	}
	other, err := httpserver.StartLoopback("127.0.0.1:0", http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	service := httpserver.Service{Addr: other.Addr, Server: server, Log: slog.New(slog.DiscardHandler)}
	if err := service.Run(t.Context()); err == nil {
		t.Error("Run succeeded on an address that is in use")
	}
}

// TestLoopbackServer checks that a second Close neither blocks nor fails.
func TestLoopbackServer(t *testing.T) {
	server, err := httpserver.StartLoopback("127.0.0.1:0", http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	}
}
