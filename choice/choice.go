// Package choice decides for one front end where events go. It is asked and it answers, three ways:
//
//	Place: where to send this event (or not yet, or never)
//	After: what to do after this outcome
//	Wait:  what is due now (releases, load orders, probes, final answers) and how long to wait then
//
// Facts are fed in between: Listed, ListFailed, Probed, Loaded, Left. Plain types stand in types.go.
// The caller keeps the timers and the events in hand; time is any clock of whole nanoseconds.
// The design (docs/design.md): a queue per function, released oldest first to a believed-warm free lane;
// a four-condition rule each tick that orders loads on random workers; surplus copies starve.
// Beside it stand six mechanisms:
//  1. failures in a row bar a worker, one event on trial brings it back (fail, silent, usable)
//  2. in-flight limits, of each worker and of all, follow the answer times (pace, follow)
//  3. waiting events, reported or by the time of a probe, put a worker last (told, known)
//  4. in a jam, what can't make its target time or is beyond its tenant's share is deferred, and so are a
//     tenant's repeats beyond a part of its first tries; a tenant refused is served elsewhere (Place, serve)
//  5. cold workers get a small part of a warm one's work (coldPause)
//  6. the loads under way follow what comes of them (Loaded, load)
//
// What differs among workers and deployments is told or learned: sizes of kinds (measure, pace), how crowded
// a worker is by the time of a probe (crowd), what events ahead cost (fits, pace), where memory ends (count).
package choice

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lupinpond/internal/chance"
	"lupinpond/internal/window"
)

// Tuned values: shares and multiples of what the settings or the events say.
const (
	tickShare, overflowShare  = 0.2, 0.25 // a function's tick and its overflow wait, of the target time
	averaged, typeAveraged    = 10, 100   // answers in a function's average and in an event type's
	firstLatency, freshSpan   = 10 * time.Millisecond, 5 * time.Second
	firstShare, stuckAfter    = 0.125, 4   // first mean answer time, of the target; most that one answer counts
	rowBar, barMost           = 4, 8       // failures in a row that bar; longest bar in longest target times
	overdue, believed         = 18.0, 0.5  // silence that bars, in mean answer times; most that can be bad
	firstLimit, leastLimit    = 16.0, 2.0  // in-flight limit of a worker for all front ends, the least for each
	leastAll                  = 0.5        // the least of all workers
	tolerance, enoughShare    = 1.1, 0.5   // answers may take so many shortest ones, or so much of the target
	growth, shortLasts        = 0.1, 20000 // least part for growth; answers that grow the shortest time e times
	aloneShare                = 0.2        // of the target, where no event waits at the worker
	loadPatience, slowLoad    = 4.0, 2.0   // usual loads after which an order is lost; that tell a crowded store
	coldSafety, coldChance    = 0.9, 1.0   // part of the cold budget that is used, less so many errors of chance
	manyShare, fullFall       = 0.75, 0.9  // of its limit in flight: the next; what a refusal leaves of it
	spread, leastSpread       = 8.0, 1.0   // workers for first copies, over those that a function fills
	atFirst, startAs          = 5.0, 30.0  // functions and events that stand for what is not seen yet
	mostSize, mostMemory      = 1e5, 1e15  // more is not believed
	copyShare                 = 0.5        // of all memory, for first copies
	crowdedShare, enoughTold  = 0.5, 3     // fewer workers with room, of all or of so many heard of: a jam
	repeatsFree, repeatShare  = 1.0, 0.05  // marked repeats of a tenant that are taken, and for each first try
	aheadKept                 = 0.95       // of what was seen of the events ahead, by the next
	nearness                  = 3.0        // a worker of another zone is as far as one so much smaller
	echoWeight, echoMost      = 4.0, 8.0   // waiting events for a probe's excess over the mean one; most excess
	deepOver                  = 0.25       // mean excess of probes over the shortest that is not the network's
	backedShare               = 0.5        // a report is believed for so much of the longest target time
	shareChance               = 1.0        // errors of chance by which a tenant may be beyond its share
	refusedShare, refusedMost = 0.125, 6   // a refused tenant stays away so much of the target, doubled so often
)

// New starts the Chooser of front end self of peers; quantum is the least time between two calls.
func New(seed uint64, self, peers int, quantum time.Duration) *Chooser {
	return &Chooser{chance: chance.New(seed), self: self, peers: max(1, peers),
		quantum: max(quantum, 0), types: map[string]*evtType{}, tenants: map[string]*tenant{},
		workers: map[string]*worker{}, fns: map[uint64]*function{}, longest: time.Second,
		kinds: map[string]*kind{}, echoes: map[string]*echoes{},
		mostLaunches: 1, spread: spread, askAt: math.MaxInt64,
		ordered: window.New(0), taken: window.New(0), work: window.New(0),
		fresh: window.New(freshSpan), came: window.New(4 * freshSpan)}
}

