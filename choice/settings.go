package choice

import (
	"math"
	"time"

	"lupinpond/internal/chance"
	"lupinpond/internal/window"
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
	if t.Target > c.longest { // reports are believed for longer
		c.longest = t.Target
		c.stale = true
	}
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

// AddKind tells the memory of a worker of one kind, in the unit of the events' memory.
func (c *Chooser) AddKind(name string, memory float64) {
	c.kindOf(name).memory = believable(memory, mostMemory)
}

// Allowed tells what the front end may do; back is the longest time to come back that clients honour, or 0.
func (c *Chooser) Allowed(launches int, cancel, probe bool, back time.Duration) {
	c.mostLaunches, c.cancel, c.probing, c.mostBack = max(1, launches), cancel, probe, back
}

// Loading tells how functions come to workers, how long copies and orders last, and the ration of orders.
func (c *Chooser) Loading(orders, onMiss bool, keep, limit, within time.Duration, free, share float64) {
	c.orders, c.loadsOnMiss, c.keep, c.orderLimit = orders, onMiss, keep, limit
	c.rationed, c.orderFree, c.orderShare = within > 0, free, share
	c.ordered, c.taken = window.New(within), window.New(within)
}

// Crossing says that launches to other zones than this one cost something.
func (c *Chooser) Crossing(own string) { c.zone = own }
