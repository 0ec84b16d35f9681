package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lupinpond/internal/worker/faultinject"
)

// maxFaultRequestBytes is the maximum size of the body of a request to the control interface.
const maxFaultRequestBytes = 4096

// FaultRequest is a request to inject a fault, as sent to the control interface.
type FaultRequest struct {
	Fault    string  `json:"what"`   // hang, silence, slow, refuse, errors, fail-loads or false-reports
	Tenant   string  `json:"tenant"` // tenant whose requests are rejected, for refuse
	Factor   float64 `json:"factor"` // multiplier, for slow and false-reports
	Delay    string  `json:"at"`     // time until the fault is injected, such as 2s; if empty, it is injected immediately
	Duration string  `json:"for"`    // time from injection until the fault is undone
}

// UpdateFaults calls change to set or reset injected faults. The change takes effect immediately.
func (w *Worker) UpdateFaults(change func(*faultinject.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Silence turns the silencing of the worker's connections on or off. While it is on, reads and writes block and the
// connections remain open.
func (w *Worker) Silence(on bool) { w.silencer.Set(on) }

// ControlHandler returns the handler of the control interface. It serves POST /v1/trouble with a FaultRequest as JSON
// body. The worker program serves it only if an operator configures an address for it.
func (w *Worker) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trouble", func(response http.ResponseWriter, request *http.Request) {
		var fault FaultRequest
		decoder := json.NewDecoder(http.MaxBytesReader(response, request.Body, maxFaultRequestBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&fault); err != nil {
			http.Error(response, "order: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := w.InjectFault(fault); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		response.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// InjectFault schedules a fault: it is injected after request.Delay and undone request.Duration later.
func (w *Worker) InjectFault(request FaultRequest) error {
	duration, err := time.ParseDuration(request.Duration)
	if err != nil || duration <= 0 {
		return fmt.Errorf("for %q: a time such as 5s after which it is undone", request.Duration)
	}
	delay := time.Duration(0)
	if request.Delay != "" {
		if delay, err = time.ParseDuration(request.Delay); err != nil || delay < 0 {
			return fmt.Errorf("at %q: a time from now such as 2s", request.Delay)
		}
	}
	set, undo, err := faultinject.ByName(request.Fault, request.Tenant, request.Factor)
	if err != nil {
		return err
	}
	silence := request.Fault == faultinject.Silence
	time.AfterFunc(delay, func() {
		w.UpdateFaults(set)
		if silence {
			w.Silence(true)
		}
	})
	time.AfterFunc(delay+duration, func() {
		w.UpdateFaults(undo)
		if silence {
			w.Silence(false)
		}
	})
	return nil
}
