package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lupinpond/internal/worker/faultinject"
)

// Order to misbehave, as the control interface takes it.
type Order struct {
	What   string  `json:"what"`   // hang, silence, slow, refuse, errors, fail-loads, false-reports
	Tenant string  `json:"tenant"` // of refuse
	Factor float64 `json:"factor"` // of slow and false-reports
	At     string  `json:"at"`     // from now, such as 2s; empty: at once
	For    string  `json:"for"`    // then it is undone
}

// Control serves POST /v1/trouble with an Order. It is off unless an operator names an address for it.
func (w *Worker) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/trouble", func(rw http.ResponseWriter, r *http.Request) {
		var o Order
		dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, 4096))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&o); err != nil {
			http.Error(rw, "order: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := w.Obey(o); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		rw.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Obey misbehaves as ordered and undoes it at the stated time.
func (w *Worker) Obey(o Order) error {
	lasts, err := time.ParseDuration(o.For)
	if err != nil || lasts <= 0 {
		return fmt.Errorf("for %q: a time such as 5s after which it is undone", o.For)
	}
	at := time.Duration(0)
	if o.At != "" {
		if at, err = time.ParseDuration(o.At); err != nil || at < 0 {
			return fmt.Errorf("at %q: a time from now such as 2s", o.At)
		}
	}
	set, undo, err := faultinject.Named(o.What, o.Tenant, o.Factor)
	if err != nil {
		return err
	}
	silence := o.What == "silence"
	time.AfterFunc(at, func() {
		w.Trouble(set)
		if silence {
			w.Silence(true)
		}
	})
	time.AfterFunc(at+lasts, func() {
		w.Trouble(undo)
		if silence {
			w.Silence(false)
		}
	})
	return nil
}
