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

// Breach is one breach of a rule.
type Breach struct {
	Rule   int           `json:"rule"`
	Front  string        `json:"front"`
	At     time.Duration `json:"at"`
	Event  string        `json:"event,omitempty"`
	Worker string        `json:"worker,omitempty"`
	What   string        `json:"what"`
}

// String says what, where and when.
func (b Breach) String() string {
	s := fmt.Sprintf("rule %d at %v by %s: %s", b.Rule, b.At.Round(time.Microsecond), b.Front, b.What)
	if b.Event != "" {
		s += ", event " + b.Event
	}
	if b.Worker != "" {
		s += ", worker " + b.Worker
	}
	return s
}

// Verdict is what was judged and what was found. Checked counts by rule, from 1, what could have broken it.
type Verdict struct {
	Checked  [6]int   `json:"checked"`
	Breaches []Breach `json:"breaches"`
	Tries    int      `json:"tries"` // events taken
	Handled  int      `json:"handled"`
	Deferred int      `json:"deferred"`
	Dead     int      `json:"dead-lettered"`
	Left     int      `json:"left"`      // the client was gone first
	Lost     int      `json:"lost"`      // held by a front end that was killed
	NotTaken int      `json:"not-taken"` // refused before they were in hand
	Launches int      `json:"launches"`
	Orders   int      `json:"orders"`
	Tightest float64  `json:"tightest-cold"` // most of a cold worker's budget that was used
}

// Kept tells whether no rule was broken.
func (v Verdict) Kept() bool { return len(v.Breaches) == 0 }

