package checker

import (
	"math"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// deviations is how many standard deviations of chance a worker's budget is widened by.
const deviations = 3

// incarnation names one start of a worker.
type incarnation struct {
	worker    string
	startedAt time.Time
}

// warmUp is what is known of a worker's start.
type warmUp struct {
	worker     string
	cores      float64
	startedAt  time.Duration            // on the captures' clock
	notifiedAt map[string]time.Duration // by gateway
}

// informed reports whether the gateway that sent an attempt had been notified of the start.
func (w *warmUp) informed(attempt *attempt) bool {
	at, is := w.notifiedAt[attempt.gateway.Name]
	return is && at <= attempt.begin
}

// checkSlowStart checks rule 4, all gateways together: the work that reaches a worker within any crash window while it
// warms up stays within the multiple of its capacity then, widened by three standard deviations of chance.
func (e *evaluation) checkSlowStart() {
	if e.fleet.SlowStart.CrashMultiple <= 0 {
		return
	}
	estimate := newWorkEstimate(e.traffic.attempts)
	byWorker := map[string][]*attempt{}
	for _, attempt := range e.traffic.attempts {
		byWorker[attempt.worker] = append(byWorker[attempt.worker], attempt)
	}
	for _, start := range e.warmUps() {
		e.checkWarmUp(start, byWorker[start.worker], estimate)
	}
}

// warmUps are the starts of workers that gateways were notified of.
func (e *evaluation) warmUps() map[incarnation]*warmUp {
	starts := map[incarnation]*warmUp{}
	for _, delivery := range e.input.Deliveries {
		for _, entry := range delivery.Event.Entries {
			if entry.State != registry.InService || entry.Started.IsZero() {
				continue
			}
			key := incarnation{entry.Name, entry.Started}
			if starts[key] == nil {
				starts[key] = &warmUp{
					worker:     entry.Name,
					cores:      entry.Cores,
					startedAt:  entry.Started.Sub(e.input.ClockBase),
					notifiedAt: map[string]time.Duration{},
				}
			}
			if _, is := starts[key].notifiedAt[delivery.Gateway]; !is {
				starts[key].notifiedAt[delivery.Gateway] = delivery.At
			}
		}
	}
	return starts
}

// checkWarmUp checks the attempts that a worker got while it was warming up.
func (e *evaluation) checkWarmUp(start *warmUp, attempts []*attempt, estimate *workEstimate) {
	slowStart := e.fleet.SlowStart
	crashWindow := slowStart.CrashWindow.Std()
	first, sent, informed := 0, 0.0, 0.0 // of the attempts within the window that ends with the last one
	var window []*attempt
	for _, attempt := range attempts {
		if attempt.begin < start.startedAt || attempt.begin > start.startedAt+slowStart.WarmUpTime.Std() {
			continue
		}
		e.Checked[ruleSlowStart]++
		window = append(window, attempt)
		work := estimate.of(attempt)
		sent += work
		if start.informed(attempt) {
			informed += work
		}
		for window[first].begin <= attempt.begin-crashWindow {
			old := window[first]
			sent -= estimate.of(old)
			if start.informed(old) {
				informed -= estimate.of(old)
			}
			first++
		}
		share := warmShare(slowStart, attempt.begin-crashWindow/2-start.startedAt)
		budget := slowStart.CrashMultiple * share * start.cores * float64(crashWindow)
		mean := sent / float64(len(window)-first)
		budget += deviations * math.Sqrt(budget*mean)
		e.PeakSlowStartUse = max(e.PeakSlowStartUse, sent/budget)
		// gateways that were not yet notified of the start can't spare the worker
		if sent > budget && informed >= 2*sent/3 {
			e.violated(ruleSlowStart, attempt.place(), "overloaded while warming up: %v of work in %v, capacity %v",
				time.Duration(sent), crashWindow, time.Duration(budget))
		}
	}
}

// warmShare is the part of its capacity that a worker has so long after its start.
func warmShare(slowStart fleetconfig.SlowStart, age time.Duration) float64 {
	initial := slowStart.InitialShare
	return min(1, initial+(1-initial)*float64(max(0, age))/float64(slowStart.WarmUpTime))
}

// workEstimate estimates the CPU time of attempts: what the worker said that one took; where it did not say, what the
// function's attempts took on average, else what all did.
type workEstimate struct {
	sum      map[string]time.Duration // by function
	count    map[string]int
	allSum   time.Duration
	allCount int
}

func newWorkEstimate(attempts []*attempt) *workEstimate {
	estimate := &workEstimate{sum: map[string]time.Duration{}, count: map[string]int{}}
	for _, attempt := range attempts {
		cpuTime := attempt.cpuTime()
		if cpuTime <= 0 {
			continue
		}
		estimate.sum[attempt.frame.Function] += cpuTime
		estimate.count[attempt.frame.Function]++
		estimate.allSum += cpuTime
		estimate.allCount++
	}
	return estimate
}

func (w *workEstimate) of(attempt *attempt) float64 {
	if cpuTime := attempt.cpuTime(); cpuTime > 0 {
		return float64(cpuTime)
	}
	if count := w.count[attempt.frame.Function]; count > 0 {
		return float64(w.sum[attempt.frame.Function]) / float64(count)
	}
	return float64(w.allSum) / float64(max(1, w.allCount))
}

// cpuTime is what the worker said that the attempt took; 0: it did not say.
func (a *attempt) cpuTime() time.Duration {
	if a.result == nil {
		return 0
	}
	return a.result.CPUTime
}
