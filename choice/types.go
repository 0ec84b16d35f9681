package choice

import (
	"cmp"
	"slices"
	"time"

	"lupinpond/internal/chance"
	"lupinpond/internal/fleetindex"
	"lupinpond/internal/window"
)

// Effect says what may happen when an event runs a second time.
type Effect int

// The effects an event type can have.
const (
	Redeliverable Effect = iota
	Keyed
	AtMostOnce
)

// Group names the workers that drop each other's repeats of a keyed event.
type Group int

// The groups of a keyed event type.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// EventType is what is known beforehand of the events of one type.
type EventType struct {
	Name   string
	Effect Effect
	Group  Group
	Window time.Duration // how long a repeat of a keyed event is dropped
	Target time.Duration
}

// Event is one event in hand. The exported fields are facts; the rest is the Chooser's.
type Event struct {
	ID       string
	Type     string
	Tenant   string
	Function uint64
	Patience time.Duration // how long the client still waits
	Lanes    int           // events that one copy runs at a time
	Memory   float64       // of one copy; 0 where it is not told
	LoadTime time.Duration // usual time of a load; 0 where it is not told
	Repeat   bool          // the client marked it as a repeat

	typ      *evtType
	fn       *function
	came     time.Duration
	ends     time.Duration
	due      time.Duration // end of the target time of its first try
	launches int
	out      *standing     // where a launch is outstanding
	sent     time.Duration // when the outstanding or the last launch left
	cold     bool          // that launch was sent to bring the function there
	risk     *worker       // worker of the first launch that may have run
	riskAt   time.Duration
	avoid    *worker
	ahead    float64 // events that waited there when it left, as far as was known
	over     bool    // beyond its tenant's share when it came
	ended    bool
}

// Outstanding tells whether a launch of the event still has no outcome.
func (e *Event) Outstanding() bool { return e.out != nil }

// Verb is what to do with an event.
type Verb int

// The answers to "where to send this event".
const (
	Hold Verb = iota
	Launch
	Defer
	DeadLetter
	Withdraw // give up the launch, not the event
	Nothing
)

// Answer tells what to do with one event.
type Answer struct {
	Event  *Event
	Verb   Verb
	Worker string
	Launch int           // with Withdraw: which launch, counted from 0
	Back   time.Duration // with Defer: when to come back; 0: not named
}

// Result is how a launch, a probe or a load order ended.
type Result int

// The results.
const (
	Handled   Result = iota
	Failed           // an error: it may have run
	Full             // turned away unseen
	TimedOut         // may have run, or run still
	Unreached        // no connection: never ran
	Broken           // connection lost: may have run
	Withdrawn        // may have run
	TooLate          // never left the front end
	Missing          // function not there: never ran
)

// Warmth is what an answer tells of the copy that the event found.
type Warmth int

// The kinds of warmth.
const (
	Untold Warmth = iota
	FoundWarm
	BeganLoad
	AwaitedLoad
	LoadFailed
)

// Outcome is the end of one launch.
type Outcome struct {
	Worker string
	Took   time.Duration
	Result Result
	Final  bool // the event has ended with this outcome or before
	Warmth Warmth
	Load   Load
}

// Load is what a worker reports of itself, for all that it serves.
type Load struct {
	Told    bool    // false where no report came
	Waiting float64 // events that wait there; 0 where it is not told
}

// Condition is a worker's state in the list.
type Condition int

// The conditions.
const (
	In Condition = iota
	Draining
	Gone
)

// Listing is one line of the list of workers.
type Listing struct {
	Worker    string
	Zone      string
	Cell      string
	Kind      string
	Size      float64 // what it can do, over others; 0: not told
	Condition Condition
	Started   time.Duration // 0: long ago
}

// Order asks a worker to hold copies of a function.
type Order struct {
	Worker   string
	Function uint64
	Copies   int
}