func (c *Chooser) AddType(t EventType) {
	t.Target = max(t.Target, time.Millisecond)
	c.types[t.Name] = &evtType{EventType: t, seen: 1, mean: part(firstShare, t.Target)}
	c.longest = max(c.longest, t.Target)
}

// AddTenant tells of a tenant and of the events a second within its share, at all front ends together.
func (c *Chooser) AddTenant(name string, quota float64) {
	c.shares += quota
	c.tenants[name] = &tenant{quota: quota, came: window.New(freshSpan), again: window.New(freshSpan)}
}

// ColdStarts tells what a worker that has just started stands.
func (c *Chooser) ColdStarts(from float64, warmAfter time.Duration, multiple float64, fall time.Duration) {
	c.coldFrom, c.warmAfter, c.multiple, c.fall = from, warmAfter, multiple, max(fall, time.Millisecond)
	c.work = window.New(8 * c.fall)
}

// Asking says that the list of workers must be asked for, at least so often unless subscribed.
func (c *Chooser) Asking(within time.Duration) {
	c.askAt, c.askWait = 0, max(within/8, time.Millisecond)
}

// rank orders the workers of a function by hash, one of twice the size first twice as often; salt 0 gives the
// order that all front ends share.
func (c *Chooser) rank(w *worker, fn uint64, salt int) float64 {
	drawn := chance.Mix(w.hash ^ chance.Mix(fn+uint64(salt)<<44))
	rank := -math.Log1p(-float64(drawn>>11)/(1<<53)) / c.size(w)
	if salt > 0 && c.zone != "" && w.Zone != c.zone { // crossing costs
		rank *= nearness
	}
	return rank
}

func last(rank float64, behind bool) float64 {
	if behind {
		return rank + math.MaxUint32
	}
	return rank
}

// size is a worker's part of the work over that of a mean one: its kind's mean, as each one's is told
// roughly, and by how long answers of that kind take over those of the same functions elsewhere.
func (c *Chooser) size(w *worker) float64 { return w.kind.size() / c.meanSize }

func (k *kind) size() float64 { return k.told / k.number / k.takes }

// measure takes the mean size after the list or an answer has changed one.
func (c *Chooser) measure() {
	c.meanSize = 0
	for _, w := range c.list {
		c.meanSize += w.kind.size() / float64(len(c.list))
	}
}

// Listed takes news of the list; where it is whole, workers that it does not name are gone.
func (c *Chooser) Listed(now time.Duration, whole bool, news []Listing) {
	if whole {
		for _, w := range c.list {
			w.listed = false
		}
	}
	for _, l := range news {
		w := c.workers[l.Worker]
		if w != nil && l.Started != w.Started { // a worker that starts anew is empty and cold: another one
			w.listed, w = false, nil
		}
		if w == nil {
			w = &worker{hash: chance.Hash(l.Worker), refuses: map[string]refusal{},
				limited:  c.limits(firstLimit, leastLimit),
				coldLast: now, coldPart: float64(c.chance.Below(1000)) / 1000}
			c.workers[l.Worker] = w
		}
		l.Size = believable(l.Size, mostSize)
		w.Listing, w.listed = l, l.Condition != Gone
	}
	maps.DeleteFunc(c.workers, func(_ string, w *worker) bool { return !w.listed && len(w.out) == 0 })
	byName := func(a, b *worker) int { return strings.Compare(a.Worker, b.Worker) }
	c.list = slices.SortedFunc(maps.Values(c.workers), byName)
	for _, k := range c.kinds {
		k.told, k.number = 0, 0
	}
	for _, w := range c.list {
		w.kind = c.kindOf(w.Kind)
		w.kind.told, w.kind.number = w.kind.told+cmp.Or(w.Size, 1), w.kind.number+1
	}
	c.measure()
	if c.all.took == nil {
		c.all = c.limits(firstLimit*float64(len(c.list)), leastAll)
		c.loads = c.limits(firstLimit*float64(c.peers), leastLimit)
	}
	if c.askAt > 0 { // the list of the start is no answer
		c.askAt = math.MaxInt64
	}
}

func (c *Chooser) limits(first, least float64) limited {
	return limited{least: least, limit: max(least, first/float64(c.peers)),
		took: window.New(2 * c.longest), may: window.New(2 * c.longest)}
}

// ListFailed says that asking for the list failed: ask again a little later, each front end at its own time.
func (c *Chooser) ListFailed(now time.Duration) {
	c.askAt = now + c.askWait/2 + time.Duration(c.chance.Below(int(c.askWait)))
}

// share is the least part of its capacity that a worker has by now.
func (c *Chooser) share(w *worker, now time.Duration) float64 {
	warm := float64(max(0, now-w.Started)) / float64(max(1, c.warmAfter))
	if w.Started <= 0 || warm >= 1 {
		return 1
	}
	return c.coldFrom + (1-c.coldFrom)*warm
}

