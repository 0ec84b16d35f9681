package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lupinpond/internal/worker/faultinject"
)

// FaultRequest to misbehave, as the control interface takes it.
type FaultRequest struct {
	Fault    string  `json:"what"`   // hang, silence, slow, refuse, errors, fail-loads, false-reports
	Tenant   string  `json:"tenant"` // of refuse
	Factor   float64 `json:"factor"` // of slow and false-reports
	Delay    string  `json:"at"`     // from now, such as 2s; empty: at once
	Duration string  `json:"for"`    // then it is undone
}

// ControlHandler serves POST /v1/trouble with an Order. It is off unless an operator names an address for it.
func (w *Worker) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trouble", func(rw http.ResponseWriter, r *http.Request) {
		var o FaultRequest
		dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, 4096))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&o); err != nil {
			http.Error(rw, "order: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := w.InjectFault(o); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		rw.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// InjectFault misbehaves as ordered and undoes it at the stated time.
func (w *Worker) InjectFault(o FaultRequest) error {
	lasts, err := time.ParseDuration(o.Duration)
	if err != nil || lasts <= 0 {
		return fmt.Errorf("for %q: a time such as 5s after which it is undone", o.Duration)
	}
	at := time.Duration(0)
	if o.Delay != "" {
		if at, err = time.ParseDuration(o.Delay); err != nil || at < 0 {
			return fmt.Errorf("at %q: a time from now such as 2s", o.Delay)
		}
	}
	set, undo, err := faultinject.ByName(o.Fault, o.Tenant, o.Factor)
	if err != nil {
		return err
	}
	silence := o.Fault == "silence"
	time.AfterFunc(at, func() {
		w.UpdateFaults(set)
		if silence {
			w.Silence(true)
		}
	})
	time.AfterFunc(at+lasts, func() {
		w.UpdateFaults(undo)
		if silence {
			w.Silence(false)
		}
	})
	return nil
}
