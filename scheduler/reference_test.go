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

// The reference: what the fleet's view must tell, worked out by walking all members and scoring them all. It reads the facts
// of each worker and none of the counts, orders and deadlines that are kept beside them.

// walkedCounters counts all members anew.
func walkedCounters(c *Scheduler, now time.Duration) (t counters) {
	for _, w := range c.workers {
		in := w.listed && w.Condition == Up
		barred, backed := now < w.ejectedUntil, now < w.backloggedUntil
		room := in && float64(len(w.attempts)) < w.limit && !backed
		for what, counts := range map[int]bool{eligible: in, ejected: barred || w.halfOpen, withCapacityOrEjected: room,
			withCapacity: room && !barred && (!w.halfOpen || len(w.attempts) == 0)} {
			if counts {
				t[what]++
			}
		}
		if w.reportedAt > 0 && now < w.reportedAt+2*c.longestObjective {
			t[recentlyReported]++
			if w.queueDepth <= float64(len(w.attempts)) {
				t[withoutQueue]++
			}
		}
		if !w.halfOpen {
			t[attemptsInFlight] += int32(len(w.attempts))
		}
	}
	return t
}

// walkedFleetState decides by a walk what survey decides; believedBefore is what it decided the last time.
func walkedFleetState(c *Scheduler, unbelievedBefore bool, now time.Duration) (inFlightNow int, unbelieved, jam bool) {
	t := walkedCounters(c, now)
	withRoom := float64(t[withCapacity])
	if unbelievedBefore {
		withRoom = float64(t[withCapacityOrEjected])
	}
	full := float64(t[attemptsInFlight])+c.limitRounding >= c.fleetLimit.limit
	return int(t[attemptsInFlight]), float64(t[ejected]) > maxEjectedShare*float64(t[eligible]),
		full || withRoom < overloadCapacityShare*math.Max(float64(t[eligible]), 1) ||
			t[recentlyReported] >= minOverloadReports && float64(t[withoutQueue]) < overloadCapacityShare*float64(t[recentlyReported])
}

// sortedOrder is the shared order, by scoring and sorting all workers that may get something new.
func sortedOrder(c *Scheduler, f *function) []*worker {
	var all []*worker
	far := map[*worker]float64{}
	for _, w := range c.workers {
		if !w.acceptsNew() {
			continue
		}
		least, point := uint64(math.MaxUint64), random.Mix(f.id)
		for range pointsPerFunction {
			point = random.Mix(point + 1)
			least = min(least, w.hash-point)
		}
		all, far[w] = append(all, w), float64(least)/w.kind.effectiveWeight()
	}
	slices.SortFunc(all, func(a, b *worker) int { return cmp.Compare(far[a], far[b]) })
	return all
}

// sortedPreferred chooses the workers for first copies from all of them.
func sortedPreferred(c *Scheduler, f *function, now time.Duration) []*worker {
	var first, last []*worker
	for _, w := range sortedOrder(c, f) {
		switch {
		case !c.acceptsLoad(w, f, now):
		case w.deprioritized(now) || float64(len(w.attempts)) >= nearLimitShare*w.limit:
			last = append(last, w)
		default:
			first = append(first, w)
		}
	}
	all := append(first, last...)
	return all[:min(len(all), c.preferredCount(f, now))]
}