// coldPause keeps a cold worker from being pushed over (rule 4): least time between two launches to it. Its
// capacity is not told: the mean work seen handled is taken. Launches of many front ends bunch by chance.
func (c *Chooser) coldPause(w *worker, weight float64, now time.Duration) time.Duration {
	most := time.Duration(c.peers) * c.fall // with nothing known all front ends together send one in c.fall
	mean := c.work.Inner(now) / 8 / float64(max(1, len(c.list)))
	all := coldSafety * c.multiple * c.share(w, now) * mean * min(1, c.size(w)) / c.portion(now) / weight
	all = max(all-coldChance*math.Sqrt(min(all, float64(c.peers))), all/4)
	return time.Duration(min(float64(c.fall)/max(all*c.portion(now), 1e-9), float64(most)))
}

// coldRoom begins with a random part of the pause: not all that hear of a start send at once.
func (c *Chooser) coldRoom(w *worker, e *Event, now time.Duration) bool {
	return c.multiple <= 0 || c.share(w, now) >= 1 ||
		now >= w.coldLast+part(w.coldPart, c.coldPause(w, c.weigh(e), now))
}

// portion is this front end's part of all traffic: an even split, or what it sees of the tenants' shares.
func (c *Chooser) portion(now time.Duration) float64 {
	seen := c.fresh.All(now) / freshSpan.Seconds() / cmp.Or(c.shares, math.Inf(1))
	return min(1, max(1/float64(c.peers), seen))
}

// survey counts launches in flight, whether bars are believed, and whether few workers have room: a jam.
func (c *Chooser) survey(now time.Duration) {
	in, bad, free, told, open := 0.0, 0.0, 0.0, 0.0, 0.0
	c.inFlight, c.rounding = 0, float64(c.chance.Below(1000))/1000
	for _, w := range c.list {
		if !w.trial { // one that is out for long waits there: its work is still to do
			c.inFlight += len(w.out)
		}
		if w.listed && w.Condition == In {
			in++
		}
		if now < w.barred || w.trial {
			bad++
		}
		if c.room(w, now) && now >= w.backed {
			free++
		}
		if w.toldAt > 0 && now < w.toldAt+2*c.longest {
			told++
			if w.waiting <= float64(len(w.out)) {
				open++
			}
		}
	}
	c.unbelieved, c.jam = bad > believed*in, c.full() || free < crowdedShare*max(in, 1) ||
		told >= enoughTold && open < crowdedShare*told // a front end among many hears of few at a time
}

// usable: not drained nor gone (rule 3), nor barred unless most are, which must not leave us without any.
func (c *Chooser) usable(w *worker, now time.Duration) bool {
	return w.listed && w.Condition == In && (now >= w.barred && (!w.trial || len(w.out) == 0) || c.unbelieved)
}

func (c *Chooser) room(w *worker, now time.Duration) bool {
	return c.usable(w, now) && float64(len(w.out)) < w.limit
}

// full rounds the limit by chance: a front end among many has less than one launch of the fleet's to itself.
func (c *Chooser) full() bool { return float64(c.inFlight)+c.rounding >= c.all.limit }

// fail counts a failure; enough in a row bar the worker, longer each time.
func (c *Chooser) fail(w *worker, now time.Duration) {
	w.row++
	if (w.row >= rowBar || w.trial) && now >= w.barred {
		w.barFor = min(max(2*w.barFor, c.longest), barMost*c.longest)
		w.barred = now + w.barFor + time.Duration(c.chance.Below(int(w.barFor/2)))
		w.trial, w.limit = true, leastLimit
		c.recall = append(c.recall, w.out...)
	}
}

// silent bars a worker from which nothing comes; each launch that waits adds to the silence.
func (c *Chooser) silent(now time.Duration) {
	for _, w := range c.list {
		silence := 0.0
		for _, e := range w.out {
			usual := float64(max(e.typ.mean, e.typ.Target/10)) / c.share(w, now)
			silence += float64(now-max(e.sent, w.lastGood)) / usual
		}
		if silence > overdue && now >= w.barred && !w.trial {
			w.row = rowBar
			c.fail(w, now)
		}
	}
}

