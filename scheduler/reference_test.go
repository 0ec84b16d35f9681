package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/base/random"
)

// The reference determines the fleet state by a full scan of all workers. It reads the state of each worker, and none
// of the counters, orders and deadlines that the scheduler maintains incrementally.

// scannedCounters returns the fleet counters by a full scan.
func scannedCounters(s *Scheduler, now time.Duration) (counts counters) {
	for _, w := range s.workers {
		acceptsNew := w.listed && w.Condition == Up
		ejectedNow, backlogged := now < w.ejectedUntil, now < w.backloggedUntil
		hasCapacity := acceptsNew && float64(len(w.attempts)) < w.limit && !backlogged
		for which, counted := range map[counter]bool{
			eligible:                      acceptsNew,
			ejected:                       ejectedNow || w.halfOpen,
			withCapacityIgnoringEjections: hasCapacity,
			withCapacity:                  hasCapacity && !ejectedNow && (!w.halfOpen || len(w.attempts) == 0),
		} {
			if counted {
				counts[which]++
			}
		}
		if w.reportedAt > 0 && now < w.reportedAt+2*s.longestObjective {
			counts[recentlyReported]++
			if w.queueDepth <= float64(len(w.attempts)) {
				counts[withoutQueue]++
			}
		}
		if !w.halfOpen {
			counts[attemptsInFlight] += int32(len(w.attempts))
		}
	}
	return counts
}

// fleetDecisions holds the results of updateFleetState.
type fleetDecisions struct {
	inFlight         int
	ejectionsIgnored bool
	overloaded       bool
}

// scannedFleetState returns the results of updateFleetState by a full scan; ignoredBefore is the previous value of
// ejectionsIgnored.
func scannedFleetState(s *Scheduler, ignoredBefore bool, now time.Duration) fleetDecisions {
	counts := scannedCounters(s, now)
	available := float64(counts[withCapacity])
	if ignoredBefore {
		available = float64(counts[withCapacityIgnoringEjections])
	}
	full := float64(counts[attemptsInFlight])+s.limitRounding >= s.fleetLimit.limit
	backlogged := counts[recentlyReported] >= minOverloadReports &&
		float64(counts[withoutQueue]) < overloadCapacityShare*float64(counts[recentlyReported])
	return fleetDecisions{
		inFlight:         int(counts[attemptsInFlight]),
		ejectionsIgnored: float64(counts[ejected]) > maxEjectedShare*float64(counts[eligible]),
		overloaded:       full || available < overloadCapacityShare*math.Max(float64(counts[eligible]), 1) || backlogged,
	}
}

// sortedOrder returns the shared order by scoring and sorting all workers that accept new work.
func sortedOrder(s *Scheduler, f *function) []*worker {
	var all []*worker
	distance := map[*worker]float64{}
	for _, w := range s.workers {
		if !w.acceptsNewWork() {
			continue
		}
		least, point := uint64(math.MaxUint64), random.Mix(f.id)
		for range pointsPerFunction {
			point = random.Mix(point + 1)
			least = min(least, w.hash-point)
		}
		all, distance[w] = append(all, w), float64(least)/w.kind.effectiveWeight()
	}
	slices.SortFunc(all, func(a, b *worker) int { return cmp.Compare(distance[a], distance[b]) })
	return all
}

// sortedPreferred returns the preferred workers of a function, chosen from the complete sorted order.
func sortedPreferred(s *Scheduler, f *function, now time.Duration) []*worker {
	var first, last []*worker
	for _, w := range sortedOrder(s, f) {
		switch {
		case !s.acceptsLoad(w, f, now):
		case w.deprioritized(now) || float64(len(w.attempts)) >= nearLimitShare*w.limit:
			last = append(last, w)
		default:
			first = append(first, w)
		}
	}
	all := append(first, last...)
	return all[:min(len(all), s.preferredCount(f, now))]
}

func iteratedOrder(s *Scheduler, f *function) (order []*worker) {
	s.iterateSharedOrder(f)
	for {
		w, more := s.sharedOrder.Next()
		if !more {
			return order
		}
		order = append(order, w)
	}
}

func names(workers []*worker) []string {
	out := make([]string, len(workers))
	for i, w := range workers {
		out[i] = w.Worker
	}
	return out
}

// fleetModel is a Scheduler that handles a random sequence of events, and the expected state of the registry.
type fleetModel struct {
	*rapid.T
	scheduler    *Scheduler
	now          time.Duration
	listed       map[string]Member // members that the registry currently lists
	inFlight     []*Request
	loadRequests []LoadRequest
}

