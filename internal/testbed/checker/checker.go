package checker

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule      int           `json:"rule"`
	Gateway   string        `json:"front"`
	At        time.Duration `json:"at"`
	RequestID string        `json:"event,omitempty"`
	Worker    string        `json:"worker,omitempty"`
	Message   string        `json:"what"`
}

// String says what, where and when.
func (b Violation) String() string {
	s := fmt.Sprintf("rule %d at %v by %s: %s", b.Rule, b.At.Round(time.Microsecond), b.Gateway, b.Message)
	if b.RequestID != "" {
		s += ", event " + b.RequestID
	}
	if b.Worker != "" {
		s += ", worker " + b.Worker
	}
	return s
}

// Verdict is what was judged and what was found. Checked counts by rule, from 1, what could have broken it.
type Verdict struct {
	Checked          [6]int      `json:"checked"`
	Violations       []Violation `json:"breaches"`
	Requests         int         `json:"tries"` // events taken
	Completed        int         `json:"handled"`
	Rejected         int         `json:"deferred"`
	Failed           int         `json:"dead-lettered"`
	Disconnected     int         `json:"left"`      // the client was gone first
	Lost             int         `json:"lost"`      // held by a front end that was killed
	NotAccepted      int         `json:"not-taken"` // refused before they were in hand
	Attempts         int         `json:"launches"`
	LoadRequests     int         `json:"orders"`
	PeakSlowStartUse float64     `json:"tightest-cold"` // most of a cold worker's budget that was used
}

