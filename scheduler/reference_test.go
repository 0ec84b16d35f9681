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

// walkedTally counts all members anew.
func walkedTally(c *Scheduler, now time.Duration) (t tally) {
	for _, w := range c.workers {
		in := w.listed && w.Condition == Up
		barred, backed := now < w.ejectedUntil, now < w.queuedUntil
		room := in && float64(len(w.attempts)) < w.limit && !backed
		for what, counts := range map[int]bool{inUse: in, ejected: barred || w.halfOpen, freeOfAny: room,
			free: room && !barred && (!w.halfOpen || len(w.attempts) == 0)} {
			if counts {
				t[what]++
			}
		}
		if w.reportedAt > 0 && now < w.reportedAt+2*c.longest {
			t[reported]++
			if w.queueDepth <= float64(len(w.attempts)) {
				t[idle]++
			}
		}
		if !w.halfOpen {
			t[inFlight] += int32(len(w.attempts))
		}
	}
	return t
}

// walkedSurvey decides by a walk what survey decides; believedBefore is what it decided the last time.
func walkedSurvey(c *Scheduler, unbelievedBefore bool, now time.Duration) (inFlightNow int, unbelieved, jam bool) {
	t := walkedTally(c, now)
	withRoom := float64(t[free])
	if unbelievedBefore {
		withRoom = float64(t[freeOfAny])
	}
	full := float64(t[inFlight])+c.rounding >= c.fleetLimit.limit
	return int(t[inFlight]), float64(t[ejected]) > mostEjected*float64(t[inUse]),
		full || withRoom < overloadedShare*math.Max(float64(t[inUse]), 1) ||
			t[reported] >= enoughReports && float64(t[idle]) < overloadedShare*float64(t[reported])
}

// sortedOrder is the shared order, by scoring and sorting all workers that may get something new.
func sortedOrder(c *Scheduler, f *function) []*worker {
	var all []*worker
	far := map[*worker]float64{}
	for _, w := range c.workers {
		if !w.open() {
			continue
		}
		least, point := uint64(math.MaxUint64), random.Mix(f.id)
		for range pointsOfFunction {
			point = random.Mix(point + 1)
			least = min(least, w.hash-point)
		}
		all, far[w] = append(all, w), float64(least)/w.kind.size()
	}
	slices.SortFunc(all, func(a, b *worker) int { return cmp.Compare(far[a], far[b]) })
	return all
}

// sortedPreferred chooses the workers for first copies from all of them.
func sortedPreferred(c *Scheduler, f *function, now time.Duration) []*worker {
	var first, last []*worker
	for _, w := range sortedOrder(c, f) {
		switch {
		case !c.accepts(w, f, now):
		case w.comesLast(now) || float64(len(w.attempts)) >= manyShare*w.limit:
			last = append(last, w)
		default:
			first = append(first, w)
		}
	}
	all := append(first, last...)
	return all[:min(len(all), c.preferredCount(f, now))]
}