// pace moves a worker's in-flight limit by the ratio of the shortest answer time to the present one.
func (c *Chooser) pace(w *worker, e *Event, took, now time.Duration) {
	t, k := e.typ, w.kind
	if e.ahead > 0 { // the time that each event ahead costs: little, until it is seen
		c.ahead += e.ahead
		c.delayed += float64(max(0, took-t.short))
		c.delay = c.delayed / (averaged + c.ahead)
		c.ahead, c.delayed = c.ahead*aheadKept, c.delayed*aheadKept
	}
	k.seen = min(k.seen+1, typeAveraged)
	k.takes += (min(float64(took)/float64(e.fn.mean()), stuckAfter) - k.takes) / (averaged + k.seen)
	c.measure()
	t.seen = min(t.seen+1, typeAveraged)
	if t.mean += (took - t.mean) / t.seen; t.seen < 3*averaged {
		return
	}
	if t.short += t.short / shortLasts; t.short == 0 || t.mean < t.short {
		t.short = t.mean
	}
	may, portion := tolerance*float64(t.short), c.portion(now)
	alone := may
	if w.toldAt == now && w.waiting < 1 { // none waits there: it is slow, or has slow functions, not crowded
		alone = max(may, aloneShare*float64(t.Target))
	}
	w.follow(now, took, alone, len(w.out), portion)
	c.all.follow(now, min(took, t.Target), enoughShare*float64(t.Target), c.inFlight, portion)
}

// follow moves a limit by what answers may take to what they take. That of all workers is for a front end
// among many: it meets each worker too seldom to judge it, and the least limits of all of them add up.
func (l *limited) follow(now, took time.Duration, may float64, out int, portion float64) {
	l.took.Add(now, float64(took))
	l.may.Add(now, may)
	ratio := min(1, l.may.All(now)/l.took.All(now))
	if ratio == 1 {
		portion = max(portion, growth)
	}
	aim := l.limit*ratio + math.Sqrt(l.limit*portion)
	if aim < l.limit || 2*float64(out+1) > l.limit {
		l.limit = max(l.least, l.limit+(aim-l.limit)/max(1, l.limit))
	}
}

func (f *function) mean() time.Duration { return max(1, f.past.Mean(firstLatency)) }

func (c *Chooser) expected(f *function) time.Duration { return max(f.mean(), f.typ.mean/2) }

func (f *function) usualLoad() time.Duration { return cmp.Or(f.load, f.typ.Target) }

// refresh lets beliefs expire and forgets standings without any.
func (c *Chooser) refresh(f *function, now time.Duration) {
	f.stands = slices.DeleteFunc(f.stands, func(s *standing) bool {
		if now > s.until && s.busy == 0 {
			s.copies = 0
		}
		if now > s.loadEnd {
			s.loading = 0
		}
		return s.copies == 0 && s.loading == 0 && s.busy == 0 && now >= s.shut
	})
}

// Place answers where to send an event that has just come.
func (c *Chooser) Place(now time.Duration, e *Event) Answer {
	t := c.types[e.Type]
	if t == nil { // a type that the settings did not name: nothing is known to be safe
		c.AddType(EventType{Name: e.Type, Effect: AtMostOnce, Target: e.Patience})
		t = c.types[e.Type]
	}
	c.survey(now)
	f := c.fns[e.Function]
	if f == nil {
		if len(c.fns) >= 2*c.kept+averaged { // functions long idle are forgotten
			maps.DeleteFunc(c.fns, func(_ uint64, g *function) bool {
				c.refresh(g, now)
				return len(g.stands)+len(g.queue) == 0 && g.came.All(now) == 0
			})
			c.kept = len(c.fns)
		}
		f = &function{id: e.Function, tenant: e.Tenant, came: window.New(4 * freshSpan)}
		c.fns[e.Function] = f
	}
	if f.tenant != e.Tenant { // it serves many: a refusal says nothing of one of them
		f.tenant = ""
	}
	f.typ, f.lanes, f.memory = t, max(1, e.Lanes), believable(e.Memory, mostMemory)
	f.load = min(max(0, e.LoadTime), time.Hour)
	t.patience = max(t.patience, e.Patience)
	e.typ, e.fn, e.came, e.ends = t, f, now, now+e.Patience
	e.due = now + t.Target - (t.patience - e.Patience) // less patience than the most seen is age
	f.came.Add(now, 1)
	c.came.Add(now, 1)
	if now >= c.countAt {
		c.count(now)
	}
	if now >= f.next && len(f.queue) == 0 && len(f.stands) > 0 { // a tick without a queue advances too
		f.next, f.arrived = now+c.tick(f), 0
		if c.homes(f, now) > 1 {
			c.grown = append(c.grown, f)
		}
	}
	f.arrived++
	if c.taken.Add(now, 1); !e.Repeat {
		c.fresh.Add(now, 1)
	}
	if n := c.tenants[e.Tenant]; n != nil {
		within := n.quota * c.portion(now) * freshSpan.Seconds() // few come here: more than chance is over
		if e.over = n.came.All(now) >= within+max(1, shareChance*math.Sqrt(within)); !e.over {
			n.came.Add(now, 1)
		}
		if e.Repeat && n.again.All(now) >= repeatsFree+repeatShare*c.fresh.All(now) {
			return c.give(e, now)
		} else if e.Repeat {
			n.again.Add(now, 1)
		}
	}
	if e.over && c.jam {
		return c.give(e, now)
	}
	if len(f.queue) == 0 {
		c.refresh(f, now)
		if s := c.warm(f, e, false, now); s != nil && now < s.w.backed {
			c.grown = append(c.grown, f)
		} else if s != nil && c.known(s.w, now) {
			return c.launch(e, s, false, now)
		}
	}
	return c.hold(e)
}

