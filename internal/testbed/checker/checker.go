// Package checker checks the five rules against the traffic captured at the gateways' sockets and the watch events that
// were sent to each gateway. It uses no state of a gateway, so a gateway's own view of its decisions can't influence
// the verdict.
package checker

import (
	"fmt"
	"slices"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// Numbers of the rules, as verdicts and the documentation use them.
const (
	ruleResponses  = 1 // each request gets exactly one response before its deadline
	ruleExecutions = 2 // no request takes effect twice
	ruleDrains     = 3 // no new work is sent to a draining or removed worker after the drain grace
	ruleSlowStart  = 4 // a worker that is warming up isn't sent more work than it can handle
	ruleLoadRate   = 5 // load requests stay within their rate limit
)

// GatewayCapture is the traffic captured at one incarnation of a gateway.
type GatewayCapture struct {
	Name    string
	Index   int
	Records []capture.Record
	Torn    bool // the capture was truncated: a response missing at its end is not a violation
}

// Delivery is a watch event that was sent to a gateway. Its time is on the clock of the captures.
type Delivery struct {
	Gateway string `json:"Front"`
	At      time.Duration
	Event   registry.WatchEvent `json:"News"`
}

// Input is the recorded run that Check examines.
type Input struct {
	Config     fleetconfig.File
	Captures   []GatewayCapture
	Deliveries []Delivery
	End        time.Duration // end of the run; 0 means the time of the last record
	ClockBase  time.Time     // zero point of the captures' clock
}

// end returns the end of the run.
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

// Violation describes one violation of a rule.
type Violation struct {
	Rule      int           `json:"rule"`
	Gateway   string        `json:"front"`
	At        time.Duration `json:"at"`
	RequestID string        `json:"event,omitempty"`
	Worker    string        `json:"worker,omitempty"`
	Message   string        `json:"what"`
}

// String describes the violation with its rule, time, gateway, request and worker.
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

// Verdict is the result of a check. Checked[n] is the number of events that were checked against rule n; Checked[0] is
// unused.
type Verdict struct {
	Checked          [6]int      `json:"checked"`
	Violations       []Violation `json:"breaches"`
	Requests         int         `json:"tries"` // accepted requests
	Completed        int         `json:"handled"`
	Rejected         int         `json:"deferred"`
	Failed           int         `json:"dead-lettered"`
	Disconnected     int         `json:"left"`      // requests whose client disconnected before the response
	Lost             int         `json:"lost"`      // requests in flight at a gateway that crashed
	NotAccepted      int         `json:"not-taken"` // requests rejected before they were in flight
	Attempts         int         `json:"launches"`
	LoadRequests     int         `json:"orders"`
	PeakSlowStartUse float64     `json:"tightest-cold"` // highest used fraction of the budget of a worker warming up
}

// Passed reports whether no rule was violated.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// ViolatedRules returns the numbers of the violated rules in ascending order.
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

// evaluation is the state of one call of Check.
type evaluation struct {
	Verdict
	input             Input
	fleet             fleetconfig.Fleet
	end               time.Duration
	traffic           *traffic
	types             map[string]fleetconfig.RequestType
	attemptsByRequest map[string][]*attempt // by request ID, in the order of sending
}

// Check checks the five rules and returns the verdict. An error means that the captures can't be decoded.
func Check(input Input) (Verdict, error) {
	traffic, err := readTraffic(input)
	if err != nil {
		return Verdict{}, err
	}
	e := &evaluation{
		input:             input,
		fleet:             input.Config.Fleet,
		end:               input.end(),
		traffic:           traffic,
		types:             map[string]fleetconfig.RequestType{},
		attemptsByRequest: map[string][]*attempt{},
	}
	for _, requestType := range e.fleet.Types {
		e.types[requestType.Name] = requestType
	}
	for _, attempt := range traffic.attempts {
		id := attempt.frame.RequestID
		e.attemptsByRequest[id] = append(e.attemptsByRequest[id], attempt)
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

// place is the gateway, time, request and worker of a violation. Request and worker may be empty.
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