func walkedOrder(c *Scheduler, f *function) (order []*worker) {
	c.walkSharedOrder(f)
	for {
		w, more := c.sharedOrder.Next()
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

// fleetModel is a Chooser under a drawn sequence of facts, and what the test itself knows of the list.
type fleetModel struct {
	*rapid.T
	scheduler    *Scheduler
	now          time.Duration
	listed       map[string]Member // listed now
	inFlight     []*Request
	loadRequests []LoadRequest
}

func newFleetModel(t *rapid.T, workers int) *fleetModel {
	peers := rapid.SampledFrom([]int{1, 3, 200}).Draw(t, "front ends")
	d := &fleetModel{T: t, scheduler: New(rapid.Uint64().Draw(t, "seed"), 0, peers, 2*time.Millisecond), now: time.Hour, listed: map[string]Member{}}
	d.scheduler.AddType(RequestType{Name: "free", Objective: time.Second})
	d.scheduler.AddType(RequestType{Name: "once", Effect: AtMostOnce, Objective: time.Second})
	d.scheduler.SetAttemptPolicy(4, true, true, 500*time.Millisecond)
	d.scheduler.SetLoadPolicy(true, true, 3*time.Second, 2*time.Second, 0, 0, 0)
	d.scheduler.SetSlowStart(0.2, 10*time.Second, 2, time.Second)
	var lines []Member
	for i := range workers {
		lines = append(lines, d.member(i))
	}
	d.applyUpdate(true, lines)
	return d
}

func (d *fleetModel) member(number int) Member {
	return Member{Worker: fmt.Sprint("w", number), Zone: fmt.Sprint(number % 3), Kind: fmt.Sprint(number % 2),
		Weight: float64(number % 5), Condition: Up}
}

func (d *fleetModel) applyUpdate(whole bool, lines []Member) {
	if whole {
		clear(d.listed)
	}
	for _, l := range lines {
		if d.listed[l.Worker] = l; l.Condition == Removed {
			delete(d.listed, l.Worker)
		}
	}
	d.scheduler.UpdateMembership(d.now, whole, lines)
	for name := range d.scheduler.workers { // after news, who is off the list and has nothing under way is forgotten
		underWay := slices.ContainsFunc(d.inFlight, func(e *Request) bool { return e.target.worker == d.scheduler.workers[name] })
		if d.listed[name].Worker == "" && !underWay {
			d.Fatalf("%s is still a member", name)
		}
	}
}

// drawUpdate draws changed lines, or a whole list.
func (d *fleetModel) drawUpdate() {
	var lines []Member
	most := 5
	whole := rapid.IntRange(0, 5).Draw(d.T, "whole") == 0
	if whole {
		most = 25
	}
	for range rapid.IntRange(0, most).Draw(d.T, "lines") {
		l := d.member(rapid.IntRange(0, 24).Draw(d.T, "worker"))
		l.Condition = rapid.SampledFrom([]Condition{Up, Up, Up, Draining, Removed}).Draw(d.T, "condition")
		l.Weight = float64(rapid.IntRange(0, 4).Draw(d.T, "size"))
		if rapid.IntRange(0, 3).Draw(d.T, "anew") == 0 {
			l.Started = d.now
		} else {
			l.Started = d.listed[l.Worker].Started
		}
		lines = append(lines, l)
	}
	d.applyUpdate(whole, lines)
}

func (d *fleetModel) recordSends(answers []Decision) {
	for _, a := range answers {
		if a.Action == Send {
			d.inFlight = append(d.inFlight, a.Request)
		}
	}
}

func (d *fleetModel) drawRequest() {
	e := &Request{ID: "e", Type: rapid.SampledFrom([]string{"free", "once", "free"}).Draw(d.T, "type"), Tenant: "n",
		Function: rapid.Uint64Range(1, 6).Draw(d.T, "function"), TimeLeft: 3 * time.Second, Concurrency: rapid.IntRange(1, 3).Draw(d.T, "lanes"),
		LoadTime: 300 * time.Millisecond}
	if rapid.IntRange(0, 40).Draw(d.T, "unknown") == 0 { // its longer target has every report believed for longer
		e.Type, e.TimeLeft = "unknown", 5*time.Second
	}
	d.recordSends([]Decision{d.scheduler.Submit(d.now, e)})
}

func (d *fleetModel) drawReport() LoadReport {
	return LoadReport{Reported: rapid.Bool().Draw(d.T, "told"), QueueDepth: float64(rapid.IntRange(0, 6).Draw(d.T, "waiting"))}
}

func (d *fleetModel) drawOutcome() {
	if len(d.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.inFlight)-1).Draw(d.T, "attempt")
	e := d.inFlight[i]
	d.inFlight = slices.Delete(d.inFlight, i, i+1)
	o := Outcome{Result: rapid.SampledFrom([]Result{Completed, Completed, Completed, Failed, Full, TimedOut, Unreachable, ConnectionLost,
		Cancelled, Withheld, NotFound}).Draw(d.T, "result"), Report: d.drawReport(),
		Duration: time.Duration(rapid.IntRange(1, 1500).Draw(d.T, "took")) * time.Millisecond, ReplicaState: ReplicaWarm}
	o.Final = o.Result == Completed
	d.recordSends([]Decision{d.scheduler.Complete(d.now, e, o)})
}

func (d *fleetModel) drawWorker() string {
	return fmt.Sprint("w", rapid.IntRange(0, 24).Draw(d.T, "worker"))
}

// step draws one fact and tells it.
func (d *fleetModel) step() {
	switch rapid.SampledFrom([]string{"news", "request", "request", "request", "outcome", "outcome", "wait", "wait", "probe", "load",
		"time", "time", "time"}).Draw(d.T, "what") {
	case "news":
		d.drawUpdate()
	case "request":
		d.drawRequest()
	case "outcome":
		d.drawOutcome()
	case "wait":
		st := d.scheduler.Tick(d.now)
		d.recordSends(st.Decisions)
		d.loadRequests = append(d.loadRequests, st.LoadRequests...)
	case "probe":
		d.scheduler.ProbeCompleted(d.now, d.drawWorker(), rapid.SampledFrom([]Result{Completed, Completed, Full, Unreachable, TimedOut}).Draw(d.T, "result"),
			d.drawReport(), time.Duration(rapid.IntRange(1, 9).Draw(d.T, "took"))*time.Millisecond)
	case "load":
		if len(d.loadRequests) > 0 {
			o := d.loadRequests[0]
			d.loadRequests = d.loadRequests[1:]
			d.scheduler.LoadCompleted(d.now, o, rapid.SampledFrom([]Result{Completed, Completed, Full, Failed, ConnectionLost}).Draw(d.T, "result"), 300*time.Millisecond)
		}
	case "time":
		d.now += time.Duration(rapid.SampledFrom([]int{1, 20, 200, 900, 4000}).Draw(d.T, "ms")) * time.Millisecond
	}
}

// check compares all that is kept up with what a walk finds.
func (d *fleetModel) check() {
	d.checkMembers()
	d.checkState()
	d.checkBusy()
	d.checkSizes()
	d.checkOrders()
}

// checkMembers compares the members with what the test knows of the list and of the attempts under way.
func (d *fleetModel) checkMembers() {
	c := d.scheduler
	members := map[string]bool{}
	for name := range d.listed {
		members[name] = true
	}
	for _, e := range d.inFlight { // a worker off the list stays while attempts there are under way; one that started anew is another
		if w := e.target.worker; c.workers[w.Worker] == w {
			members[w.Worker] = true
		}
	}
	for name := range members {
		if c.workers[name] == nil {
			d.Fatalf("%s is no member", name)
		}
	}
	for name, w := range c.workers {
		if w.listed != (d.listed[name].Worker != "") {
			d.Fatalf("%s is listed: %v", name, w.listed)
		}
		if !members[name] && !slices.Contains(c.unlisted, w) { // it is forgotten with the next news
			d.Fatalf("%s is a member", name)
		}
	}
	if got, want := c.members.Len(), len(c.workers); got != want {
		d.Fatalf("%d members, want %d", got, want)
	}
	for _, w := range c.members.All() {
		if c.workers[w.Worker] != w {
			d.Fatalf("%s is a member and is not known", w.Worker)
		}
	}
	for _, f := range c.functions { // what another one has replaced under its name gets nothing
		for _, s := range f.replicaSets {
			if c.workers[s.worker.Worker] != s.worker && c.usable(s.worker, d.now) {
				d.Fatalf("%s is usable and was replaced", s.worker.Worker)
			}
		}
	}
}

// checkState compares the counts, and what is decided by them.
func (d *fleetModel) checkState() {
	c := d.scheduler
	before := c.ejectionsIgnored
	c.updateFleetState(d.now)
	if got, want := c.counters, walkedCounters(c, d.now); got != want {
		d.Fatalf("the fleet counts %v, a walk %v", got, want)
	}
	inFlightNow, unbelieved, jam := walkedFleetState(c, before, d.now)
	if c.inFlight != inFlightNow || c.ejectionsIgnored != unbelieved || c.overloaded != jam {
		d.Fatalf("in flight %d, unbelieved %v, jam %v; a walk tells %d, %v, %v", c.inFlight, c.ejectionsIgnored, c.overloaded, inFlightNow, unbelieved, jam)
	}
}

// checkOrders compares the shared order and the preferred workers of some functions.
func (d *fleetModel) checkOrders() {
	c := d.scheduler
	for id := range uint64(2) {
		f := c.functions[id+1]
		if f == nil {
			f = &function{id: id + 1, typ: c.types["free"], arrivals: d.scheduler.arrivals}
		}
		if got, want := names(walkedOrder(c, f)), names(sortedOrder(c, f)); !slices.Equal(got, want) {
			d.Fatalf("function %d: order %v, sorted %v", f.id, got, want)
		}
		if got, want := names(c.preferredWorkers(f, d.now)), names(sortedPreferred(c, f, d.now)); !slices.Equal(got, want) {
			d.Fatalf("function %d: preferred %v, sorted %v", f.id, got, want)
		}
	}
}

// checkBusy compares the workers that are looked at for silence.
func (d *fleetModel) checkBusy() {
	busy := map[*worker]bool{}
	for _, w := range d.scheduler.busy.All() {
		busy[w] = true
	}
	walked := map[*worker]bool{}
	for _, w := range d.scheduler.workers {
		if len(w.attempts) > 0 {
			walked[w] = true
		}
	}
	if !maps.Equal(busy, walked) {
		d.Fatalf("%d workers have attempts under way, a walk finds %d", len(busy), len(walked))
	}
}

// checkSizes compares the sums by kind.
func (d *fleetModel) checkSizes() {
	told, number := map[*workerKind]float64{}, map[*workerKind]float64{}
	for _, w := range d.scheduler.workers {
		told[w.kind] += cmp.Or(w.Weight, 1)
		number[w.kind]++
	}
	mean := 0.0
	for _, k := range d.scheduler.orderedKinds {
		if math.Abs(k.weightSum-told[k]) > 1e-9 || k.workerCount != number[k] {
			d.Fatalf("a kind has size %v of %v, a walk finds %v of %v", k.weightSum, k.workerCount, told[k], number[k])
		}
		mean += told[k] / k.slowness / math.Max(1, float64(len(d.scheduler.workers)))
	}
	if math.Abs(d.scheduler.meanWeight-mean) > 1e-9*mean {
		d.Fatalf("mean size %v, a walk finds %v", d.scheduler.meanWeight, mean)
	}
}

// Through drawn sequences of news, failures, loads, outcomes and time, the view that is kept up as facts come tells what a
// walk through all workers tells: count for count, and first copies worker for worker.
func TestFleetViewIsWhatAWalkFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newFleetModel(t, rapid.IntRange(0, 20).Draw(t, "workers"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			d.step()
			d.check()
		}
	})
}