// count estimates how much of a seen event is luck (absolute discounting): all where functions come once
// only, little where those seen once come twice as a rule. It fits first copies into the workers' memory too.
func (c *Chooser) count(now time.Duration) {
	c.countAt = now + freshSpan/8
	seen, once, twice, need, room := 0.0, 0.0, 0.0, int64(0), 0.0
	for _, f := range c.fns {
		switch n := f.came.All(now); n {
		case 0:
			continue
		case 1:
			once++
		case 2:
			twice++
		}
		seen, need = seen+1, need+int64(f.memory)
	}
	for _, w := range c.list {
		room += copyShare * w.kind.memory
	}
	c.discount = (once + atFirst) / (once + 2*twice + 2*atFirst)
	if c.spread = spread; room > 0 && need > 0 { // what memory holds beyond one copy of each
		c.spread = min(spread, max(leastSpread, (room/float64(need)-1)*seen/float64(len(c.list))))
	}
}

func (c *Chooser) hold(e *Event) Answer {
	f := e.fn
	i, _ := slices.BinarySearchFunc(f.queue, e.came+1, func(x *Event, t time.Duration) int {
		return cmp.Compare(x.came, t)
	})
	f.queue = slices.Insert(f.queue, i, e)
	if !f.active {
		f.active = true
		c.active = append(c.active, f)
	}
	return Answer{Event: e, Verb: Hold}
}

// spent tells that an event may have run and must not run again, wherever.
func (c *Chooser) spent(e *Event, now time.Duration) bool {
	late := e.typ.Effect == Keyed && now+c.quantum >= e.riskAt+e.typ.Window
	return e.risk != nil && (late || e.typ.Effect == AtMostOnce)
}

// mayGo keeps effects from happening twice (rule 2): an event that may have run goes again only as its type
// allows, a keyed one inside its group and window.
func (c *Chooser) mayGo(e *Event, w *worker, now time.Duration) bool {
	return !c.spent(e, now) && (e.risk == nil || e.typ.anywhere() ||
		w.Zone == e.risk.Zone && (e.typ.Group == GroupZone || w.Cell == e.risk.Cell))
}

// fits tells whether an event may go to a believed copy now. A worker on trial gets what may go again first.
func (c *Chooser) fits(s *standing, e *Event, now time.Duration) bool {
	w := s.w
	soon := max(e.due-now, part(enoughShare, e.typ.Target)) // who is late already does not wait long
	return c.delay*w.waits(now) <= float64(soon) && s.copies > 0 &&
		now >= max(s.shut, w.refuses[e.Tenant].until) && c.room(w, now) && !c.full() &&
		c.mayGo(e, w, now) && c.coldRoom(w, e, now) &&
		(!w.trial || e.typ.Effect != AtMostOnce || now >= w.barred+w.barFor)
}

// warm finds a believed-warm copy: a free lane by the salted order, or with spill the fewest own in flight.
func (c *Chooser) warm(f *function, e *Event, spill bool, now time.Duration) (best *standing) {
	var first float64
	for _, s := range f.stands {
		var r float64
		if spill {
			r = (s.w.waits(now) + float64(len(s.w.out)+1)) / c.size(s.w)
		} else if s.busy < s.copies*f.lanes && s.w != e.avoid {
			r = last(c.rank(s.w, f.id, c.self+1), s.w.behind(now)) + s.w.waits(now)
		} else {
			continue
		}
		if (best == nil || r < first) && c.fits(s, e, now) {
			best, first = s, r
		}
	}
	return best
}

func (c *Chooser) weigh(e *Event) float64 { return float64(max(e.typ.mean, firstLatency)) }

func (t *evtType) anywhere() bool {
	return t.Effect == Redeliverable || t.Effect == Keyed && t.Group == GroupAll
}

func (c *Chooser) launch(e *Event, s *standing, cold bool, now time.Duration) Answer {
	e.cold, e.sent, e.out, e.avoid = cold, now, s, nil
	e.launches, s.busy, e.ahead = e.launches+1, s.busy+1, s.w.waits(now)
	s.w.out = append(s.w.out, e)
	c.inFlight++
	s.w.coldLast, s.w.coldPart = now, 1
	if cold {
		s.loading = max(s.loading, 1)
		s.loadEnd = now + part(loadPatience, e.fn.usualLoad())
	}
	return Answer{Event: e, Verb: Launch, Worker: s.w.Worker}
}

