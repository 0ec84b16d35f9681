// Package invoke implements the invoke API over HTTP: it parses a client's request into a Call and writes the Response.
// It does not depend on how requests are sent to workers. docs/operate/gate.md specifies the API.
package invoke

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Headers that the API defines in addition to those of HTTP and CloudEvents.
const (
	HeaderTenant           = "Lupin-Tenant"   // request: the client's tenant; must equal that of the function, if any
	HeaderRetry            = "Lupin-Repeat"   // request: 1 marks the request as a retry
	HeaderRequestID        = "Lupin-Event"    // response: the ID that the gateway assigned to the request
	HeaderAttempts         = "Lupin-Launches" // response: the number of attempts of the request
	HeaderRetryAfterMillis = "Lupin-Back-Ms"  // response: the value of Retry-After in milliseconds
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

// Types of problems. For all types except ProblemRejected and ProblemFailed, the request was not accepted.
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
	MayHaveRun *bool  `json:"may-have-run,omitempty"` // whether a failed request may have run; nil for other problems
	Attempts   int    `json:"launches,omitempty"`
}

// Write writes the problem as an HTTP response.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the client has disconnected
}

// invalidRequest returns the problem for an invalid request, which the client must not retry unchanged.
func invalidRequest(status int, format string, args ...any) *Problem {
	return &Problem{Type: ProblemInvalidRequest, Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) *Problem {
	return invalidRequest(http.StatusBadRequest, format, args...)
}
