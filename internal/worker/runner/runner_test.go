package runner_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/worker/runner"
)

// newHost returns a host with the given start timeout.
func newHost(t testing.TB, startTimeout time.Duration) *runner.Host {
	t.Helper()
	host, err := runner.NewHost(runner.Options{
		StartTimeout:     startTimeout,
		GracePeriod:      50 * time.Millisecond,
		MaxResponseBytes: 1 << 10,
		CompilationCache: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := host.Close(); err != nil {
			t.Error(err)
		}
	})
	return host
}

// scriptPackage creates a package whose program is a shell script.
func scriptPackage(t testing.TB, script string) manifest.Package {
	t.Helper()
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "entry"), []byte("#!/bin/sh\n"+script), 0o755); err != nil {
		t.Fatal(err)
	}
	pkg, err := manifest.Write(folder, manifest.Manifest{
		Name:        "f",
		Version:     "1",
		Type:        "t",
		Kind:        manifest.Process,
		Concurrency: 1,
		MemoryLimit: 64 << 20,
		Timeout:     config.Duration(time.Second),
		EntryPoint:  "entry",
	})
	if err != nil {
		t.Fatal(err)
	}
	return pkg
}

// A program that exits at once, or that never polls for a request and ignores SIGTERM, must make Start fail and leave
// no process running.
func TestReplicasThatNeverBecomeReady(t *testing.T) {
	_, err := newHost(t, time.Minute).Start(t.Context(), scriptPackage(t, "exit 3"))
	if !errors.Is(err, runner.ErrReplicaExited) {
		t.Error(err)
	}
	start := time.Now()
	pidFile := filepath.Join(t.TempDir(), "pid")
	ignoresSIGTERM := scriptPackage(t, "trap '' TERM\necho $$ > "+pidFile+"\nwhile :; do sleep 1; done")
	_, err = newHost(t, 300*time.Millisecond).Start(t.Context(), ignoresSIGTERM)
	if err == nil || !strings.Contains(err.Error(), "not ready") {
		t.Error(err)
	}
	if elapsed := time.Since(start); elapsed > 30*time.Second {
		t.Errorf("Start failed only after %v", elapsed)
	}
	text, err := os.ReadFile(pidFile)
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := runner.ProcessMemory(pid); err == nil {
		t.Error("the child that ignores SIGTERM is still running")
	}
}

// Start must return the error of its context when the context ends before the replica is ready.
func TestStartCanceled(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newHost(t, time.Minute).Start(ctx, scriptPackage(t, "while :; do sleep 1; done"))
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
}

// Requests to the runtime interface without the token of a replica must be rejected, whatever their method and path
// are.
func FuzzRuntimeInterface(f *testing.F) {
	f.Add("GET", "/v1/x/next", "")
	f.Add("POST", "/v1/x/invocations/1/response", "body")
	f.Add("POST", "/v1//invocations/../error", "\x00")
	host := newHost(f, time.Minute)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		request, err := http.NewRequest(method, "http://x/", strings.NewReader(body))
		if err != nil {
			return
		}
		request.URL.Path = path
		w := httptest.NewRecorder()
		host.ServeHTTP(w, request)
		if w.Code < 300 {
			t.Errorf("%s %q: got status %d, want an error status", method, path, w.Code)
		}
	})
}
