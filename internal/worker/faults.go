package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lupinpond/internal/worker/faultinject"
)

// maxFaultRequestBytes is the longest body of a request to the control interface.
const maxFaultRequestBytes = 4096

// FaultRequest asks for a fault, in the form of the control interface.
type FaultRequest struct {
	Fault    string  `json:"what"`   // hang, silence, slow, refuse, errors, fail-loads, false-reports
	Tenant   string  `json:"tenant"` // of refuse
	Factor   float64 `json:"factor"` // of slow and false-reports
	Delay    string  `json:"at"`     // time until it begins, such as 2s; empty: at once
	Duration string  `json:"for"`    // time until it is undone
}

// UpdateFaults changes which faults are injected from now on.
func (w *Worker) UpdateFaults(change func(*faultinject.Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
}

// Silence has the worker's connections neither read nor write while it is on, and leaves them open.
func (w *Worker) Silence(on bool) { w.silencer.Set(on) }

// ControlHandler serves POST /v1/trouble with a FaultRequest. It is off unless an operator names an address for it.
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

// InjectFault injects a fault after its delay and undoes it after its duration.
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
