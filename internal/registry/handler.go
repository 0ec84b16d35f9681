package registry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// heartbeatInterval is the interval at which a watch without changes is sent an empty line.
const heartbeatInterval = time.Second

// maxEntryBytes is the maximum size of the body of a registration.
const maxEntryBytes = 64 << 10

// Handler returns the HTTP API of the registry:
//   - GET /v1/list?front=NAME is a watch of the gateway NAME;
//   - GET /v1/workers returns the current endpoint list;
//   - PUT /v1/workers/{name}?lease=DURATION registers a worker, and renews its lease if one is given;
//   - POST /v1/workers/{name}/drain and /v1/workers/{name}/gone set a worker's state until the worker restarts;
//   - POST /v1/workers/{name}/restore ends that: the worker's next registration determines its state.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/list", r.serveWatch)
	mux.HandleFunc("GET /v1/workers", r.serveList)
	mux.HandleFunc("PUT /v1/workers/{name}", r.serveRegister)
	mux.HandleFunc("POST /v1/workers/{name}/drain", r.serveSetState(Draining))
	mux.HandleFunc("POST /v1/workers/{name}/gone", r.serveSetState(Removed))
	mux.HandleFunc("POST /v1/workers/{name}/restore", serveChange(r.Restore))
	return mux
}

func (r *Registry) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.List()) // it fails only if the client has disconnected
}

func (r *Registry) serveRegister(w http.ResponseWriter, req *http.Request) {
	var entry Entry
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxEntryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil {
		http.Error(w, "entry: "+err.Error(), http.StatusBadRequest)
		return
	}
	if entry.Name == "" || !entry.State.valid() || entry.Name != req.PathValue("name") || entry.Addr == "" {
		http.Error(w, "entry: a name as in the address, an addr and a known state are needed", http.StatusBadRequest)
		return
	}
	if text := req.URL.Query().Get("lease"); text != "" {
		lease, err := time.ParseDuration(text)
		if err != nil || lease <= 0 {
			http.Error(w, "lease: a duration such as 3s", http.StatusBadRequest)
			return
		}
		r.renewLease(entry.Name, lease)
	}
	r.Register(entry)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) serveSetState(state State) http.HandlerFunc {
	return serveChange(func(name string) bool { return r.SetState(name, state) })
}

// serveChange returns a handler that changes the worker named in the address. change returns false if there is none.
func serveChange(change func(name string) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !change(req.PathValue("name")) {
			http.Error(w, "no such worker", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// serveWatch sends the complete endpoint list and then each change, until the gateway disconnects.
func (r *Registry) serveWatch(w http.ResponseWriter, req *http.Request) {
	gateway := req.URL.Query().Get("front")
	out := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	complete, version := true, uint64(0)
	for {
		event, next, changed := r.changesSince(version)
		if err := out.SetWriteDeadline(time.Now().Add(2 * heartbeatInterval)); err != nil {
			return
		}
		var err error
		if complete || len(event.Entries) > 0 {
			event.Complete = complete
			complete, version = false, event.Version
			if r.onSend != nil {
				r.onSend(gateway, time.Now(), event)
			}
			err = encoder.Encode(event)
		} else {
			_, err = io.WriteString(w, "\n")
		}
		if err != nil || out.Flush() != nil {
			return
		}
		pause := heartbeatInterval
		if !next.IsZero() {
			pause = min(heartbeatInterval, max(time.Millisecond, time.Until(next)))
		}
		timer := time.NewTimer(pause)
		select {
		case <-req.Context().Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
