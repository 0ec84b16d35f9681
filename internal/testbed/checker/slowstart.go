package checker

import (
	"math"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// toleranceStdDevs is the tolerance added to a worker's budget, in standard deviations of the work that randomly
// arriving requests bring within a crash window.
const toleranceStdDevs = 3

// incarnation identifies one incarnation of a worker.
type incarnation struct {
	worker    string
	startedAt time.Time
}

// warmUp describes an incarnation of a worker that gateways were notified of.
type warmUp struct {
	worker     string
	cores      float64
	startedAt  time.Duration            // on the captures' clock
	notifiedAt map[string]time.Duration // by gateway: when it was notified of the start
}

// notified reports whether the gateway that sent the attempt had been notified of the worker's start by then.
func (w *warmUp) notified(attempt *attempt) bool {
	at, ok := w.notifiedAt[attempt.gateway.Name]
	return ok && at <= attempt.begin
}

// checkSlowStart checks rule 4: the work that all gateways together send to a worker within any crash window while it
// warms up stays within CrashMultiple times its capacity at the middle of the window, plus toleranceStdDevs standard
// deviations.
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

// warmUps returns the incarnations of workers that gateways were notified of.
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
			if _, ok := starts[key].notifiedAt[delivery.Gateway]; !ok {
				starts[key].notifiedAt[delivery.Gateway] = delivery.At
			}
		}
	}
	return starts
}

// checkWarmUp checks the attempts that were sent to a worker while it was warming up.
func (e *evaluation) checkWarmUp(start *warmUp, attempts []*attempt, estimate *workEstimate) {
	slowStart := e.fleet.SlowStart
	crashWindow := slowStart.CrashWindow.Std()
	// sent is the work of window[first:], the attempts within the crash window that ends with the current one;
	// notified is the part of it from gateways that had been notified of the start.
	first, sent, notified := 0, 0.0, 0.0
	var window []*attempt
	for _, attempt := range attempts {
		if attempt.begin < start.startedAt || attempt.begin > start.startedAt+slowStart.WarmUpTime.Std() {
			continue
		}
		e.Checked[ruleSlowStart]++
		window = append(window, attempt)
		work := estimate.of(attempt)
		sent += work
		if start.notified(attempt) {
			notified += work
		}
		for window[first].begin <= attempt.begin-crashWindow {
			old := window[first]
			sent -= estimate.of(old)
			if start.notified(old) {
				notified -= estimate.of(old)
			}
			first++
		}
		share := capacityShare(slowStart, attempt.begin-crashWindow/2-start.startedAt)
		budget := slowStart.CrashMultiple * share * start.cores * float64(crashWindow)
		mean := sent / float64(len(window)-first)
		budget += toleranceStdDevs * math.Sqrt(budget*mean)
		e.PeakSlowStartUse = max(e.PeakSlowStartUse, sent/budget)
		// a gateway that was not yet notified of the start can't limit its load on the worker, so a window counts only
		// if at least two thirds of its work came from notified gateways
		if sent > budget && notified >= 2*sent/3 {
			e.violated(ruleSlowStart, attempt.place(), "overloaded while warming up: %v of work in %v, capacity %v",
				time.Duration(sent), crashWindow, time.Duration(budget))
		}
	}
}

// capacityShare returns the fraction of its full capacity that a worker has at an age: it rises linearly from
// InitialShare to 1 over WarmUpTime.
func capacityShare(slowStart fleetconfig.SlowStart, age time.Duration) float64 {
	initial := slowStart.InitialShare
	return min(1, initial+(1-initial)*float64(max(0, age))/float64(slowStart.WarmUpTime))
}

// workEstimate estimates the CPU time of attempts: the time that the worker reported or, if it reported none, the mean
// of the function's attempts, or the mean of all attempts if none of the function's has a time.
type workEstimate struct {
	sum      map[string]time.Duration // reported CPU time, by function
	count    map[string]int           // attempts with a reported CPU time, by function
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

// of returns the estimated CPU time of an attempt in nanoseconds.
func (w *workEstimate) of(attempt *attempt) float64 {
	if cpuTime := attempt.cpuTime(); cpuTime > 0 {
		return float64(cpuTime)
	}
	if count := w.count[attempt.frame.Function]; count > 0 {
		return float64(w.sum[attempt.frame.Function]) / float64(count)
	}
	return float64(w.allSum) / float64(max(1, w.allCount))
}

// cpuTime returns the CPU time that the worker reported for the attempt, or 0 if it reported none.
func (a *attempt) cpuTime() time.Duration {
	if a.result == nil {
		return 0
	}
	return a.result.CPUTime
}
