package worker_test

import (
	"log/slog"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/worker"
	"lupinpond/internal/worker/idempotency"
	"lupinpond/internal/workerrpc"
)

// A duplicate within the key's window must not run, even after a restart of the worker. A request with the same key
// after the window runs.
func TestIdempotencyAcrossRestart(t *testing.T) {
	folder := t.TempDir()
	t.Run("first incarnation", func(t *testing.T) {
		h := startWorkerIn(t, folder, storeURL, nil)
		if result := h.keyedRequest("", "one", "k", time.Minute); !ranOK(result) {
			t.Errorf("%+v", result)
		}
		if result := h.keyedRequest("", "two", "k", time.Minute); !duplicateOf(result, "one") {
			t.Errorf("%+v", result)
		}
		if result := h.keyedRequest("", "exit", "gone", time.Minute); result.Code != workerrpc.CodeFailed {
			t.Errorf("%+v", result)
		}
		if result := h.keyedRequest("", "short", "s", time.Millisecond); !ranOK(result) {
			t.Errorf("%+v", result)
		}
		if log := h.readReplicaLog(); strings.Contains(log, "effect two") {
			t.Error(log)
		}
	})
	h := startWorkerIn(t, folder, storeURL, nil)
	for key, want := range map[string]workerrpc.Code{"k": workerrpc.CodeOK, "gone": workerrpc.CodeFailed} {
		result := h.keyedRequest("", "again", key, time.Minute)
		if !result.Deduplicated || result.Code != want {
			t.Errorf("duplicate of key %s after a restart: %+v", key, result)
		}
	}
	if result := h.keyedRequest("", "new", "s", time.Minute); !ranOK(result) {
		t.Errorf("request after the key's window: %+v", result)
	}
}

// TestDuplicateOfLongResponse guards against a duplicate of a request that is answered as completed with an empty body,
// because the first response was too long to be stored: it must be reported as one that may have run. The longest
// response that is stored, and an empty one, must be answered unchanged.
func TestDuplicateOfLongResponse(t *testing.T) {
	addresses, _ := startRegisters(t, 1)
	workers := map[string]*harness{"journal": startWorker(t, nil), "register": startWorkerInGroup(t, addresses)}
	for name, h := range workers {
		for key, body := range map[string]string{
			"long":    strings.Repeat("x", idempotency.MaxStoredResponse+1),
			"longest": strings.Repeat("y", idempotency.MaxStoredResponse),
			"empty":   "",
		} {
			if result := h.keyedRequest("", body, key, time.Minute); !ranOK(result) || string(result.Body) != body {
				t.Fatalf("%s, %s: code %d, %d bytes", name, key, result.Code, len(result.Body))
			}
			if key == "long" {
				result := h.keyedRequest("", body, key, time.Minute)
				if result.Code != workerrpc.CodeFailed || !result.Deduplicated {
					t.Errorf("%s: duplicate of a request with a long response: code %d, %d bytes, deduplicated %v", name,
						result.Code, len(result.Body), result.Deduplicated)
				}
				continue
			}
			// Registers are notified of completed requests asynchronously.
			h.waitFor(name+": duplicate of "+key, func() bool {
				return duplicateOf(h.keyedRequest("", body, key, time.Minute), body)
			})
		}
	}
}

// TestRetryIsNotStartedAfterWindow guards against a retry of a keyed request that comes to a worker within the key's
// window, waits there for a slot until the window has ended, and runs although the request has run before. It must be
// rejected as not run once the time in which it may start is over.
func TestRetryIsNotStartedAfterWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	h := startWorker(t, func(options *worker.Options) { options.Limits.MaxRunning = 1 })
	if result := h.keyedRequest("", "warm up", "w", window); !ranOK(result) {
		t.Fatalf("%+v", result)
	}
	firstSent := time.Now()
	if result := h.keyedRequest("", "one", "k", window); !ranOK(result) {
		t.Fatalf("%+v", result)
	}
	blocking := h.send(workerrpc.Attempt{RequestID: "b", Function: faultyFunction, Body: []byte("sleep 1s")})
	retry := h.send(workerrpc.Attempt{
		RequestID:      "one",
		Number:         1,
		Function:       faultyFunction,
		Type:           "t",
		IdempotencyKey: "k",
		DedupWindow:    window,
		StartWithin:    max(1, window-time.Since(firstSent)),
		Body:           []byte("one"),
	})
	outcome := <-retry
	if result := outcome.AttemptResult; result == nil || !result.Code.NeverRan() {
		t.Errorf("%+v, want a result that states that the retry did not run", outcome)
	}
	if waited := time.Since(firstSent); waited > window+300*time.Millisecond {
		t.Errorf("the retry was rejected %v after the end of its window", waited-window)
	}
	<-blocking
	if n := strings.Count(h.readReplicaLog(), "effect one\n"); n != 1 {
		t.Errorf("the effect happened %d times", n)
	}
}

