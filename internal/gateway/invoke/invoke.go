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
	HeaderTenant   = "Lupin-Tenant"   // who sends; a function of another tenant is refused
	HeaderRepeat   = "Lupin-Repeat"   // 1: the client marks it as a repeat
	HeaderEvent    = "Lupin-Event"    // answer: the front end's id of the event
	HeaderLaunches = "Lupin-Launches" // answer: launches of the event
	HeaderBack     = "Lupin-Back-Ms"  // answer: the time to come back, finer than Retry-After
)

// Call is one event as a client sends it.
type Call struct {
	Function fleetconfig.Function
	Type     fleetconfig.EventType
	Tenant   string
	Source   string // ce-source
	ID       string // ce-id: the client's own name of the event
	Key      string // of a keyed event
	Patience time.Duration
	Repeat   bool
	Body     []byte
}

// Problem is a problem detail (RFC 9457).
type Problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Event    string `json:"event,omitempty"`
	MayRun   *bool  `json:"may-have-run,omitempty"` // of a dead-lettered event
	Launches int    `json:"launches,omitempty"`
}

// Types of problems. NotTaken: the event was never in hand, as with all other refusals of a request.
const (
	ProblemDeferred     = "urn:lupinpond:deferred"
	ProblemDeadLettered = "urn:lupinpond:dead-lettered"
	ProblemNotTaken     = "urn:lupinpond:not-taken"
	ProblemRequest      = "urn:lupinpond:request"
)

// Error says title and detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func bad(status int, format string, args ...any) *Problem {
	return &Problem{Type: ProblemRequest, Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}
}

// Catalogue finds functions and what is known of them.
type Catalogue struct {
	functions map[string]fleetconfig.Function
	types     map[string]fleetconfig.EventType
	tenants   map[string]bool
	body      int64
}

// NewCatalogue takes the catalogue of a file of settings.
func NewCatalogue(f fleetconfig.File) *Catalogue {
	c := &Catalogue{functions: map[string]fleetconfig.Function{}, types: map[string]fleetconfig.EventType{},
		tenants: map[string]bool{}, body: int64(f.Front.Limits.Body)}
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

// Read reads a request into a call. The problem, if any, is the whole answer; the event was not taken.
func (c *Catalogue) Read(w http.ResponseWriter, r *http.Request) (Call, *Problem) {
	call, p := c.Head(r.PathValue("name"), r.Header)
	if p != nil {
		return call, p
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.body))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return call, bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", c.body)
	case err != nil:
		return call, bad(http.StatusBadRequest, "the body broke off: %v", err)
	}
	call.Body = body
	return call, nil
}

// Head reads the function's name and the headers.
func (c *Catalogue) Head(name string, h http.Header) (Call, *Problem) {
	fn, known := c.functions[name]
	if !known {
		return Call{}, bad(http.StatusNotFound, "no function %q", name)
	}
	call := Call{Function: fn, Type: c.types[fn.Type], Tenant: fn.Tenant, Source: h.Get("ce-source"), ID: h.Get("ce-id"),
		Repeat: h.Get(HeaderRepeat) == "1"}
	if v := h.Get("ce-specversion"); v != "" && v != "1.0" {
		return call, bad(http.StatusBadRequest, "ce-specversion %q, 1.0 is taken", v)
	}
	if t := h.Get("ce-type"); t != "" && t != fn.Type {
		return call, bad(http.StatusBadRequest, "ce-type %q, but %s takes events of type %s", t, name, fn.Type)
	}
	if len(call.ID) > 256 || len(call.Source) > 1024 || len(h.Get("Idempotency-Key")) > 256 {
		return call, bad(http.StatusBadRequest, "ce-id or Idempotency-Key longer than 256 bytes, or ce-source than 1024")
	}
	if t := h.Get(HeaderTenant); t != "" {
		if fn.Tenant != "" && t != fn.Tenant {
			return call, bad(http.StatusForbidden, "%s belongs to another tenant", name)
		}
		if !c.tenants[t] {
			return call, bad(http.StatusForbidden, "no tenant %q", t)
		}
		call.Tenant = t
	}
	if call.Type.Effect == "keyed" {
		call.Key = strings.Trim(h.Get("Idempotency-Key"), `"`)
		if call.Key == "" && call.ID != "" {
			call.Key = call.Source + "\n" + call.ID
		}
		if call.Key == "" {
			return call, bad(http.StatusBadRequest, "an event of the keyed type %s needs Idempotency-Key or ce-id", fn.Type)
		}
		call.Key = call.Tenant + "\n" + name + "\n" + call.Key
	}
	wait, async, err := prefer(h.Values("Prefer"))
	if err != nil {
		return call, bad(http.StatusBadRequest, "Prefer: %v", err)
	}
	if async {
		return call, bad(http.StatusNotImplemented, "deferred calls (respond-async) are not built yet")
	}
	call.Patience = call.Type.MaxAge.D()
	if wait > 0 {
		call.Patience = min(call.Patience, wait)
	}
	return call, nil
}

// prefer reads the preferences of RFC 7240 that the API knows; others are ignored, as it says.
func prefer(lines []string) (wait time.Duration, async bool, err error) {
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

// Ending is how an event ended.
type Ending int

// The endings; NotTaken and InHand are of events that were never in hand, the latter as another of their name is.
const (
	Completed Ending = iota
	Rejected
	Failed
	NotTaken
	InHand
)

var endingNames = [...]string{Completed: "completed", Rejected: "rejected", Failed: "failed", NotTaken: "not_taken", InHand: "in_hand"}

// String is the ending's name in logs and metrics.
func (e Ending) String() string { return endingNames[e] }

// Answer is what a client is told.
type Answer struct {
	Ending   Ending
	Event    string
	Launches int
	Body     []byte
	Back     time.Duration // when to come back; 0: not named
	MayRun   bool
	Reason   string
}

// Write spells an answer.
func Write(w http.ResponseWriter, a Answer) {
	h := w.Header()
	if a.Event != "" && a.Ending != NotTaken && a.Ending != InHand {
		h.Set(HeaderEvent, a.Event)
		h.Set(HeaderLaunches, strconv.Itoa(a.Launches))
	}
	p := &Problem{Event: a.Event, Launches: a.Launches, Detail: a.Reason}
	switch a.Ending {
	case Completed:
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		_, _ = w.Write(a.Body) // the client is gone
		return
	case Rejected:
		p.Type, p.Title, p.Status = ProblemDeferred, "Deferred: try again later", http.StatusServiceUnavailable
	case Failed:
		p.Type, p.Title, p.Status = ProblemDeadLettered, "Dead-lettered", http.StatusBadGateway
		p.MayRun = &a.MayRun
	case NotTaken:
		p.Type, p.Title, p.Status = ProblemNotTaken, "Not taken", http.StatusServiceUnavailable
		h.Set("Connection", "close")
	case InHand:
		p.Type, p.Title, p.Status = ProblemNotTaken, "In hand already", http.StatusConflict
	}
	if a.Back > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.Back.Seconds()))))
		h.Set(HeaderBack, strconv.Itoa(int(math.Ceil(float64(a.Back)/float64(time.Millisecond)))))
	}
	p.Write(w)
}

// Write spells a problem.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the client is gone
}