func newFleetModel(t *rapid.T, workers int) *fleetModel {
	gateways := rapid.SampledFrom([]int{1, 3, 200}).Draw(t, "gateways")
	m := &fleetModel{
		T:         t,
		scheduler: New(rapid.Uint64().Draw(t, "seed"), 0, gateways, 2*time.Millisecond),
		now:       time.Hour,
		listed:    map[string]Member{},
	}
	m.scheduler.AddType(RequestType{Name: "free", Objective: time.Second})
	m.scheduler.AddType(RequestType{Name: "once", Effect: AtMostOnce, Objective: time.Second})
	m.scheduler.SetAttemptPolicy(AttemptPolicy{
		MaxAttempts:   4,
		Cancel:        true,
		Probe:         true,
		MaxRetryAfter: 500 * time.Millisecond,
	})
	m.scheduler.SetLoadPolicy(LoadPolicy{
		RequestLoads:       true,
		LoadOnMiss:         true,
		ReplicaIdleTimeout: 3 * time.Second,
		RequestTimeout:     2 * time.Second,
	})
	m.scheduler.SetSlowStart(SlowStart{
		InitialShare:  0.2,
		WarmUpTime:    10 * time.Second,
		CrashMultiple: 2,
		CrashWindow:   time.Second,
	})
	var members []Member
	for i := range workers {
		members = append(members, m.member(i))
	}
	m.applyUpdate(true, members)
	return m
}

func (m *fleetModel) member(number int) Member {
	return Member{Worker: fmt.Sprint("w", number), Zone: fmt.Sprint(number % 3), Kind: fmt.Sprint(number % 2),
		Weight: float64(number % 5), Condition: Up}
}

func (m *fleetModel) applyUpdate(complete bool, members []Member) {
	if complete {
		clear(m.listed)
	}
	for _, member := range members {
		if m.listed[member.Worker] = member; member.Condition == Removed {
			delete(m.listed, member.Worker)
		}
	}
	if complete {
		m.scheduler.ReplaceMembership(m.now, members)
	} else {
		m.scheduler.UpdateMembership(m.now, members)
	}
	// after an update, workers that are no longer listed and have no attempts in flight are removed
	for name := range m.scheduler.workers {
		used := slices.ContainsFunc(m.inFlight, func(request *Request) bool {
			return request.target.worker == m.scheduler.workers[name]
		})
		if m.listed[name].Worker == "" && !used {
			m.Fatalf("%s is still a member, but is not listed and has no attempts in flight", name)
		}
	}
}

// applyRandomUpdate applies random changes of workers, or a random complete registry.
func (m *fleetModel) applyRandomUpdate() {
	var members []Member
	maxWorkers := 5
	complete := rapid.IntRange(0, 5).Draw(m.T, "complete") == 0
	if complete {
		maxWorkers = 25
	}
	for range rapid.IntRange(0, maxWorkers).Draw(m.T, "workers") {
		member := m.member(rapid.IntRange(0, 24).Draw(m.T, "worker"))
		member.Condition = rapid.SampledFrom([]Condition{Up, Up, Up, Draining, Removed}).Draw(m.T, "condition")
		member.Weight = float64(rapid.IntRange(0, 4).Draw(m.T, "size"))
		if rapid.IntRange(0, 3).Draw(m.T, "restarted") == 0 {
			member.Started = m.now
		} else {
			member.Started = m.listed[member.Worker].Started
		}
		members = append(members, member)
	}
	m.applyUpdate(complete, members)
}

func (m *fleetModel) recordSends(decisions []Decision) {
	for _, decision := range decisions {
		if decision.Action == Send {
			m.inFlight = append(m.inFlight, decision.Request)
		}
	}
}

func (m *fleetModel) submitRandomRequest() {
	request := &Request{ID: "e", Type: rapid.SampledFrom([]string{"free", "once", "free"}).Draw(m.T, "type"), Tenant: "n",
		Function: rapid.Uint64Range(1, 6).Draw(m.T, "function"), TimeLeft: 3 * time.Second,
		Concurrency: rapid.IntRange(1, 3).Draw(m.T, "concurrency"), LoadTime: 300 * time.Millisecond}
	if rapid.IntRange(0, 40).Draw(m.T, "unknown") == 0 { // its longer objective extends the validity of all reports
		request.Type, request.TimeLeft = "unknown", 5*time.Second
	}
	m.recordSends([]Decision{m.scheduler.Submit(m.now, request)})
}

func (m *fleetModel) randomReport() LoadReport {
	return LoadReport{
		Reported:   rapid.Bool().Draw(m.T, "reported"),
		QueueDepth: float64(rapid.IntRange(0, 6).Draw(m.T, "queue depth")),
	}
}