func walkedOrder(c *Scheduler, f *function) (order []*worker) {
	c.walk(f)
	for {
		w, more := c.order.Next()
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

// drawn is a Chooser under a drawn sequence of facts, and what the test itself knows of the list.
type drawn struct {
	*rapid.T
	c      *Scheduler
	now    time.Duration
	lines  map[string]Member // listed now
	out    []*Request
	orders []LoadRequest
}

func newDrawn(t *rapid.T, workers int) *drawn {
	peers := rapid.SampledFrom([]int{1, 3, 200}).Draw(t, "front ends")
	d := &drawn{T: t, c: New(rapid.Uint64().Draw(t, "seed"), 0, peers, 2*time.Millisecond), now: time.Hour, lines: map[string]Member{}}
	d.c.AddType(RequestType{Name: "free", Objective: time.Second})
	d.c.AddType(RequestType{Name: "once", Effect: AtMostOnce, Objective: time.Second})
	d.c.Allowed(4, true, true, 500*time.Millisecond)
	d.c.Loading(true, true, 3*time.Second, 2*time.Second, 0, 0, 0)
	d.c.SlowStart(0.2, 10*time.Second, 2, time.Second)
	var lines []Member
	for i := range workers {
		lines = append(lines, d.line(i))
	}
	d.listed(true, lines)
	return d
}

func (d *drawn) line(number int) Member {
	return Member{Worker: fmt.Sprint("w", number), Zone: fmt.Sprint(number % 3), Kind: fmt.Sprint(number % 2),
		Size: float64(number % 5), Condition: Up}
}

func (d *drawn) listed(whole bool, lines []Member) {
	if whole {
		clear(d.lines)
	}
	for _, l := range lines {
		if d.lines[l.Worker] = l; l.Condition == Removed {
			delete(d.lines, l.Worker)
		}
	}
	d.c.UpdateMembership(d.now, whole, lines)
	for name := range d.c.workers { // after news, who is off the list and has nothing under way is forgotten
		underWay := slices.ContainsFunc(d.out, func(e *Request) bool { return e.sentTo.w == d.c.workers[name] })
		if d.lines[name].Worker == "" && !underWay {
			d.Fatalf("%s is still a member", name)
		}
	}
}

// news draws changed lines, or a whole list.
func (d *drawn) news() {
	var lines []Member
	most := 5
	whole := rapid.IntRange(0, 5).Draw(d.T, "whole") == 0
	if whole {
		most = 25
	}
	for range rapid.IntRange(0, most).Draw(d.T, "lines") {
		l := d.line(rapid.IntRange(0, 24).Draw(d.T, "worker"))
		l.Condition = rapid.SampledFrom([]Condition{Up, Up, Up, Draining, Removed}).Draw(d.T, "condition")
		l.Size = float64(rapid.IntRange(0, 4).Draw(d.T, "size"))
		if rapid.IntRange(0, 3).Draw(d.T, "anew") == 0 {
			l.Started = d.now
		} else {
			l.Started = d.lines[l.Worker].Started
		}
		lines = append(lines, l)
	}
	d.listed(whole, lines)
}

func (d *drawn) take(answers []Decision) {
	for _, a := range answers {
		if a.Verb == Send {
			d.out = append(d.out, a.Request)
		}
	}
}

func (d *drawn) request() {
	e := &Request{ID: "e", Type: rapid.SampledFrom([]string{"free", "once", "free"}).Draw(d.T, "type"), Tenant: "n",
		Function: rapid.Uint64Range(1, 6).Draw(d.T, "function"), TimeLeft: 3 * time.Second, Concurrency: rapid.IntRange(1, 3).Draw(d.T, "lanes"),
		LoadTime: 300 * time.Millisecond}
	if rapid.IntRange(0, 40).Draw(d.T, "unknown") == 0 { // its longer target has every report believed for longer
		e.Type, e.TimeLeft = "unknown", 5*time.Second
	}
	d.take([]Decision{d.c.Submit(d.now, e)})
}

func (d *drawn) load() Load {
	return Load{Reported: rapid.Bool().Draw(d.T, "told"), QueueDepth: float64(rapid.IntRange(0, 6).Draw(d.T, "waiting"))}
}

func (d *drawn) outcome() {
	if len(d.out) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.out)-1).Draw(d.T, "attempt")
	e := d.out[i]
	d.out = slices.Delete(d.out, i, i+1)
	o := Outcome{Result: rapid.SampledFrom([]Result{Completed, Completed, Completed, Failed, Full, TimedOut, Unreached, Broken,
		Cancelled, TooLate, Missing}).Draw(d.T, "result"), Load: d.load(),
		Took: time.Duration(rapid.IntRange(1, 1500).Draw(d.T, "took")) * time.Millisecond, Warmth: FoundWarm}
	o.Final = o.Result == Completed
	d.take([]Decision{d.c.Complete(d.now, e, o)})
}

func (d *drawn) worker() string { return fmt.Sprint("w", rapid.IntRange(0, 24).Draw(d.T, "worker")) }

// step draws one fact and tells it.
func (d *drawn) step() {
	switch rapid.SampledFrom([]string{"news", "request", "request", "request", "outcome", "outcome", "wait", "wait", "probe", "load",
		"time", "time", "time"}).Draw(d.T, "what") {
	case "news":
		d.news()
	case "request":
		d.request()
	case "outcome":
		d.outcome()
	case "wait":
		st := d.c.Tick(d.now)
		d.take(st.Decisions)
		d.orders = append(d.orders, st.Loads...)
	case "probe":
		d.c.Probed(d.now, d.worker(), rapid.SampledFrom([]Result{Completed, Completed, Full, Unreached, TimedOut}).Draw(d.T, "result"),
			d.load(), time.Duration(rapid.IntRange(1, 9).Draw(d.T, "took"))*time.Millisecond)
	case "load":
		if len(d.orders) > 0 {
			o := d.orders[0]
			d.orders = d.orders[1:]
			d.c.Loaded(d.now, o, rapid.SampledFrom([]Result{Completed, Completed, Full, Failed, Broken}).Draw(d.T, "result"), 300*time.Millisecond)
		}
	case "time":
		d.now += time.Duration(rapid.SampledFrom([]int{1, 20, 200, 900, 4000}).Draw(d.T, "ms")) * time.Millisecond
	}
}

// check compares all that is kept up with what a walk finds.
func (d *drawn) check() {
	d.checkMembers()
	d.checkState()
	d.checkBusy()
	d.checkSizes()
	d.checkOrders()
}

