// Package ingress decides which of a gateway's client connections is served next when the processor is
// short. Like package scheduler it is a deterministic state machine without I/O, clock or goroutines:
// times are durations on any monotonic clock.
//
// Each connection is a Flow with an account of its recent use. A flow that uses much less than the mean
// of the active flows is served at once, and so is a sparse flow, whose client does not send faster than
// it is read, if it uses little. The others take turns, the one with the least use first, and together
// get only the processor time that the rest of the process leaves below a target. A client that sends at
// full speed is thereby slowed down to what is left, over any number of connections, while a client that
// sends little does not wait for it.
package ingress

import (
	"container/heap"
	"math"
	"time"
)

const (
	// targetUtilization is the share of the processor time of the process above which flows that take
	// turns wait.
	targetUtilization = 0.8

	// lightShare is the share of the mean account of the active flows up to which a flow is served
	// without a turn.
	lightShare = 0.5

	// sparseShare is the share of the target up to which a sparse flow is served without a turn.
	sparseShare = 0.02

	// usageHalfLife is the time in which the account of a flow falls to a half.
	usageHalfLife = time.Second

	// activePeriod is the period in which a flow must have been charged to count as active. The count
	// covers the present and the previous period.
	activePeriod = time.Second

	// maxWait is the longest time between two turns while flows wait.
	maxWait = 10 * time.Millisecond

	// minWait is the shortest time that is worth a timer.
	minWait = 100 * time.Microsecond

	// maxCredit limits the processor time that is saved up while no flow waits.
	maxCredit = 2 * time.Millisecond

	// maxDebt limits the excess of processor time that is remembered.
	maxDebt = 10 * time.Millisecond

	// maxBacklog is the age of the oldest message for the event loop above which no further turn begins.
	maxBacklog = 5 * time.Millisecond
)

// Costs, in units of a small valid message.
const (
	// unitTime is the order of magnitude of the processor time of one unit.
	unitTime = 25 * time.Microsecond

	// ReadCost is the cost of a read without its bytes.
	ReadCost = 1

	// MessageCost is the cost of a message without its bytes.
	MessageCost = 1

	// kilobyteCost is the additional cost of 1024 bytes.
	kilobyteCost = 0.25

	// RejectionCost is the additional cost of a message that is refused. A client that keeps to the
	// protocol causes few.
	RejectionCost = 3
)

// BytesCost returns the cost of the bytes of a read.
func BytesCost(bytes int) float64 { return kilobyteCost * float64(bytes) / 1024 }

// Flow is the account of one connection. Its zero value is ready for use by one
// Controller.
type Flow struct {
	usage     float64       // decaying sum of the costs
	updatedAt time.Duration // time to which usage has decayed
	period    int64         // number of the period in which the flow was last charged, plus 1
	sequence  uint64        // position in the order of arrival, while the flow waits
	index     int           // index in the queue, while the flow waits
	waiting   bool
}

// Load is the state of the process that the Controller's decisions depend on.
type Load struct {
	Now     time.Duration
	CPUTime time.Duration // processor time that the process has used; constant if it is unknown
	Backlog time.Duration // age of the oldest message that waits for the event loop
}

// Controller makes the decisions of one gateway. It is not safe for concurrent use.
type Controller struct {
	utilization float64 // processor time per time above which flows wait

	queue      flowQueue
	sequence   uint64
	turn       *Flow // the flow that has its turn; nil: none
	credit     time.Duration
	lastLoad   Load
	lastTurnAt time.Duration
	total      Flow  // account of all flows together
	period     int64 // number of the present period, plus 1
	active     int   // flows charged in the present period
	activeLast int   // flows charged in the period before
}

// New returns a Controller for a process that may use a number of processor cores; 0: one core.
func New(cores float64) *Controller {
	if !(cores > 0) {
		cores = 1
	}
	return &Controller{utilization: targetUtilization * cores}
}

// Register opens the account of a new flow. It begins with a use with which the flow is served at once, but
// not for long, so that clients gain little from opening connection after connection.
func (c *Controller) Register(now time.Duration, flow *Flow) {
	flow.usage, flow.updatedAt = min(c.lightLimit(now), c.sparseLimit()/2), now
}