func (m *fleetModel) completeRandomAttempt() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.T, "attempt")
	request := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	outcome := Outcome{
		Result: rapid.SampledFrom([]Result{Completed, Completed, Completed, Failed, Rejected, TimedOut, Unreachable,
			ConnectionLost, Cancelled, Withheld, NotFound}).Draw(m.T, "result"),
		Report:       m.randomReport(),
		Duration:     time.Duration(rapid.IntRange(1, 1500).Draw(m.T, "duration")) * time.Millisecond,
		ReplicaState: ReplicaWarm,
	}
	outcome.Final = outcome.Result == Completed
	m.recordSends([]Decision{m.scheduler.Complete(m.now, request, outcome)})
}

func (m *fleetModel) randomWorkerName() string {
	return fmt.Sprint("w", rapid.IntRange(0, 24).Draw(m.T, "worker"))
}

// step generates one random event and passes it to the scheduler.
func (m *fleetModel) step() {
	switch rapid.SampledFrom([]string{"update", "request", "request", "request", "outcome", "outcome", "tick", "tick",
		"probe", "load", "time", "time", "time"}).Draw(m.T, "what") {
	case "update":
		m.applyRandomUpdate()
	case "request":
		m.submitRandomRequest()
	case "outcome":
		m.completeRandomAttempt()
	case "tick":
		due := m.scheduler.Tick(m.now)
		m.recordSends(due.Decisions)
		m.loadRequests = append(m.loadRequests, due.LoadRequests...)
	case "probe":
		worker := m.randomWorkerName()
		result := rapid.SampledFrom([]Result{Completed, Completed, Rejected, Unreachable, TimedOut}).Draw(m.T, "result")
		report := m.randomReport()
		roundTrip := time.Duration(rapid.IntRange(1, 9).Draw(m.T, "round trip")) * time.Millisecond
		m.scheduler.ProbeCompleted(m.now, worker, result, report, roundTrip)
	case "load":
		if len(m.loadRequests) > 0 {
			load := m.loadRequests[0]
			m.loadRequests = m.loadRequests[1:]
			result := rapid.SampledFrom([]Result{Completed, Completed, Rejected, Failed, ConnectionLost}).Draw(m.T, "result")
			m.scheduler.LoadCompleted(m.now, load, result, 300*time.Millisecond)
		}
	case "time":
		m.now += time.Duration(rapid.SampledFrom([]int{1, 20, 200, 900, 4000}).Draw(m.T, "ms")) * time.Millisecond
	}
}

// check compares all incrementally maintained state with a full scan.
func (m *fleetModel) check() {
	m.checkMembers()
	m.checkState()
	m.checkBusy()
	m.checkWeights()
	m.checkOrders()
}

// checkMembers compares the members with the expected state of the registry and of the attempts in flight.
func (m *fleetModel) checkMembers() {
	s := m.scheduler
	members := map[string]bool{}
	for name := range m.listed {
		members[name] = true
	}
	// a worker that is no longer listed stays while it has attempts in flight; one that restarted is a new worker
	for _, request := range m.inFlight {
		if w := request.target.worker; s.workers[w.Worker] == w {
			members[w.Worker] = true
		}
	}
	for name := range members {
		if s.workers[name] == nil {
			m.Fatalf("%s is not a member, but is listed or has attempts in flight", name)
		}
	}
	for name, w := range s.workers {
		if w.listed != (m.listed[name].Worker != "") {
			m.Fatalf("%s has listed = %v, unlike in the registry", name, w.listed)
		}
		if !members[name] && !slices.Contains(s.unlisted, w) { // it is removed by the next update
			m.Fatalf("%s is a member, but is not listed and has no attempts in flight", name)
		}
	}
	if got, want := s.members.Len(), len(s.workers); got != want {
		m.Fatalf("%d members, want %d", got, want)
	}
	for _, w := range s.members.All() {
		if s.workers[w.Worker] != w {
			m.Fatalf("%s is a member, but is not in the map of workers", w.Worker)
		}
	}
	for _, f := range s.functions { // a worker that was replaced by one of the same name must not be usable
		for _, replicas := range f.replicaSets {
			if s.workers[replicas.worker.Worker] != replicas.worker && s.usable(replicas.worker, m.now) {
				m.Fatalf("%s is usable, but was replaced", replicas.worker.Worker)
			}
		}
	}
}

// checkState compares the fleet counters and the results of updateFleetState.
func (m *fleetModel) checkState() {
	s := m.scheduler
	before := s.ejectionsIgnored
	s.updateFleetState(m.now)
	if got, want := s.counters, scannedCounters(s, m.now); got != want {
		m.Fatalf("fleet counters %v, want %v by a full scan", got, want)
	}
	got := fleetDecisions{s.inFlight, s.ejectionsIgnored, s.overloaded}
	if want := scannedFleetState(s, before, m.now); got != want {
		m.Fatalf("fleet state %+v, want %+v by a full scan", got, want)
	}
}

