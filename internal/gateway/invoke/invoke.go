// Package invoke is the invoke API over HTTP: it reads a client's request into a call and spells the endings. It knows
// nothing of workers. docs/operate/gate.md has the API.
package invoke

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

// Headers of the API beside those of HTTP and CloudEvents.
const (
	HeaderTenant           = "Lupin-Tenant"   // who sends; a function of another tenant is refused
	HeaderRetry            = "Lupin-Repeat"   // 1: the client marks it as a repeat
	HeaderRequestID        = "Lupin-Event"    // answer: the front end's id of the event
	HeaderAttempts         = "Lupin-Launches" // answer: launches of the event
	HeaderRetryAfterMillis = "Lupin-Back-Ms"  // answer: the time to come back, finer than Retry-After
)

// Call is one event as a client sends it.
type Call struct {
	Function       fleetconfig.Function
	Type           fleetconfig.RequestType
	Tenant         string
	Source         string // ce-source
	ClientID       string // ce-id: the client's own name of the event
	IdempotencyKey string // of a keyed event
	TimeLeft       time.Duration
	Retry          bool
	Body           []byte
}

// Problem is a problem detail (RFC 9457).
type Problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	RequestID  string `json:"event,omitempty"`
	MayHaveRun *bool  `json:"may-have-run,omitempty"` // of a dead-lettered event
	Attempts   int    `json:"launches,omitempty"`
}

// Types of problems. NotTaken: the event was never in hand, as with all other refusals of a request.
const (
	ProblemRejected       = "urn:lupinpond:deferred"
	ProblemFailed         = "urn:lupinpond:dead-lettered"
	ProblemNotAccepted    = "urn:lupinpond:not-taken"
	ProblemInvalidRequest = "urn:lupinpond:request"
)

// Error says title and detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func invalidRequest(status int, format string, args ...any) *Problem {
	return &Problem{Type: ProblemInvalidRequest, Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}
}

// Catalogue finds functions and what is known of them.
type Catalogue struct {
	functions map[string]fleetconfig.Function
	types     map[string]fleetconfig.RequestType
	tenants   map[string]bool
	maxBody   int64
}

// NewCatalogue takes the catalogue of a file of settings.
func NewCatalogue(f fleetconfig.File) *Catalogue {
	c := &Catalogue{functions: map[string]fleetconfig.Function{}, types: map[string]fleetconfig.RequestType{},
		tenants: map[string]bool{}, maxBody: int64(f.Gateway.Limits.Body)}
	for _, fn := range f.Functions {
		c.functions[fn.Name] = fn
	}
	for _, t := range f.Fleet.Types {
		c.types[t.Name] = t
	}
	for _, t := range f.Fleet.Tenants {
		c.tenants[t.Name] = true
	}
	return c
}

// ReadRequest reads a request into a call. The problem, if any, is the whole answer; the event was not taken.
func (c *Catalogue) ReadRequest(w http.ResponseWriter, r *http.Request) (Call, *Problem) {
	call, p := c.ReadHeader(r.PathValue("name"), r.Header)
	if p != nil {
		return call, p
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBody))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return call, invalidRequest(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", c.maxBody)
	case err != nil:
		return call, invalidRequest(http.StatusBadRequest, "the body broke off: %v", err)
	}
	call.Body = body
	return call, nil
}

