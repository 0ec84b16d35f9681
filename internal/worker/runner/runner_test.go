package runner_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/worker/runner"
)

func newHost(t testing.TB, ready time.Duration) *runner.Host {
	h, err := runner.NewHost(runner.Options{StartTimeout: ready, GracePeriod: 50 * time.Millisecond, MaxResponseBytes: 1 << 10, CompilationCache: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := h.Close(); err != nil {
			t.Error(err)
		}
	})
	return h
}

func scriptPackage(t testing.TB, text string) manifest.Package {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "entry"), []byte("#!/bin/sh\n"+text), 0o755); err != nil {
		t.Fatal(err)
	}
	p, err := manifest.Write(dir, manifest.Manifest{Name: "f", Version: "1", Type: "t", Kind: manifest.Process, Concurrency: 1, MemoryLimit: 64 << 20,
		Timeout: config.Duration(time.Second), EntryPoint: "entry"})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A program that exits, or never asks for an event and ignores its end, is a failed load, and nothing of it is left.
func TestReplicasThatNeverBecomeReady(t *testing.T) {
	if _, err := newHost(t, time.Minute).Start(t.Context(), scriptPackage(t, "exit 3")); !errors.Is(err, runner.ErrReplicaExited) {
		t.Error(err)
	}
	began := time.Now()
	mark := filepath.Join(t.TempDir(), "pid")
	p := scriptPackage(t, "trap '' TERM\necho $$ > "+mark+"\nwhile :; do sleep 1; done")
	if _, err := newHost(t, 300*time.Millisecond).Start(t.Context(), p); err == nil || !strings.Contains(err.Error(), "not ready") {
		t.Error(err)
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("ended after %v", took)
	}
	pid, err := os.ReadFile(mark)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := runner.ProcessMemory(atoi(string(pid))); err == nil {
		t.Error("the child that ignores its end is still there")
	}
}

func atoi(text string) (n int) {
	for _, c := range strings.TrimSpace(text) {
		n = 10*n + int(c-'0')
	}
	return n
}

// A start that is given up leaves nothing.
func TestStartCanceled(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if _, err := newHost(t, time.Minute).Start(ctx, scriptPackage(t, "while :; do sleep 1; done")); !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
}

// Whatever comes to the runtime interface without a copy's token is refused; nothing is answered for a copy.
func FuzzRuntimeInterface(f *testing.F) {
	f.Add("GET", "/v1/x/next", "")
	f.Add("POST", "/v1/x/invocations/1/response", "body")
	f.Add("POST", "/v1//invocations/../error", "\x00")
	h := newHost(f, time.Minute)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		req, err := http.NewRequest(method, "http://x/", strings.NewReader(body))
		if err != nil {
			return
		}
		req.URL.Path = path
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Code < 300 {
			t.Errorf("%s %q: status %d", method, path, w.Code)
		}
	})
}
