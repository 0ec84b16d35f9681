// Package invoke is the invoke API over HTTP: it reads a client's request into a Call and writes the Response. It knows
// nothing of workers. docs/operate/gate.md specifies the API.
package invoke

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Headers of the API beside those of HTTP and CloudEvents.
const (
	HeaderTenant           = "Lupin-Tenant"   // the client's tenant; a function of another tenant is forbidden
	HeaderRetry            = "Lupin-Repeat"   // 1: the client marks the request as a retry
	HeaderRequestID        = "Lupin-Event"    // response: the gateway's id of the request
	HeaderAttempts         = "Lupin-Launches" // response: attempts of the request
	HeaderRetryAfterMillis = "Lupin-Back-Ms"  // response: as Retry-After, but in milliseconds
)

// Headers of HTTP and CloudEvents that the API reads.
const (
	headerSpecVersion    = "ce-specversion"
	headerType           = "ce-type"
	headerSource         = "ce-source"
	headerClientID       = "ce-id"
	headerIdempotencyKey = "Idempotency-Key"
	headerPrefer         = "Prefer"
)

// Types of problems. With all but ProblemRejected and ProblemFailed the request was never accepted.
const (
	ProblemRejected       = "urn:lupinpond:deferred"
	ProblemFailed         = "urn:lupinpond:dead-lettered"
	ProblemNotAccepted    = "urn:lupinpond:not-taken"
	ProblemInvalidRequest = "urn:lupinpond:request"
)

// Problem is a problem detail (RFC 9457), the body of every response that is not a success.
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	RequestID  string `json:"event,omitempty"`
	MayHaveRun *bool  `json:"may-have-run,omitempty"` // of a failed request
	Attempts   int    `json:"launches,omitempty"`
}

// Write writes the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // it fails only where the client has disconnected
}

// invalidRequest is the problem of a request that can't be accepted as it is.
func invalidRequest(status int, format string, args ...any) *Problem {
	return &Problem{Type: ProblemInvalidRequest, Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *Problem {
	return invalidRequest(http.StatusBadRequest, format, args...)
}