// Passed tells whether no rule was broken.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// ViolatedRules lists the rules that were broken.
func (v Verdict) ViolatedRules() []int {
	var rules []int
	for _, b := range v.Violations {
		if !slices.Contains(rules, b.Rule) {
			rules = append(rules, b.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

type evaluation struct {
	Verdict
	input    Input
	traffic  *traffic
	types    map[string]fleetconfig.RequestType
	attempts map[string][]*attempt
}

// Check judges the five rules. An error says that the captures can't be read.
func Check(f Input) (Verdict, error) {
	s, err := readTraffic(f)
	if err != nil {
		return Verdict{}, err
	}
	j := &evaluation{input: f, traffic: s, types: map[string]fleetconfig.RequestType{}, attempts: map[string][]*attempt{}}
	for _, t := range f.Config.Fleet.Types {
		j.types[t.Name] = t
	}
	for _, l := range s.attempts {
		j.attempts[l.frame.RequestID] = append(j.attempts[l.frame.RequestID], l)
	}
	if j.input.End == 0 {
		for _, front := range f.Captures {
			if n := len(front.Records); n > 0 {
				j.input.End = max(j.input.End, front.Records[n-1].At)
			}
		}
	}
	j.Attempts, j.LoadRequests = len(s.attempts), len(s.loadRequests)
	j.Violations = append(j.Violations, s.protocolViolations...)
	j.checkResponses()
	j.checkExecutions()
	j.checkDrains()
	j.checkSlowStart()
	j.checkLoadRate()
	slices.SortStableFunc(j.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return j.Verdict, nil
}

func (j *evaluation) report(rule int, front string, at time.Duration, event, worker, format string, args ...any) {
	j.Violations = append(j.Violations, Violation{rule, front, at, event, worker, fmt.Sprintf(format, args...)})
}

// checkResponses judges rule 1: one final answer for each event, in time, and no launch after it.
func (j *evaluation) checkResponses() {
	slack := j.input.Config.Fleet.AnswerSlack.Std()
	final := map[string]*clientRequest{}
	for _, t := range j.traffic.requests {
		if t.status == http.StatusOK && t.requestID == "" {
			j.report(1, t.gateway.Name, t.responseBegin, "", "", "status 200 for no event")
		}
		if t.notAccepted && t.status != 0 {
			j.NotAccepted++
			continue
		}
		j.Requests++
		j.Checked[1]++
		due := t.receivedAt + t.call.TimeLeft + slack
		killed, wasKilled := j.traffic.killedAt[t.gateway]
		switch {
		case t.status != 0:
			if other := final[t.requestID]; other != nil {
				j.report(1, t.gateway.Name, t.responseBegin, t.requestID, "", "answered a second time")
			}
			final[t.requestID] = t
			if t.responseEnd > due {
				j.report(1, t.gateway.Name, t.responseEnd, t.requestID, "", "answered %v after the client's time and slack", t.responseEnd-due)
			}
			switch t.status {
			case http.StatusOK:
				j.Completed++
			case http.StatusServiceUnavailable:
				j.Rejected++
			case http.StatusBadGateway:
				j.Failed++
			default:
				j.report(1, t.gateway.Name, t.responseBegin, t.requestID, "", "status %d is no ending of an event", t.status)
			}
		case wasKilled && killed <= due:
			j.Lost++
		case t.disconnected && t.disconnectedAt <= due:
			j.Disconnected++
		case t.closedByGateway:
			j.report(1, t.gateway.Name, t.closedAt, t.call.ClientID, "", "the connection was closed without an answer")
		case due <= j.input.End && !t.gateway.Torn:
			j.report(1, t.gateway.Name, due, t.call.ClientID, "", "no answer within %v and %v of slack", t.call.TimeLeft, slack)
		}
	}
	for event, launches := range j.attempts {
		for _, l := range launches {
			if t := final[event]; t != nil && l.begin > t.responseBegin {
				j.report(1, l.gateway.Name, l.begin, event, l.worker, "launched %v after its final answer", l.begin-t.responseBegin)
			}
		}
	}
}

// attemptState is what a front end could know of a launch at a moment.
type attemptState int

const (
	stateInFlight attemptState = iota
	stateNeverRan
	stateMayHaveRun
)

func (l *attempt) state(at time.Duration) attemptState {
	switch {
	case l.result != nil && l.resultAt <= at:
		if l.result.Code.NeverRan() {
			return stateNeverRan
		}
		return stateMayHaveRun
	case l.cancelledAt > 0 && l.cancelledAt <= at, l.disconnectedAt > 0 && l.disconnectedAt <= at:
		return stateMayHaveRun
	}
	return stateInFlight
}

// checkExecutions judges rule 2: no effect twice, two launches at once only of redeliverable events and where settings allow it.
func (j *evaluation) checkExecutions() {
	where := j.placements()
	for event, launches := range j.attempts {
		t := j.types[launches[0].frame.Type]
		for i, l := range launches {
			j.Checked[2]++
			var risk *attempt
			for _, earlier := range launches[:i] {
				switch earlier.state(l.begin) {
				case stateInFlight:
					if t.Effect == "redeliverable" && j.input.Config.Fleet.Policy.Hedging {
						break
					}
					j.report(2, l.gateway.Name, l.begin, event, l.worker, "launched while launch %d is outstanding at %s",
						earlier.frame.Number, earlier.worker)
				case stateMayHaveRun:
					if risk == nil {
						risk = earlier
					}
				}
			}
			switch {
			case risk == nil:
			case t.Effect == "at-most-once":
				j.report(2, l.gateway.Name, l.begin, event, l.worker, "launched again though launch %d may have run",
					risk.frame.Number)
			case t.Effect == "keyed":
				if l.begin > risk.begin+t.DedupWindow.Std() {
					j.report(2, l.gateway.Name, l.begin, event, l.worker, "launched again outside its window of %v", t.DedupWindow.Std())
				}
				a, b := where[l.worker], where[risk.worker]
				if t.DedupScope == "zone" && a.Zone != b.Zone || t.DedupScope == "cell" && (a.Zone != b.Zone || a.Cell != b.Cell) {
					j.report(2, l.gateway.Name, l.begin, event, l.worker, "launched again outside the %s of %s", t.DedupScope, risk.worker)
				}
			}
		}
	}
	for _, t := range j.traffic.requests {
		if t.status != http.StatusServiceUnavailable || t.notAccepted || t.call.Type.Effect == "redeliverable" ||
			t.call.Type.Effect == "keyed" && t.call.Type.DedupScope == "all" {
			continue
		}
		for _, l := range j.attempts[t.requestID] {
			j.Checked[2]++
			if l.state(t.responseBegin) != stateNeverRan {
				j.report(2, t.gateway.Name, t.responseBegin, t.requestID, l.worker, "deferred though launch %d may have run", l.frame.Number)
			}
		}
	}
}

// placements is where each worker stands, by the newest news of it.
func (j *evaluation) placements() map[string]registry.Entry {
	where := map[string]registry.Entry{}
	for _, n := range j.input.Deliveries {
		for _, e := range n.Event.Entries {
			where[e.Name] = e
		}
	}
	return where
}

// checkDrains judges rule 3: nothing new to a drained or gone worker after the grace.
func (j *evaluation) checkDrains() {
	grace := j.input.Config.Fleet.DrainGrace.Std()
	type key struct{ front, worker string }
	type change struct {
		at  time.Duration
		out bool
	}
	told := map[key][]change{}
	known := map[string]map[string]bool{}
	for _, n := range j.input.Deliveries {
		if known[n.Gateway] == nil {
			known[n.Gateway] = map[string]bool{}
		}
		named := map[string]bool{}
		for _, e := range n.Event.Entries {
			k := key{n.Gateway, e.Name}
			told[k] = append(told[k], change{n.At, e.State != registry.InService})
			known[n.Gateway][e.Name], named[e.Name] = true, true
		}
		if n.Event.Complete {
			for w := range known[n.Gateway] {
				if !named[w] {
					told[key{n.Gateway, w}] = append(told[key{n.Gateway, w}], change{n.At, true})
				}
			}
		}
	}
	check := func(front, worker, event, what string, begin, end time.Duration) {
		j.Checked[3]++
		since, out := time.Duration(0), false
		for _, c := range told[key{front, worker}] {
			if c.at > end {
				break
			}
			if c.out && !out {
				since = c.at
			}
			out = c.out
		}
		if out && end > since+grace {
			j.report(3, front, end, event, worker, "%s %v after word that it is drained or gone", what, end-since)
		}
	}
	for _, l := range j.traffic.attempts {
		check(l.gateway.Name, l.worker, l.frame.RequestID, "launched", l.begin, l.end)
	}
	for _, o := range j.traffic.loadRequests {
		if o.frame.Replicas > 0 {
			check(o.gateway.Name, o.worker, "", "load ordered", o.begin, o.end)
		}
	}
}

// checkSlowStart judges rule 4, all front ends together: what reaches a cold worker in any time of the fall stays within the
// multiple of what its capacity is then, with three errors of chance. Work is what the worker said an event took; where
// it did not say, what the function's events took on average.
func (j *evaluation) checkSlowStart() {
	c := j.input.Config.Fleet.SlowStart
	if c.CrashMultiple <= 0 {
		return
	}
	sum, count := map[string]time.Duration{}, map[string]int{}
	var all time.Duration
	n := 0
	for _, l := range j.traffic.attempts {
		if l.result != nil && l.result.CPUTime > 0 {
			sum[l.frame.Function] += l.result.CPUTime
			count[l.frame.Function]++
			all += l.result.CPUTime
			n++
		}
	}
	work := func(l *attempt) float64 {
		if l.result != nil && l.result.CPUTime > 0 {
			return float64(l.result.CPUTime)
		}
		if k := count[l.frame.Function]; k > 0 {
			return float64(sum[l.frame.Function]) / float64(k)
		}
		return float64(all) / float64(max(1, n))
	}
	byWorker := map[string][]*attempt{}
	for _, l := range j.traffic.attempts {
		byWorker[l.worker] = append(byWorker[l.worker], l)
	}
	type start struct {
		worker string
		at     time.Time
	}
	type first struct {
		cores float64
		began time.Duration            // on the captures' clock
		told  map[string]time.Duration // front end: when
	}
	starts := map[start]*first{}
	for _, t := range j.input.Deliveries {
		for _, e := range t.Event.Entries {
			if e.State != registry.InService || e.Started.IsZero() {
				continue
			}
			k := start{e.Name, e.Started}
			if starts[k] == nil {
				starts[k] = &first{cores: e.Cores, told: map[string]time.Duration{}, began: e.Started.Sub(j.clockBase())}
			}
			if _, is := starts[k].told[t.Gateway]; !is {
				starts[k].told[t.Gateway] = t.At
			}
		}
	}
	for k, f := range starts {
		share := func(at time.Duration) float64 {
			return min(1, c.InitialShare+(1-c.InitialShare)*float64(max(0, at-f.began))/float64(c.WarmUpTime))
		}
		from, sent, knew := 0, 0.0, 0.0
		var window []*attempt
		for _, l := range byWorker[k.worker] {
			if l.begin < f.began || l.begin > f.began+c.WarmUpTime.Std() {
				continue
			}
			j.Checked[4]++
			informed := func(l *attempt) bool { at, is := f.told[l.gateway.Name]; return is && at <= l.begin }
			w := work(l)
			window = append(window, l)
			if sent += w; informed(l) {
				knew += w
			}
			for window[from].begin <= l.begin-c.CrashWindow.Std() {
				old := window[from]
				if sent -= work(old); informed(old) {
					knew -= work(old)
				}
				from++
			}
			budget := c.CrashMultiple * share(l.begin-c.CrashWindow.Std()/2) * f.cores * float64(c.CrashWindow)
			mean := sent / float64(len(window)-from)
			budget += 3 * math.Sqrt(budget*mean)
			j.PeakSlowStartUse = max(j.PeakSlowStartUse, sent/budget)
			if sent > budget && knew >= 2*sent/3 {
				j.report(4, l.gateway.Name, l.begin, l.frame.RequestID, k.worker,
					"pushed over while cold: %v of work in %v, it stands %v", time.Duration(sent), c.CrashWindow.Std(), time.Duration(budget))
			}
		}
	}
}

// clockBase is what the captures' clock counts from.
func (j *evaluation) clockBase() time.Time { return j.input.ClockBase }

// checkLoadRate judges rule 5: load orders in any window, the last one included, within the ration.
func (j *evaluation) checkLoadRate() {
	r := j.input.Config.Fleet.LoadPolicy.RateLimit
	if r.Window <= 0 {
		return
	}
	events, orders := map[*GatewayCapture][]time.Duration{}, map[*GatewayCapture][]time.Duration{}
	for _, t := range j.traffic.requests {
		if !t.notAccepted {
			events[t.gateway] = append(events[t.gateway], t.receivedAt)
		}
	}
	within := func(times []time.Duration, to time.Duration) int {
		n := 0
		for _, at := range times {
			if at > to-r.Window.Std() && at <= to {
				n++
			}
		}
		return n
	}
	for _, o := range j.traffic.loadRequests {
		if o.frame.Replicas <= 0 {
			continue
		}
		j.Checked[5]++
		orders[o.gateway] = append(orders[o.gateway], o.begin)
		n, most := within(orders[o.gateway], o.begin), r.Burst+r.PerRequest*float64(within(events[o.gateway], o.begin))
		if float64(n) > most {
			j.report(5, o.gateway.Name, o.begin, "", o.worker, "%d load orders in %v, %.1f are allowed", n, r.Window.Std(), most)
		}
	}
}