// IsLight reports whether a flow may be served without a turn. sparse states that nothing of it waited
// before: it was last seen without unread data and without an incomplete message.
func (c *Controller) IsLight(now time.Duration, flow *Flow, sparse bool) bool {
	usage := flow.decayed(now)
	return usage <= c.lightLimit(now) || sparse && usage <= c.sparseLimit()
}

// sparseLimit returns the largest account with which a sparse flow is served without a turn.
func (c *Controller) sparseLimit() float64 {
	unitsPerSecond := c.utilization * float64(time.Second) / float64(unitTime)
	return sparseShare * unitsPerSecond * usageHalfLife.Seconds() / math.Ln2
}

// lightLimit returns the largest account with which any flow is served without a turn.
func (c *Controller) lightLimit(now time.Duration) float64 {
	c.advancePeriod(now)
	return lightShare * c.total.decayed(now) / float64(max(c.active, c.activeLast, 1))
}

// Wait puts a flow that is not light into the queue for a turn.
func (c *Controller) Wait(flow *Flow) {
	c.sequence++
	flow.sequence, flow.waiting = c.sequence, true
	heap.Push(&c.queue, flow)
}

// Leave removes a flow from the queue, if it waits, or ends its turn, if it has one.
func (c *Controller) Leave(flow *Flow) {
	if flow.waiting {
		flow.waiting = false
		heap.Remove(&c.queue, flow.index)
	}
	if c.turn == flow {
		c.turn = nil
	}
}

// Next begins the turn of the next waiting flow and returns it. If none may begin now, it returns nil and
// the time after which Next is to be called again, or 0 if that is not before another flow waits or a
// turn ends.
func (c *Controller) Next(load Load) (flow *Flow, after time.Duration) {
	c.updateCredit(load)
	if c.turn != nil || len(c.queue) == 0 {
		return nil, 0
	}
	latest := c.lastTurnAt + maxWait - load.Now
	if latest > 0 && (c.credit < 0 || load.Backlog > maxBacklog) {
		needed := time.Duration(float64(-c.credit) / c.utilization)
		return nil, min(latest, max(needed, minWait))
	}
	flow = heap.Pop(&c.queue).(*Flow)
	flow.waiting = false
	c.turn, c.lastTurnAt = flow, load.Now
	return flow, 0
}

// updateCredit adds the processor time that was allowed since the last call and subtracts the time that
// was used.
func (c *Controller) updateCredit(load Load) {
	allowed := time.Duration(c.utilization * float64(load.Now-c.lastLoad.Now))
	used := load.CPUTime - c.lastLoad.CPUTime
	c.credit = min(max(c.credit+allowed-used, -maxDebt), maxCredit)
	c.lastLoad = load
}

// Charge adds a cost to the account of a flow.
func (c *Controller) Charge(now time.Duration, flow *Flow, cost float64) {
	c.advancePeriod(now)
	if flow.period != c.period {
		flow.period = c.period
		c.active++
	}
	flow.add(now, cost)
	c.total.add(now, cost)
}

// advancePeriod begins the period of the present time.
func (c *Controller) advancePeriod(now time.Duration) {
	period := int64(now/activePeriod) + 1
	if period == c.period {
		return
	}
	c.activeLast = 0
	if period == c.period+1 {
		c.activeLast = c.active
	}
	c.period, c.active = period, 0
}

// decayed returns the flow's account at a time.
func (f *Flow) decayed(now time.Duration) float64 {
	return f.usage * math.Exp2(-float64(now-f.updatedAt)/float64(usageHalfLife))
}

func (f *Flow) add(now time.Duration, cost float64) {
	f.usage, f.updatedAt = f.decayed(now)+cost, now
}

// flowQueue is a min-heap of waiting flows by their use, then by arrival. The accounts of all flows decay
// in the same proportion, and a waiting flow is not charged, so the order does not change while they
// wait.
type flowQueue []*Flow

func (q flowQueue) Len() int { return len(q) }

func (q flowQueue) Less(i, j int) bool {
	latest := max(q[i].updatedAt, q[j].updatedAt)
	a, b := q[i].decayed(latest), q[j].decayed(latest)
	if a != b {
		return a < b
	}
	return q[i].sequence < q[j].sequence
}

func (q flowQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *flowQueue) Push(x any) {
	flow := x.(*Flow)
	flow.index = len(*q)
	*q = append(*q, flow)
}

// Pop implements heap.Interface.
func (q *flowQueue) Pop() any {
	last := len(*q) - 1
	flow := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return flow
}