// give ends an event as its type allows: deferred where another try is harmless, else dead-lettered.
func (c *Chooser) give(e *Event, now time.Duration) Answer {
	e.ended = true
	if c.spent(e, now) || e.risk != nil && !e.typ.anywhere() {
		return Answer{Event: e, Verb: DeadLetter}
	}
	back := min(c.mostBack, e.typ.Target/2)
	return Answer{Event: e, Verb: Defer, Back: back/2 + time.Duration(c.chance.Below(int(back/2)+1))}
}

// After answers what to do after the outcome of a launch.
func (c *Chooser) After(now time.Duration, e *Event, o Outcome) Answer {
	s, f := e.out, e.fn
	if s == nil {
		return Answer{Event: e, Verb: Nothing}
	}
	w := s.w
	c.survey(now)
	told := c.told(w, o.Load, now)
	if o.Took >= e.typ.Target && len(w.out) == 1 {
		w.late = now + c.longest
	}
	e.out, s.busy = nil, s.busy-1
	w.out = slices.DeleteFunc(w.out, func(x *Event) bool { return x == e })
	switch o.Result {
	case Handled:
		c.work.Add(now, c.weigh(e))
		w.row, w.lastGood, w.barFor, w.trial, w.barred, w.deaf = 0, now, 0, false, 0, false
		s.copies, s.until = max(1, s.copies), now+c.keep
		delete(w.refuses, e.Tenant)
		if o.Warmth == FoundWarm || o.Warmth == Untold && !e.cold {
			f.past.Add(o.Took, averaged)
			c.pace(w, e, o.Took, now)
		}
	case Full: // whatever the reason, a tenant refused again and again is served elsewhere; others stay
		r := refusal{row: min(w.refuses[e.Tenant].row+1, refusedMost)}
		s.shut = now + part(refusedShare, f.typ.Target)<<r.row
		w.limit = max(leastLimit, w.limit*fullFall)
		if f.tenant != "" && told && o.Load.Waiting < 1 { // it has room
			r.until = s.shut
		}
		w.refuses[e.Tenant] = r
	case Unreached, Broken: // a process that died comes back with a new start; a broken line does not
		c.fail(w, now)
	case TimedOut:
		if c.pace(w, e, o.Took, now); e.sent >= w.lastGood {
			c.fail(w, now)
		}
	case Failed, Missing:
		if s.copies = 0; o.Result == Failed && o.Warmth != LoadFailed {
			c.fail(w, now)
		}
	}
	if e.risk == nil && slices.Contains([]Result{Failed, TimedOut, Broken, Withdrawn}, o.Result) {
		e.risk, e.riskAt = w, e.sent // it may have run
	}
	if o.Final || e.ended {
		e.ended = true
		return Answer{Event: e, Verb: Nothing}
	}
	e.avoid = w
	if o.Result == TooLate || e.launches >= c.mostLaunches || now+c.lastCall(e) >= e.ends || c.spent(e, now) {
		return c.give(e, now)
	}
	return c.hold(e)
}

// known tells whether a load was reported lately; else, with fewer workers than front ends, it probes.
func (c *Chooser) known(w *worker, now time.Duration) bool {
	if !c.probing || c.peers <= len(c.list) || now < w.toldAt+part(backedShare, c.longest) {
		return true
	}
	if !w.probed {
		w.probed, w.probedAt = true, now
		c.probes = append(c.probes, w.Worker)
	}
	return now >= w.probedAt+firstLatency
}

// behind tells of a worker that comes last: others' events wait there, it answered late, or it is mute.
func (w *worker) behind(now time.Duration) bool { return now < max(w.backed, w.late) || w.mute(now) }

// mute tells of a probe unanswered: what is loading there may never be heard of.
func (w *worker) mute(now time.Duration) bool {
	return w.deaf || w.probed && now >= w.probedAt+firstLatency
}

func (c *Chooser) Probed(now time.Duration, name string, r Result, l Load, took time.Duration) {
	if w := c.workers[name]; w != nil {
		w.probed = false
		if r == Handled {
			l.Waiting, l.Told = believable(l.Waiting, mostSize)+c.crowd(w, took), true
		}
		c.told(w, l, now)
		switch w.deaf = r != Handled && r != Full; r {
		case Full: // so many ask that it takes no more probes: it lives, and events wait there
			w.toldAt, w.backed, w.waiting = now, now+part(backedShare, c.longest), max(1, w.waiting)
		case Unreached:
			c.fail(w, now)
		}
	}
}

// told takes a load report that can be believed, and says whether it was one. Where more events wait than
// ours, others take the lanes; ours obey the limit.
func (c *Chooser) told(w *worker, l Load, now time.Duration) bool {
	if !l.Told || !(l.Waiting >= 0 && l.Waiting < mostSize) {
		return false
	}
	w.toldAt, w.backed, w.waiting = now, 0, l.Waiting
	if w.waiting > float64(len(w.out)) {
		w.backed = now + part(backedShare, c.longest)
	}
	return true
}