// checkMembers compares the members with what the test knows of the list and of the attempts under way.
func (d *drawn) checkMembers() {
	c := d.c
	members := map[string]bool{}
	for name := range d.lines {
		members[name] = true
	}
	for _, e := range d.out { // a worker off the list stays while attempts there are under way; one that started anew is another
		if w := e.sentTo.w; c.workers[w.Worker] == w {
			members[w.Worker] = true
		}
	}
	for name := range members {
		if c.workers[name] == nil {
			d.Fatalf("%s is no member", name)
		}
	}
	for name, w := range c.workers {
		if w.listed != (d.lines[name].Worker != "") {
			d.Fatalf("%s is listed: %v", name, w.listed)
		}
		if !members[name] && !slices.Contains(c.leaving, w) { // it is forgotten with the next news
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
			if c.workers[s.w.Worker] != s.w && c.usable(s.w, d.now) {
				d.Fatalf("%s is usable and was replaced", s.w.Worker)
			}
		}
	}
}

// checkState compares the counts, and what is decided by them.
func (d *drawn) checkState() {
	c := d.c
	before := c.ejectionsIgnored
	c.fleetState(d.now)
	if got, want := c.tally, walkedTally(c, d.now); got != want {
		d.Fatalf("the fleet counts %v, a walk %v", got, want)
	}
	inFlightNow, unbelieved, jam := walkedSurvey(c, before, d.now)
	if c.inFlight != inFlightNow || c.ejectionsIgnored != unbelieved || c.overloaded != jam {
		d.Fatalf("in flight %d, unbelieved %v, jam %v; a walk tells %d, %v, %v", c.inFlight, c.ejectionsIgnored, c.overloaded, inFlightNow, unbelieved, jam)
	}
}

// checkOrders compares the shared order and the preferred workers of some functions.
func (d *drawn) checkOrders() {
	c := d.c
	for id := range uint64(2) {
		f := c.functions[id+1]
		if f == nil {
			f = &function{id: id + 1, typ: c.types["free"], arrivals: d.c.arrivals}
		}
		if got, want := names(walkedOrder(c, f)), names(sortedOrder(c, f)); !slices.Equal(got, want) {
			d.Fatalf("function %d: order %v, sorted %v", f.id, got, want)
		}
		if got, want := names(c.preferred(f, d.now)), names(sortedPreferred(c, f, d.now)); !slices.Equal(got, want) {
			d.Fatalf("function %d: preferred %v, sorted %v", f.id, got, want)
		}
	}
}

// checkBusy compares the workers that are looked at for silence.
func (d *drawn) checkBusy() {
	busy := map[*worker]bool{}
	for _, w := range d.c.busy.All() {
		busy[w] = true
	}
	walked := map[*worker]bool{}
	for _, w := range d.c.workers {
		if len(w.attempts) > 0 {
			walked[w] = true
		}
	}
	if !maps.Equal(busy, walked) {
		d.Fatalf("%d workers have attempts under way, a walk finds %d", len(busy), len(walked))
	}
}

// checkSizes compares the sums by kind.
func (d *drawn) checkSizes() {
	told, number := map[*kind]float64{}, map[*kind]float64{}
	for _, w := range d.c.workers {
		told[w.kind] += cmp.Or(w.Size, 1)
		number[w.kind]++
	}
	mean := 0.0
	for _, k := range d.c.kindList {
		if math.Abs(k.sizeSum-told[k]) > 1e-9 || k.count != number[k] {
			d.Fatalf("a kind has size %v of %v, a walk finds %v of %v", k.sizeSum, k.count, told[k], number[k])
		}
		mean += told[k] / k.slowness / math.Max(1, float64(len(d.c.workers)))
	}
	if math.Abs(d.c.meanSize-mean) > 1e-9*mean {
		d.Fatalf("mean size %v, a walk finds %v", d.c.meanSize, mean)
	}
}

// Through drawn sequences of news, failures, loads, outcomes and time, the view that is kept up as facts come tells what a
// walk through all workers tells: count for count, and first copies worker for worker.
func TestFleetViewIsWhatAWalkFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDrawn(t, rapid.IntRange(0, 20).Draw(t, "workers"))
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
		a, b := newDrawn(t, 400), newDrawn(t, 400)
		gone := map[string]bool{}
		var lines []Member
		for range rapid.IntRange(1, 20).Draw(t, "gone") {
			l := a.line(rapid.IntRange(0, 399).Draw(t, "worker"))
			l.Condition = Removed
			gone[l.Worker], lines = true, append(lines, l)
		}
		before := names(walkedOrder(a.c, &function{id: 9}))
		if want := names(sortedOrder(a.c, &function{id: 9})); !slices.Equal(before, want) {
			t.Fatal("the order is not the sorted one")
		}
		for _, k := range b.c.kindList { // sizes are learned; here they are alike
			k.sizeSum = k.count
		}
		for _, k := range a.c.kindList {
			k.sizeSum = k.count
		}
		b.listed(false, lines)
		for _, k := range b.c.kindList {
			k.sizeSum = k.count
		}
		before = names(walkedOrder(a.c, &function{id: 9}))
		after := names(walkedOrder(b.c, &function{id: 9}))
		if !slices.Equal(slices.DeleteFunc(before, func(name string) bool { return gone[name] }), after) {
			t.Fatal("workers that both front ends know are in another order")
		}
	})
}