// Steps is what is due at one moment.
type Steps struct {
	Answers []Answer
	Orders  []Order
	Probes  []string      // workers to probe
	Ask     bool          // subscribe to the list of workers
	Next    time.Duration // how long to wait at the most; 0: until news comes
}

type evtType struct {
	EventType
	seen     time.Duration // answers in the average
	mean     time.Duration // of the answer time
	short    time.Duration // shortest mean answer time, slowly forgotten
	patience time.Duration // most that a client has shown
}

// kind is what is known of the workers of one kind.
type kind struct {
	told, number float64                    // sum of the sizes told, workers
	memory       float64                    // of one of them; 0: not told
	seen, takes  float64                    // answers; their time over the mean of its function
	ring         fleetindex.Scaled[*worker] // those that may get something new, at their points on a circle
}

// echoes is what probes of a zone take.
type echoes struct {
	least time.Duration
	over  float64 // mean beyond that, in parts of it
}

type tenant struct {
	quota float64 // events a second within its share, at this front end
	came  *window.Window
	again *window.Window // its marked repeats that were taken
}

// limited is a limit of launches in flight and the answer times that move it.
type limited struct {
	limit     float64
	least     float64
	took, may *window.Window
}

// tally is what one worker counts for, or all of them together.
type tally [tallies]int32

// What is counted of workers.
const (
	inUse     = iota // may get something new, by the list
	ejected          // ejected, or half-open
	free             // with room for an attempt
	freeOfAny        // the same, with ejections not believed
	reported         // a load report came lately
	idle             // and told of no other requests that wait there
	inFlight         // attempts under way
	tallies
)

func (t *tally) count(what int, counts bool) {
	if counts {
		t[what] = 1
	}
}

// replace takes one worker's part out of the sums and puts another in.
func (t *tally) replace(old, now tally) {
	for what := range t {
		t[what] += now[what] - old[what]
	}
}

type worker struct {
	Listing
	limited
	kind     *kind
	hash     uint64
	listed   bool
	update   int                          // the last update of the list that named it
	tally    tally                        // its part of the fleet's
	member   fleetindex.Slot              // among the members of the fleet
	working  fleetindex.Slot              // among those with attempts under way
	deadline fleetindex.Deadline[*worker] // when time alone changes its tally
	node     *fleetindex.Node[*worker]    // in the order of its kind; nil: it gets nothing new
	out      []*Event                     // launches outstanding, oldest first
	lastGood time.Duration
	row      int // failures in a row
	barred   time.Duration
	barFor   time.Duration
	trial    bool
	toldAt   time.Duration // its last load report
	waiting  float64       // events waiting by it
	probed   bool          // a probe is out since probedAt
	deaf     bool          // the last probe failed, nothing came since
	probedAt time.Duration
	late     time.Duration      // until then it comes last for a late answer
	backed   time.Duration      // until then it is believed to have events waiting
	refuses  map[string]refusal // by tenant
	coldLast time.Duration      // last launch while cold, or when it was heard of
	coldPart float64            // part of the pause that is kept from then
}

// refusal is a tenant's events turned away as full.
type refusal struct {
	row   int // in a row
	until time.Duration
}

// standing is what is believed of one function at one worker.
type standing struct {
	w       *worker
	copies  int // believed loaded
	busy    int // own events there
	until   time.Duration
	loading int // loads under way
	loadEnd time.Duration
	shut    time.Duration
}

type function struct {
	id      uint64
	tenant  string
	typ     *evtType
	lanes   int
	load    time.Duration
	memory  float64 // of a copy
	queue   []*Event
	stands  []*standing
	past    window.Last
	arrived int // since the last advance
	came    *window.Window
	next    time.Duration
	active  bool
}