// ReadHeader reads the function's name and the headers.
func (c *Catalogue) ReadHeader(name string, h http.Header) (Call, *Problem) {
	fn, known := c.functions[name]
	if !known {
		return Call{}, invalidRequest(http.StatusNotFound, "no function %q", name)
	}
	call := Call{Function: fn, Type: c.types[fn.Type], Tenant: fn.Tenant, Source: h.Get("ce-source"), ClientID: h.Get("ce-id"),
		Retry: h.Get(HeaderRetry) == "1"}
	if v := h.Get("ce-specversion"); v != "" && v != "1.0" {
		return call, invalidRequest(http.StatusBadRequest, "ce-specversion %q, 1.0 is taken", v)
	}
	if t := h.Get("ce-type"); t != "" && t != fn.Type {
		return call, invalidRequest(http.StatusBadRequest, "ce-type %q, but %s takes events of type %s", t, name, fn.Type)
	}
	if len(call.ClientID) > 256 || len(call.Source) > 1024 || len(h.Get("Idempotency-Key")) > 256 {
		return call, invalidRequest(http.StatusBadRequest, "ce-id or Idempotency-Key longer than 256 bytes, or ce-source than 1024")
	}
	if t := h.Get(HeaderTenant); t != "" {
		if fn.Tenant != "" && t != fn.Tenant {
			return call, invalidRequest(http.StatusForbidden, "%s belongs to another tenant", name)
		}
		if !c.tenants[t] {
			return call, invalidRequest(http.StatusForbidden, "no tenant %q", t)
		}
		call.Tenant = t
	}
	if call.Type.Effect == "keyed" {
		call.IdempotencyKey = strings.Trim(h.Get("Idempotency-Key"), `"`)
		if call.IdempotencyKey == "" && call.ClientID != "" {
			call.IdempotencyKey = call.Source + "\n" + call.ClientID
		}
		if call.IdempotencyKey == "" {
			return call, invalidRequest(http.StatusBadRequest, "an event of the keyed type %s needs Idempotency-Key or ce-id", fn.Type)
		}
		call.IdempotencyKey = call.Tenant + "\n" + name + "\n" + call.IdempotencyKey
	}
	wait, async, err := parsePrefer(h.Values("Prefer"))
	if err != nil {
		return call, invalidRequest(http.StatusBadRequest, "Prefer: %v", err)
	}
	if async {
		return call, invalidRequest(http.StatusNotImplemented, "deferred calls (respond-async) are not built yet")
	}
	call.TimeLeft = call.Type.MaxAge.Std()
	if wait > 0 {
		call.TimeLeft = min(call.TimeLeft, wait)
	}
	return call, nil
}

// parsePrefer reads the preferences of RFC 7240 that the API knows; others are ignored, as it says.
func parsePrefer(lines []string) (wait time.Duration, async bool, err error) {
	for _, line := range lines {
		for _, part := range strings.Split(line, ",") {
			part, _, _ = strings.Cut(part, ";")
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			switch strings.ToLower(strings.TrimSpace(name)) {
			case "respond-async":
				async = true
			case "wait":
				s, err := strconv.ParseFloat(strings.Trim(strings.TrimSpace(value), `"`), 64)
				if err != nil || !(s > 0 && s < 1e6) {
					return 0, false, fmt.Errorf("wait=%s is no time in seconds", value)
				}
				wait = time.Duration(s * float64(time.Second))
			}
		}
	}
	return wait, async, nil
}

// Outcome is how an event ended.
type Outcome int

// The endings; NotTaken and InHand are of events that were never in hand, the latter as another of their name is.
const (
	Completed Outcome = iota
	Rejected
	Failed
	NotAccepted
	InFlight
)

var outcomeNames = [...]string{Completed: "completed", Rejected: "rejected", Failed: "failed", NotAccepted: "not_taken", InFlight: "in_hand"}

// String is the ending's name in logs and metrics.
func (e Outcome) String() string { return outcomeNames[e] }

// Response is what a client is told.
type Response struct {
	Outcome    Outcome
	RequestID  string
	Attempts   int
	Body       []byte
	RetryAfter time.Duration // when to come back; 0: not named
	MayHaveRun bool
	Reason     string
}

// WriteResponse spells an answer.
func WriteResponse(w http.ResponseWriter, a Response) {
	h := w.Header()
	if a.RequestID != "" && a.Outcome != NotAccepted && a.Outcome != InFlight {
		h.Set(HeaderRequestID, a.RequestID)
		h.Set(HeaderAttempts, strconv.Itoa(a.Attempts))
	}
	p := &Problem{RequestID: a.RequestID, Attempts: a.Attempts, Detail: a.Reason}
	switch a.Outcome {
	case Completed:
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		_, _ = w.Write(a.Body) // the client is gone
		return
	case Rejected:
		p.Type, p.Title, p.Status = ProblemRejected, "Deferred: try again later", http.StatusServiceUnavailable
	case Failed:
		p.Type, p.Title, p.Status = ProblemFailed, "Dead-lettered", http.StatusBadGateway
		p.MayHaveRun = &a.MayHaveRun
	case NotAccepted:
		p.Type, p.Title, p.Status = ProblemNotAccepted, "Not taken", http.StatusServiceUnavailable
		h.Set("Connection", "close")
	case InFlight:
		p.Type, p.Title, p.Status = ProblemNotAccepted, "In hand already", http.StatusConflict
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
		h.Set(HeaderRetryAfterMillis, strconv.Itoa(int(math.Ceil(float64(a.RetryAfter)/float64(time.Millisecond)))))
	}
	p.Write(w)
}

// Write spells a problem.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the client is gone
}
