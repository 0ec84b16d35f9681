// Package checker checks the five rules against what crossed the sockets of gateways and the watch events that each was
// sent. It asks no gateway anything and knows nothing of what one decided or why.
package checker

import (
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// The rules, by their numbers in verdicts and docs.
const (
	ruleResponses  = 1 // each request gets one response, in time
	ruleExecutions = 2 // no effect twice
	ruleDrains     = 3 // nothing new to a draining or removed worker after the grace
	ruleSlowStart  = 4 // no more to a worker that is warming up than it bears
	ruleLoadRate   = 5 // load requests stay within their rate limit
)

// GatewayCapture is what was captured at one incarnation of a gateway.
type GatewayCapture struct {
	Name    string
	Index   int
	Records []capture.Record
	Torn    bool // the capture ends early: what is missing at its end is not checked
}

// Delivery is a watch event as it was sent to a gateway, on the same clock as the captures.
type Delivery struct {
	Gateway string `json:"Front"`
	At      time.Duration
	Event   registry.WatchEvent `json:"News"`
}

// Input is all that is checked.
type Input struct {
	Config     fleetconfig.File
	Captures   []GatewayCapture
	Deliveries []Delivery
	End        time.Duration // of the run; 0: after the last record
	ClockBase  time.Time     // what the clock of the captures counts from
}

// end is the end of the run.
func (i Input) end() time.Duration {
	if i.End != 0 {
		return i.End
	}
	var end time.Duration
	for _, gateway := range i.Captures {
		if n := len(gateway.Records); n > 0 {
			end = max(end, gateway.Records[n-1].At)
		}
	}
	return end
}

// Violation is one violation of a rule.
type Violation struct {
	Rule      int           `json:"rule"`
	Gateway   string        `json:"front"`
	At        time.Duration `json:"at"`
	RequestID string        `json:"event,omitempty"`
	Worker    string        `json:"worker,omitempty"`
	Message   string        `json:"what"`
}

// String says what, where and when.
func (v Violation) String() string {
	text := fmt.Sprintf("rule %d at %v by %s: %s", v.Rule, v.At.Round(time.Microsecond), v.Gateway, v.Message)
	if v.RequestID != "" {
		text += ", request " + v.RequestID
	}
	if v.Worker != "" {
		text += ", worker " + v.Worker
	}
	return text
}

// Verdict is what was checked and what was found. Checked counts by rule, from 1, what could have violated it.
type Verdict struct {
	Checked          [6]int      `json:"checked"`
	Violations       []Violation `json:"breaches"`
	Requests         int         `json:"tries"` // that were accepted
	Completed        int         `json:"handled"`
	Rejected         int         `json:"deferred"`
	Failed           int         `json:"dead-lettered"`
	Disconnected     int         `json:"left"`      // the client disconnected first
	Lost             int         `json:"lost"`      // in flight at a gateway that crashed
	NotAccepted      int         `json:"not-taken"` // rejected before they were in flight
	Attempts         int         `json:"launches"`
	LoadRequests     int         `json:"orders"`
	PeakSlowStartUse float64     `json:"tightest-cold"` // most of a warming worker's budget that was used
}

// Passed reports whether no rule was violated.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// ViolatedRules lists the rules that were violated.
func (v Verdict) ViolatedRules() []int {
	var rules []int
	for _, violation := range v.Violations {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

// evaluation is the checking of one input.
type evaluation struct {
	Verdict
	input   Input
	fleet   fleetconfig.Fleet
	end     time.Duration
	traffic *traffic
	types   map[string]fleetconfig.RequestType
	sent    map[string][]*attempt // by request
}

// Check checks the five rules. An error says that the captures can't be read.
func Check(input Input) (Verdict, error) {
	traffic, err := readTraffic(input)
	if err != nil {
		return Verdict{}, err
	}
	e := &evaluation{
		input:   input,
		fleet:   input.Config.Fleet,
		end:     input.end(),
		traffic: traffic,
		types:   map[string]fleetconfig.RequestType{},
		sent:    map[string][]*attempt{},
	}
	for _, requestType := range e.fleet.Types {
		e.types[requestType.Name] = requestType
	}
	for _, attempt := range traffic.attempts {
		id := attempt.frame.RequestID
		e.sent[id] = append(e.sent[id], attempt)
	}
	e.Attempts, e.LoadRequests = len(traffic.attempts), len(traffic.loadRequests)
	e.Violations = append(e.Violations, traffic.protocolViolations...)
	e.checkResponses()
	e.checkExecutions()
	e.checkDrains()
	e.checkSlowStart()
	e.checkLoadRate()
	slices.SortStableFunc(e.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return e.Verdict, nil
}

// place is where and when a rule was violated. Request and worker may be empty.
type place struct {
	gateway   *GatewayCapture
	at        time.Duration
	requestID string
	worker    string
}

func (e *evaluation) violated(rule int, at place, format string, args ...any) {
	e.Violations = append(e.Violations, Violation{
		Rule:      rule,
		Gateway:   at.gateway.Name,
		At:        at.at,
		RequestID: at.requestID,
		Worker:    at.worker,
		Message:   fmt.Sprintf(format, args...),
	})
}