// Chooser decides for one front end.
type Chooser struct {
	chance      chance.Source
	self, peers int
	quantum     time.Duration
	longest     time.Duration // longest target time

	types       map[string]*evtType
	tenants     map[string]*tenant
	workers     map[string]*worker
	kinds       map[string]*kind         // those of the list or told of
	kindList    []*kind                  // the same, in the order in which they became known
	meanSize    float64                  // of the workers of the list
	echoes      map[string]*echoes       // by zone
	zone        string                   // its own, where crossing costs
	members     fleetindex.List[*worker] // those listed or with attempts under way
	busy        fleetindex.List[*worker] // those with attempts under way
	leaving     []*worker                // members that are off the list
	updates     int                      // of the list
	tally       tally
	deadlines   fleetindex.Deadlines[*worker] // of the members' tallies
	stale       bool                          // every tally has to be taken anew
	order       fleetindex.Order[*worker]     // that all front ends share
	points      []uint64                      // of the function whose order is walked
	first, last []*worker                     // room for the workers found on a walk
	fns         map[uint64]*function
	active      []*function // with held events
	grown       []*function // whose first copy may belong elsewhere
	recall      []*Event    // outstanding at workers just barred

	loadsOut   int     // orders not answered yet
	loads      limited // of them
	crowded    float64 // what loads take, over what is usual
	kept       int     // functions after the last clean-up
	all        limited // launches in flight at all workers
	inFlight   int
	rounding   float64 // of the limit on them
	jam        bool    // few workers have room
	unbelieved bool    // too many workers are barred to be believed

	mostLaunches int
	cancel       bool
	probing      bool
	probes       []string // workers to probe
	mostBack     time.Duration

	orders, loadsOnMiss   bool
	keep, orderLimit      time.Duration
	rationed              bool
	orderFree, orderShare float64
	ordered, taken        *window.Window // load orders and events in the ration's window

	coldFrom, multiple float64
	warmAfter, fall    time.Duration
	work               *window.Window // launches to all workers, weighted

	askAt, askWait time.Duration

	shares float64        // events a second within the shares of all tenants
	fresh  *window.Window // first tries
	came   *window.Window // events

	ahead, delayed, delay float64 // events ahead of launches, what they took longer, and that for each

	spread   float64 // workers for first copies, over those that a function fills
	discount float64 // of the events of a function, what may be luck
	countAt  time.Duration
}

// Left says that the client of an event is gone.
func (c *Chooser) Left(e *Event) { e.ended = true }

// EndBy says that an event must have its final answer by a time before its client gives up.
func (c *Chooser) EndBy(e *Event, by time.Duration) { e.ends = min(e.ends, by) }

// kindOf is what is known of a kind, from now on if not before.
func (c *Chooser) kindOf(name string) *kind {
	if c.kinds[name] == nil {
		k := &kind{takes: 1}
		k.ring.Scale = k.size
		c.kinds[name], c.kindList = k, append(c.kindList, k)
		c.order.Add(&k.ring)
	}
	return c.kinds[name]
}

// open tells whether the list lets a worker have anything new (rule 3).
func (w *worker) open() bool { return w.listed && w.Condition == In }

// toldSize is the size that the list tells, 1 where it tells none.
func (w *worker) toldSize() float64 { return cmp.Or(w.Size, 1) }

func (w *worker) refuse(tenant string, r refusal) {
	if w.refuses == nil {
		w.refuses = map[string]refusal{}
	}
	w.refuses[tenant] = r
}

// at is what is believed of the function at a worker, from now on if not before.
func (f *function) at(w *worker) *standing {
	i := slices.IndexFunc(f.stands, func(s *standing) bool { return s.w == w })
	if i < 0 {
		i = len(f.stands)
		f.stands = append(f.stands, &standing{w: w})
	}
	return f.stands[i]
}

// waits is how many events wait there, as far as is known.
func (w *worker) waits(now time.Duration) float64 {
	if now < w.backed {
		return w.waiting
	}
	return 0
}

// believable is a value told, or 0, as if not told, where it is absurd or no number.
func believable(v, most float64) float64 {
	if v > 0 && v < most {
		return v
	}
	return 0
}

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }
