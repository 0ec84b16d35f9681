package registry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"lupinpond/internal/registry"
)

// TestRenewalKeepsOperatorState guards against a drain or a removal by an operator that is undone by the next renewal
// of the worker's registration, or by its first renewal after its lease has expired. It must hold until another
// incarnation of the worker registers, or an operator restores the worker.
func TestRenewalKeepsOperatorState(t *testing.T) {
	for operation, want := range map[string]registry.State{"drain": registry.Draining, "gone": registry.Removed} {
		r := registry.New(nil)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		h := r.Handler()
		call := func(method, target string, entry any) {
			t.Helper()
			body, err := json.Marshal(entry)
			if err != nil {
				t.Fatal(err)
			}
			if got := exchange(h, method, target, string(body)); got != "204\n\n" {
				t.Fatalf("%s %s: %q", method, target, got)
			}
		}
		expectState := func(when string, want registry.State) {
			t.Helper()
			if got := stateOf(r, "w-1"); got != want {
				t.Errorf("%s, %s: state %q, want %q", operation, when, got, want)
			}
		}
		entry := fullEntry()
		call(http.MethodPut, "/v1/workers/w-1?lease=1h", entry)
		call(http.MethodPost, "/v1/workers/w-1/"+operation, nil)
		call(http.MethodPut, "/v1/workers/w-1?lease=1h", entry)
		expectState("after a renewal", want)
		call(http.MethodPut, "/v1/workers/w-1?lease=1ms", entry)
		for end := time.Now().Add(streamTimeout); stateOf(r, "w-1") != registry.Removed; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the lease has not expired")
			}
		}
		call(http.MethodPut, "/v1/workers/w-1?lease=1h", entry)
		expectState("renewed after its lease expired", want)
		shutDown := entry
		shutDown.State = registry.Draining
		call(http.MethodPut, "/v1/workers/w-1?lease=1h", shutDown)
		expectState("after the worker registered as draining", want)
		call(http.MethodPost, "/v1/workers/w-1/restore", nil)
		expectState("restored, before the next renewal", want)
		call(http.MethodPut, "/v1/workers/w-1?lease=1h", entry)
		expectState("restored, after the next renewal", registry.InService)
		call(http.MethodPost, "/v1/workers/w-1/"+operation, nil)
		entry.Started = entry.Started.Add(time.Hour)
		call(http.MethodPut, "/v1/workers/w-1?lease=1h", entry)
		expectState("after a restart of the worker", registry.InService)
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// stateOf returns the state of a worker in the endpoint list, or Removed if the list does not have it.
func stateOf(r *registry.Registry, name string) registry.State {
	for _, entry := range r.List() {
		if entry.Name == name {
			return entry.State
		}
	}
	return registry.Removed
}