// crowd is how crowded a worker is by a probe's time, in events that wait there: what it took over the
// shortest of its zone, against the mean of that. It is fresh where reports are late, and stands in for them.
// Where it hardly varies, probes are answered beside the queue and tell nothing.
func (c *Chooser) crowd(w *worker, took time.Duration) float64 {
	z := c.echoes[w.Zone]
	if z == nil {
		z = &echoes{least: took}
		c.echoes[w.Zone] = z
	}
	z.least = min(z.least, took)
	over := min(float64(took)/float64(max(1, z.least))-1, echoMost)
	if z.over += (over - z.over) / averaged; z.over < deepOver {
		return 0
	}
	return echoWeight * max(0, over/z.over-1)
}

// lastCall is how long before the client gives up an event is given up: an answer is not to be had then.
func (c *Chooser) lastCall(e *Event) time.Duration {
	return max(2*c.quantum, min(2*c.expected(e.fn), e.Patience/2))
}

// Loaded takes the answer to a load order.
func (c *Chooser) Loaded(now time.Duration, o Order, r Result, took time.Duration) {
	w, f := c.workers[o.Worker], c.fns[o.Function]
	if c.loadsOut--; w == nil || f == nil {
		return
	}
	usual := f.usualLoad()
	if r != Handled {
		took = max(took, part(loadPatience, usual))
	}
	if took > usual/4 { // else the copies stood; a crowded store or memory shows in loads that fail or take long
		c.loads.follow(now, took, slowLoad*float64(usual), c.loadsOut, 1)
		c.crowded += (float64(took)/float64(usual) - c.crowded) / averaged
	}
	s := f.at(w)
	if s.loading = max(0, s.loading-1); r == Handled || r == Full || r == Failed { // else nothing was heard
		s.copies, s.until = o.Copies, now+c.keep
	}
	if r == Full {
		s.shut = now + usual
	} else if r == Unreached || r == Broken {
		c.fail(w, now)
	}
}

// Wait answers what is due now, and how long to wait until something else is.
func (c *Chooser) Wait(now time.Duration) Steps {
	var st Steps
	if now >= c.askAt {
		st.Ask, c.askAt = true, now+8*c.askWait
	}
	c.survey(now)
	c.silent(now)
	for _, e := range c.recall {
		if c.cancel && e.out != nil && !e.ended && e.typ.anywhere() && e.launches < c.mostLaunches &&
			now+c.lastCall(e) < e.ends {
			st.Answers = append(st.Answers, Answer{Event: e, Verb: Withdraw, Launch: e.launches - 1})
		}
	}
	c.recall = c.recall[:0]
	for _, f := range c.active {
		c.refresh(f, now)
		c.serve(f, false, now, &st)
	}
	for _, f := range c.grown {
		w := c.target(f, true, now)
		if w != nil && now >= w.backed && !c.jam && f.at(w).copies+f.at(w).loading == 0 {
			c.load(f, true, now, &st)
		}
	}
	c.grown = c.grown[:0]
	wake := c.askAt
	for _, f := range c.active {
		wake = min(wake, c.serve(f, true, now, &st), c.provision(f, now, &st))
	}
	c.active = slices.DeleteFunc(c.active, func(f *function) bool {
		f.active = len(f.queue) > 0
		return !f.active
	})
	st.Probes, c.probes = c.probes, nil
	if slices.ContainsFunc(c.list, func(w *worker) bool { return len(w.out) > 0 }) {
		wake = min(wake, now+c.longest/8) // to notice silence
	}
	if wake < math.MaxInt64 {
		st.Next = max(wake-now, c.quantum, time.Microsecond)
	}
	return st
}

// serve releases a function's held events, oldest first, and gives up those past hope (rule 1: in time).
// Those that can't make their target time come after all that can: old must not make young late.
func (c *Chooser) serve(f *function, late bool, now time.Duration, st *Steps) time.Duration {
	wake := time.Duration(math.MaxInt64)
	kept := f.queue[:0]
	for _, e := range f.queue {
		if e.ended {
			continue
		}
		var s *standing
		last := e.ends - c.lastCall(e)
		give := now >= last || c.spent(e, now)
		if !give && late == (now+c.expected(f) > e.due) {
			s = c.warm(f, e, false, now) // where events wait, a copy elsewhere may be heard of in a moment
			if s != nil && (!c.known(s.w, now) || now < min(s.w.backed, e.came+firstLatency)) {
				s, wake = nil, min(wake, now+firstLatency)
			} else if s == nil && now >= e.came+part(overflowShare, e.typ.Target) {
				s = c.warm(f, e, true, now)
				give = s == nil && e.risk == nil && (late || e.over) && c.jam
			}
		}
		if give {
			st.Answers = append(st.Answers, c.give(e, now))
		} else if s != nil {
			st.Answers = append(st.Answers, c.launch(e, s, false, now))
		} else {
			kept, wake = append(kept, e), min(wake, last)
		}
	}
	f.queue = kept
	return wake
}