// The order of a fleet too large to be walked for every request is the sorted one, and front ends whose lists differ by some
// workers order those that both know alike.
func TestSharedOrderOfALargeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newFleetModel(t, 400), newFleetModel(t, 400)
		gone := map[string]bool{}
		var lines []Member
		for range rapid.IntRange(1, 20).Draw(t, "gone") {
			l := a.member(rapid.IntRange(0, 399).Draw(t, "worker"))
			l.Condition = Removed
			gone[l.Worker], lines = true, append(lines, l)
		}
		before := names(walkedOrder(a.scheduler, &function{id: 9}))
		if want := names(sortedOrder(a.scheduler, &function{id: 9})); !slices.Equal(before, want) {
			t.Fatal("the order is not the sorted one")
		}
		for _, k := range b.scheduler.orderedKinds { // sizes are learned; here they are alike
			k.weightSum = k.workerCount
		}
		for _, k := range a.scheduler.orderedKinds {
			k.weightSum = k.workerCount
		}
		b.applyUpdate(false, lines)
		for _, k := range b.scheduler.orderedKinds {
			k.weightSum = k.workerCount
		}
		before = names(walkedOrder(a.scheduler, &function{id: 9}))
		after := names(walkedOrder(b.scheduler, &function{id: 9}))
		if !slices.Equal(slices.DeleteFunc(before, func(name string) bool { return gone[name] }), after) {
			t.Fatal("workers that both front ends know are in another order")
		}
	})
}