// checkOrders compares the shared order and the preferred workers of some functions.
func (m *fleetModel) checkOrders() {
	s := m.scheduler
	for id := range uint64(2) {
		f := s.functions[id+1]
		if f == nil {
			f = &function{id: id + 1, typ: s.types["free"], arrivals: s.arrivals}
		}
		if got, want := names(iteratedOrder(s, f)), names(sortedOrder(s, f)); !slices.Equal(got, want) {
			m.Fatalf("function %d: shared order %v, want %v by sorting", f.id, got, want)
		}
		if got, want := names(s.preferredWorkers(f, s.acceptsLoad, m.now)),
			names(sortedPreferred(s, f, m.now)); !slices.Equal(got, want) {
			m.Fatalf("function %d: preferred workers %v, want %v by sorting", f.id, got, want)
		}
	}
}

// checkBusy compares the workers with attempts in flight, which are checked for responses.
func (m *fleetModel) checkBusy() {
	busy := map[*worker]bool{}
	for _, w := range m.scheduler.busy.All() {
		busy[w] = true
	}
	scanned := map[*worker]bool{}
	for _, w := range m.scheduler.workers {
		if len(w.attempts) > 0 {
			scanned[w] = true
		}
	}
	if !maps.Equal(busy, scanned) {
		m.Fatalf("%d busy workers, want the %d with attempts in flight", len(busy), len(scanned))
	}
}

// checkWeights compares the sums of weights and the numbers of workers by kind, and the mean weight.
func (m *fleetModel) checkWeights() {
	weights, counts := map[*workerKind]float64{}, map[*workerKind]float64{}
	for _, w := range m.scheduler.workers {
		weights[w.kind] += cmp.Or(w.Weight, 1)
		counts[w.kind]++
	}
	mean := 0.0
	for _, kind := range m.scheduler.orderedKinds {
		if math.Abs(kind.weightSum-weights[kind]) > 1e-9 || kind.workerCount != counts[kind] {
			m.Fatalf("a kind has weight %v of %v workers, want %v of %v by a full scan",
				kind.weightSum, kind.workerCount, weights[kind], counts[kind])
		}
		mean += weights[kind] / kind.slowness / math.Max(1, float64(len(m.scheduler.workers)))
	}
	if math.Abs(m.scheduler.meanWeight-mean) > 1e-9*mean {
		m.Fatalf("mean weight %v, want %v by a full scan", m.scheduler.meanWeight, mean)
	}
}

// The incrementally maintained fleet state equals a full scan of all workers after every event of random sequences of
// membership updates, requests, outcomes, probes, loads and time: the members, each fleet counter, the busy workers,
// the weights, and the shared order and the preferred workers for first replicas. A missed update would bias all later
// decisions.
func TestFleetStateMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t, rapid.IntRange(0, 20).Draw(t, "workers"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

// In a large fleet, whose shared order is iterated only in part for a request, the order equals the sorted one, and
// gateways whose registries differ by some workers have the common workers in the same order.
func TestSharedOrderOfALargeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newFleetModel(t, 400), newFleetModel(t, 400)
		removed := map[string]bool{}
		var members []Member
		for range rapid.IntRange(1, 20).Draw(t, "removed") {
			member := a.member(rapid.IntRange(0, 399).Draw(t, "worker"))
			member.Condition = Removed
			removed[member.Worker], members = true, append(members, member)
		}
		before := names(iteratedOrder(a.scheduler, &function{id: 9}))
		if want := names(sortedOrder(a.scheduler, &function{id: 9})); !slices.Equal(before, want) {
			t.Fatal("the shared order differs from the sorted one")
		}
		for _, kind := range b.scheduler.orderedKinds { // equal weights in all kinds
			kind.weightSum = kind.workerCount
		}
		for _, kind := range a.scheduler.orderedKinds {
			kind.weightSum = kind.workerCount
		}
		b.applyUpdate(false, members)
		for _, kind := range b.scheduler.orderedKinds {
			kind.weightSum = kind.workerCount
		}
		before = names(iteratedOrder(a.scheduler, &function{id: 9}))
		after := names(iteratedOrder(b.scheduler, &function{id: 9}))
		if !slices.Equal(slices.DeleteFunc(before, func(name string) bool { return removed[name] }), after) {
			t.Fatal("workers that both gateways list are in a different order")
		}
	})
}