// Broken lists the rules that were broken.
func (v Verdict) Broken() []int {
	var rules []int
	for _, b := range v.Breaches {
		if !slices.Contains(rules, b.Rule) {
			rules = append(rules, b.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

type judge struct {
	Verdict
	facts  Facts
	seen   *seen
	types  map[string]fleetconfig.RequestType
	events map[string][]*launch
}

// Judge judges the five rules. An error says that the captures can't be read.
func Judge(f Facts) (Verdict, error) {
	s, err := read(f)
	if err != nil {
		return Verdict{}, err
	}
	j := &judge{facts: f, seen: s, types: map[string]fleetconfig.RequestType{}, events: map[string][]*launch{}}
	for _, t := range f.File.Fleet.Types {
		j.types[t.Name] = t
	}
	for _, l := range s.launches {
		j.events[l.frame.RequestID] = append(j.events[l.frame.RequestID], l)
	}
	if j.facts.End == 0 {
		for _, front := range f.Fronts {
			if n := len(front.Records); n > 0 {
				j.facts.End = max(j.facts.End, front.Records[n-1].At)
			}
		}
	}
	j.Launches, j.Orders = len(s.launches), len(s.orders)
	j.Breaches = append(j.Breaches, s.strange...)
	j.answers()
	j.effects()
	j.drains()
	j.cold()
	j.rations()
	slices.SortStableFunc(j.Breaches, func(a, b Breach) int { return int(a.At - b.At) })
	return j.Verdict, nil
}

func (j *judge) breach(rule int, front string, at time.Duration, event, worker, format string, args ...any) {
	j.Breaches = append(j.Breaches, Breach{rule, front, at, event, worker, fmt.Sprintf(format, args...)})
}

// answers judges rule 1: one final answer for each event, in time, and no launch after it.
func (j *judge) answers() {
	slack := j.facts.File.Fleet.AnswerSlack.Std()
	final := map[string]*try{}
	for _, t := range j.seen.tries {
		if t.status == http.StatusOK && t.event == "" {
			j.breach(1, t.front.Name, t.begin, "", "", "status 200 for no event")
		}
		if t.notTaken && t.status != 0 {
			j.NotTaken++
			continue
		}
		j.Tries++
		j.Checked[1]++
		due := t.at + t.call.TimeLeft + slack
		killed, wasKilled := j.seen.killed[t.front]
		switch {
		case t.status != 0:
			if other := final[t.event]; other != nil {
				j.breach(1, t.front.Name, t.begin, t.event, "", "answered a second time")
			}
			final[t.event] = t
			if t.end > due {
				j.breach(1, t.front.Name, t.end, t.event, "", "answered %v after the client's time and slack", t.end-due)
			}
			switch t.status {
			case http.StatusOK:
				j.Handled++
			case http.StatusServiceUnavailable:
				j.Deferred++
			case http.StatusBadGateway:
				j.Dead++
			default:
				j.breach(1, t.front.Name, t.begin, t.event, "", "status %d is no ending of an event", t.status)
			}
		case wasKilled && killed <= due:
			j.Lost++
		case t.isGone && t.gone <= due:
			j.Left++
		case t.isCut:
			j.breach(1, t.front.Name, t.cut, t.call.ClientID, "", "the connection was closed without an answer")
		case due <= j.facts.End && !t.front.Torn:
			j.breach(1, t.front.Name, due, t.call.ClientID, "", "no answer within %v and %v of slack", t.call.TimeLeft, slack)
		}
	}
	for event, launches := range j.events {
		for _, l := range launches {
			if t := final[event]; t != nil && l.begin > t.begin {
				j.breach(1, l.front.Name, l.begin, event, l.worker, "launched %v after its final answer", l.begin-t.begin)
			}
		}
	}
}

// state is what a front end could know of a launch at a moment.
type state int

const (
	outstanding state = iota
	neverRan
	mayHaveRun
)

func (l *launch) state(at time.Duration) state {
	switch {
	case l.answer != nil && l.answered <= at:
		if l.answer.Code.NeverRan() {
			return neverRan
		}
		return mayHaveRun
	case l.cancelled > 0 && l.cancelled <= at, l.broken > 0 && l.broken <= at:
		return mayHaveRun
	}
	return outstanding
}

// effects judges rule 2: no effect twice, two launches at once only of redeliverable events and where settings allow it.
func (j *judge) effects() {
	where := j.places()
	for event, launches := range j.events {
		t := j.types[launches[0].frame.Type]
		for i, l := range launches {
			j.Checked[2]++
			var risk *launch
			for _, earlier := range launches[:i] {
				switch earlier.state(l.begin) {
				case outstanding:
					if t.Effect == "redeliverable" && j.facts.File.Fleet.Policy.Hedging {
						break
					}
					j.breach(2, l.front.Name, l.begin, event, l.worker, "launched while launch %d is outstanding at %s",
						earlier.frame.Number, earlier.worker)
				case mayHaveRun:
					if risk == nil {
						risk = earlier
					}
				}
			}
			switch {
			case risk == nil:
			case t.Effect == "at-most-once":
				j.breach(2, l.front.Name, l.begin, event, l.worker, "launched again though launch %d may have run",
					risk.frame.Number)
			case t.Effect == "keyed":
				if l.begin > risk.begin+t.DedupWindow.Std() {
					j.breach(2, l.front.Name, l.begin, event, l.worker, "launched again outside its window of %v", t.DedupWindow.Std())
				}
				a, b := where[l.worker], where[risk.worker]
				if t.DedupScope == "zone" && a.Zone != b.Zone || t.DedupScope == "cell" && (a.Zone != b.Zone || a.Cell != b.Cell) {
					j.breach(2, l.front.Name, l.begin, event, l.worker, "launched again outside the %s of %s", t.DedupScope, risk.worker)
				}
			}
		}
	}
	for _, t := range j.seen.tries {
		if t.status != http.StatusServiceUnavailable || t.notTaken || t.call.Type.Effect == "redeliverable" ||
			t.call.Type.Effect == "keyed" && t.call.Type.DedupScope == "all" {
			continue
		}
		for _, l := range j.events[t.event] {
			j.Checked[2]++
			if l.state(t.begin) != neverRan {
				j.breach(2, t.front.Name, t.begin, t.event, l.worker, "deferred though launch %d may have run", l.frame.Number)
			}
		}
	}
}

// places is where each worker stands, by the newest news of it.
func (j *judge) places() map[string]registry.Entry {
	where := map[string]registry.Entry{}
	for _, n := range j.facts.News {
		for _, e := range n.News.Entries {
			where[e.Name] = e
		}
	}
	return where
}

// drains judges rule 3: nothing new to a drained or gone worker after the grace.
func (j *judge) drains() {
	grace := j.facts.File.Fleet.DrainGrace.Std()
	type key struct{ front, worker string }
	type change struct {
		at  time.Duration
		out bool
	}
	told := map[key][]change{}
	known := map[string]map[string]bool{}
	for _, n := range j.facts.News {
		if known[n.Front] == nil {
			known[n.Front] = map[string]bool{}
		}
		named := map[string]bool{}
		for _, e := range n.News.Entries {
			k := key{n.Front, e.Name}
			told[k] = append(told[k], change{n.At, e.State != registry.InService})
			known[n.Front][e.Name], named[e.Name] = true, true
		}
		if n.News.Complete {
			for w := range known[n.Front] {
				if !named[w] {
					told[key{n.Front, w}] = append(told[key{n.Front, w}], change{n.At, true})
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
			j.breach(3, front, end, event, worker, "%s %v after word that it is drained or gone", what, end-since)
		}
	}
	for _, l := range j.seen.launches {
		check(l.front.Name, l.worker, l.frame.RequestID, "launched", l.begin, l.end)
	}
	for _, o := range j.seen.orders {
		if o.frame.Replicas > 0 {
			check(o.front.Name, o.worker, "", "load ordered", o.begin, o.end)
		}
	}
}

// cold judges rule 4, all front ends together: what reaches a cold worker in any time of the fall stays within the
// multiple of what its capacity is then, with three errors of chance. Work is what the worker said an event took; where
// it did not say, what the function's events took on average.
func (j *judge) cold() {
	c := j.facts.File.Fleet.SlowStart
	if c.CrashMultiple <= 0 {
		return
	}
	sum, count := map[string]time.Duration{}, map[string]int{}
	var all time.Duration
	n := 0
	for _, l := range j.seen.launches {
		if l.answer != nil && l.answer.CPUTime > 0 {
			sum[l.frame.Function] += l.answer.CPUTime
			count[l.frame.Function]++
			all += l.answer.CPUTime
			n++
		}
	}
	work := func(l *launch) float64 {
		if l.answer != nil && l.answer.CPUTime > 0 {
			return float64(l.answer.CPUTime)
		}
		if k := count[l.frame.Function]; k > 0 {
			return float64(sum[l.frame.Function]) / float64(k)
		}
		return float64(all) / float64(max(1, n))
	}
	byWorker := map[string][]*launch{}
	for _, l := range j.seen.launches {
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
	for _, t := range j.facts.News {
		for _, e := range t.News.Entries {
			if e.State != registry.InService || e.Started.IsZero() {
				continue
			}
			k := start{e.Name, e.Started}
			if starts[k] == nil {
				starts[k] = &first{cores: e.Cores, told: map[string]time.Duration{}, began: e.Started.Sub(j.base())}
			}
			if _, is := starts[k].told[t.Front]; !is {
				starts[k].told[t.Front] = t.At
			}
		}
	}
	for k, f := range starts {
		share := func(at time.Duration) float64 {
			return min(1, c.InitialShare+(1-c.InitialShare)*float64(max(0, at-f.began))/float64(c.WarmUpTime))
		}
		from, sent, knew := 0, 0.0, 0.0
		var window []*launch
		for _, l := range byWorker[k.worker] {
			if l.begin < f.began || l.begin > f.began+c.WarmUpTime.Std() {
				continue
			}
			j.Checked[4]++
			informed := func(l *launch) bool { at, is := f.told[l.front.Name]; return is && at <= l.begin }
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
			j.Tightest = max(j.Tightest, sent/budget)
			if sent > budget && knew >= 2*sent/3 {
				j.breach(4, l.front.Name, l.begin, l.frame.RequestID, k.worker,
					"pushed over while cold: %v of work in %v, it stands %v", time.Duration(sent), c.CrashWindow.Std(), time.Duration(budget))
			}
		}
	}
}

// base is what the captures' clock counts from.
func (j *judge) base() time.Time { return j.facts.Base }

// rations judges rule 5: load orders in any window, the last one included, within the ration.
func (j *judge) rations() {
	r := j.facts.File.Fleet.LoadPolicy.RateLimit
	if r.Window <= 0 {
		return
	}
	events, orders := map[*Front][]time.Duration{}, map[*Front][]time.Duration{}
	for _, t := range j.seen.tries {
		if !t.notTaken {
			events[t.front] = append(events[t.front], t.at)
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
	for _, o := range j.seen.orders {
		if o.frame.Replicas <= 0 {
			continue
		}
		j.Checked[5]++
		orders[o.front] = append(orders[o.front], o.begin)
		n, most := within(orders[o.front], o.begin), r.Burst+r.PerRequest*float64(within(events[o.front], o.begin))
		if float64(n) > most {
			j.breach(5, o.front.Name, o.begin, "", o.worker, "%d load orders in %v, %.1f are allowed", n, r.Window.Std(), most)
		}
	}
}