// ranOK reports whether a request ran and succeeded.
func ranOK(result *workerrpc.AttemptResult) bool {
	return !result.Deduplicated && result.Code == workerrpc.CodeOK
}

// duplicateOf reports whether a request was answered as a duplicate with the response of the first request.
func duplicateOf(result *workerrpc.AttemptResult, response string) bool {
	return result.Deduplicated && result.Code == workerrpc.CodeOK && string(result.Body) == response
}

// Two workers in a group deduplicate each other's requests, even if one of the three registers is unreachable. If two
// registers are unreachable, a request with an idempotency key is rejected as not started.
func TestIdempotencyInGroup(t *testing.T) {
	addresses, registers := startRegisters(t, 3)
	first, second := startWorkerInGroup(t, addresses), startWorkerInGroup(t, addresses)
	send := func(h *harness, body, tenant, key string) *workerrpc.AttemptResult {
		t.Helper()
		return h.keyedRequest(tenant, body, key, time.Minute)
	}
	// The registers are notified of completed requests asynchronously.
	waitForDuplicate := func(h *harness, body, key, response string) {
		t.Helper()
		h.waitFor(key+" is a duplicate", func() bool { return duplicateOf(send(h, body, "x", key), response) })
	}
	if result := send(first, "one", "x", "k"); !ranOK(result) {
		t.Errorf("%+v", result)
	}
	waitForDuplicate(second, "two", "k", "one")
	if result := send(second, "other tenant", "y", "k"); !ranOK(result) {
		t.Errorf("%+v", result)
	}
	if result := send(first, "exit", "x", "gone"); result.Code != workerrpc.CodeFailed {
		t.Errorf("%+v", result)
	}
	if result := send(second, "exit again", "x", "gone"); result.Code != workerrpc.CodeFailed || !result.Deduplicated {
		t.Errorf("%+v", result)
	}
	registers[0].Close()
	if result := send(second, "three", "x", "k3"); !ranOK(result) {
		t.Errorf("%+v", result)
	}
	waitForDuplicate(first, "four", "k3", "three")
	registers[1].Close()
	if result := send(first, "five", "x", "k5"); result.Code != workerrpc.CodeNotStarted {
		t.Errorf("%+v", result)
	}
	for _, h := range []*harness{first, second} {
		log := h.readReplicaLog()
		for _, never := range []string{"two", "exit again", "four", "five"} {
			if strings.Contains(log, "effect "+never+"\n") {
				t.Error(never, " ran")
			}
		}
	}
}

// startRegisters starts count registers.
func startRegisters(t *testing.T, count int) (addresses []string, servers []*httptest.Server) {
	t.Helper()
	for range count {
		register, err := idempotency.Open(t.TempDir(), 1000)
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(register.Handler())
		t.Cleanup(func() {
			server.Close()
			register.Close()
		})
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		servers = append(servers, server)
	}
	return addresses, servers
}

// startWorkerInGroup starts a worker that deduplicates requests through a group of registers.
func startWorkerInGroup(t *testing.T, registers []string) *harness {
	t.Helper()
	group, err := idempotency.NewGroup(registers, 10*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	return startWorker(t, func(options *worker.Options) { options.IdempotencyGroup = group })
}

// The system clock was wrong by a day and was corrected between two incarnations of a worker: a key must remain valid
// for exactly its window, neither shorter nor longer.
func TestClockJump(t *testing.T) {
	const window = 3 * time.Second
	for _, offset := range []time.Duration{24 * time.Hour, -24 * time.Hour} {
		folder := t.TempDir()
		var first time.Time
		t.Run("first incarnation", func(t *testing.T) {
			h := startWorkerIn(t, folder, storeURL, nil)
			h.expectAnswer(faultyFunction, "echo", workerrpc.CodeOK, "echo")
			first = time.Now()
			if result := h.keyedRequest("", "a", "k", window); result.Code != workerrpc.CodeOK {
				t.Fatalf("%+v", result)
			}
		})
		worker.ShiftJournalClock(t, filepath.Join(folder, "journal"), offset)
		h := startWorkerIn(t, folder, storeURL, nil)
		for {
			sent := time.Now()
			if result := h.keyedRequest("", "b", "k", window); !result.Deduplicated {
				if since := time.Since(first); since < window {
					t.Errorf("clock off by %v: a duplicate ran %v after the first request, within its window", offset, since)
				}
				break
			}
			if sent.Sub(first) > window+time.Minute {
				t.Fatalf("clock off by %v: the key is still valid after its window", offset)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
