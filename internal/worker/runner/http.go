package runner

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// newHandler returns the HTTP handler of the runtime interface.
func (h *Host) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{token}/next", h.withReplica(h.handleNext))
	mux.HandleFunc("POST /v1/{token}/invocations/{id}/response", h.withReplica(h.handleResponse))
	mux.HandleFunc("POST /v1/{token}/invocations/{id}/error", h.withReplica(h.handleError))
	return mux
}

// ServeHTTP serves requests to the runtime interface.
func (h *Host) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	h.server.Handler.ServeHTTP(w, request)
}

// withReplica returns a handler that looks up the replica by the token in the request's path and calls handle with it.
func (h *Host) withReplica(handle func(http.ResponseWriter, *http.Request, *Replica)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		h.mu.Lock()
		r := h.replicas[request.PathValue("token")]
		h.mu.Unlock()
		if r == nil {
			http.Error(w, "this copy is not known", http.StatusGone)
			return
		}
		handle(w, request, r)
	}
}

// handleNext waits for a call and passes it to the replica. The first poll of a replica marks it as ready.
func (h *Host) handleNext(w http.ResponseWriter, request *http.Request, r *Replica) {
	r.readyOnce.Do(func() {
		micros, err := strconv.ParseInt(request.Header.Get(HeaderCompileTime), 10, 64)
		if err == nil && micros > 0 {
			r.compileTime = time.Duration(min(micros, h.options.StartTimeout.Microseconds())) * time.Microsecond
		}
		close(r.ready)
	})
	select {
	case <-request.Context().Done():
	case <-r.exited:
		http.Error(w, "this copy ends", http.StatusGone)
	case c := <-r.pending:
		if !r.markStarted(c) {
			r.finish(c.id, Result{Err: ErrNotStarted})
			http.Error(w, "the event is over", http.StatusConflict) // the child must poll again
			return
		}
		w.Header().Set(HeaderInvocation, c.id)
		// Rounded up, so that the child's timeout does not expire before the call's deadline.
		timeLeft := (time.Until(c.deadline) + time.Millisecond - 1).Milliseconds()
		w.Header().Set(HeaderTimeLeft, strconv.FormatInt(max(1, timeLeft), 10))
		_, _ = w.Write(c.body) // an error is ignored: the exit of the child is detected separately
	}
}

// handleResponse handles the response of a call.
func (h *Host) handleResponse(w http.ResponseWriter, request *http.Request, r *Replica) {
	id := request.PathValue("id")
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, h.options.MaxResponseBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		r.Stop(ErrResponseTooLarge) // a child that sends an endless response can only be stopped by killing it
		r.finish(id, Result{Err: ErrResponseTooLarge})
	case err == nil:
		r.answerInvocation(w, id, Result{Body: body})
	}
}

// handleError handles the error with which the function failed a call.
func (h *Host) handleError(w http.ResponseWriter, request *http.Request, r *Replica) {
	reason, err := io.ReadAll(io.LimitReader(request.Body, maxReasonBytes))
	id := request.PathValue("id")
	switch {
	case err != nil:
	case r.expireOverdue(id): // the child reported its timeout before the call's timer fired
		http.Error(w, "this event is over", http.StatusNotFound)
	default:
		r.answerInvocation(w, id, Result{Err: fmt.Errorf("%w: %s", ErrFunctionFailed, reason)})
	}
}

// answerInvocation sets the result of a call and answers the child with status 204, or 404 if the call has already
// ended.
func (r *Replica) answerInvocation(w http.ResponseWriter, id string, result Result) {
	if !r.finish(id, result) {
		http.Error(w, "this event is over", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