func (c *Chooser) tick(f *function) time.Duration {
	return max(part(tickShare, f.typ.Target), c.quantum, 1)
}

// provision is the four-condition rule. It advances only for a queue that is not empty or after arrivals.
func (c *Chooser) provision(f *function, now time.Duration, st *Steps) time.Duration {
	if len(f.queue) == 0 {
		return math.MaxInt64
	} else if now < f.next {
		return f.next
	}
	have, under, short, queued := 0, 0, 0, len(f.queue)
	for _, s := range f.stands { // what stands at a worker that can't be used is no instance
		if c.usable(s.w, now) && !s.w.mute(now) && now >= max(s.shut, s.w.refuses[f.tenant].until) {
			have, under = have+s.copies, under+s.loading
		}
	}
	total := have + under
	// a lane runs one event at least, however long answers take against the tick
	power := max(1, float64(c.tick(f))/float64(f.mean())) * float64(f.lanes)
	required := int(math.Ceil(float64(queued) / power))
	switch {
	case total == 0:
		short = 1
	case have == 0:
		in := max(1, float64(f.typ.Target)/float64(f.mean())) * float64(f.lanes)
		short = int(math.Ceil(float64(f.arrived)/in)) - under
	case total < queued && f.arrived < queued:
		short = required - under
	case float64(f.arrived) >= power*float64(total):
		short = required - total
	}
	if f.next = now + c.tick(f); have > 0 {
		f.arrived = 0 // during first loads arrivals add up
	}
	for range min(short, queued) {
		if !c.load(f, total == 0, now, st) {
			break
		}
		total++
	}
	return f.next
}

// load orders one copy; where no order may be given the oldest event goes there itself to bring it.
func (c *Chooser) load(f *function, first bool, now time.Duration, st *Steps) bool {
	w := c.target(f, first, now)
	if w == nil || !first && c.jam || float64(c.loadsOut) >= c.loads.limit {
		return false
	}
	c.known(w, now)
	s := f.at(w)
	if c.orders && c.allowed(now) && s.copies+s.loading < 16 {
		s.loading++
		s.loadEnd = now + min(part(loadPatience*max(1, c.crowded), f.usualLoad()), c.orderLimit)
		c.ordered.Add(now, 1)
		c.loadsOut++
		st.Orders = append(st.Orders, Order{Worker: w.Worker, Function: f.id, Copies: s.copies + s.loading})
		return true
	}
	if !first || !c.loadsOnMiss && c.orders || len(f.queue) == 0 || !c.mayGo(f.queue[0], w, now) ||
		!c.coldRoom(w, f.queue[0], now) {
		return false
	}
	e := f.queue[0]
	f.queue = f.queue[1:]
	st.Answers = append(st.Answers, c.launch(e, s, true, now))
	return true
}

// allowed keeps load orders rationed (rule 5), this one included, counted to the safe side.
func (c *Chooser) allowed(now time.Duration) bool {
	return !c.rationed || c.ordered.All(now)+1 <= c.orderFree+c.orderShare*c.taken.Inner(now)
}

func (c *Chooser) target(f *function, first bool, now time.Duration) *worker {
	fit := slices.DeleteFunc(slices.Clone(c.list), func(w *worker) bool {
		full := func(s *standing) bool { return s.w == w && now < s.shut }
		return !c.room(w, now) || now < w.refuses[f.tenant].until || slices.ContainsFunc(f.stands, full)
	})
	if len(fit) == 0 {
		return nil
	} else if !first {
		return fit[c.chance.Below(len(fit))]
	}
	nearest := func(a, b place) int { return cmp.Compare(a.rank, b.rank) }
	places := make([]place, len(fit))
	for i, w := range fit { // those that hold many events last
		behind := w.behind(now) || float64(len(w.out)) >= manyShare*w.limit
		places[i] = place{w, last(c.rank(w, f.id, 0), behind)}
	}
	slices.SortFunc(places, nearest)
	places = places[:min(len(fit), c.homes(f, now))]
	for i, p := range places {
		places[i].rank = c.rank(p.w, f.id, c.self+1)
	}
	return slices.MinFunc(places, nearest).w
}

// homes is the number of workers for first copies of a function, by its part of the traffic: each front end
// sees few of its events at the first worker of the shared order; together they would overrun it.
func (c *Chooser) homes(f *function, now time.Duration) int {
	part := (f.came.All(now) - c.discount) / (c.came.All(now) + startAs)
	return max(1, int(c.spread*part*float64(min(c.peers, len(c.list)))))
}
