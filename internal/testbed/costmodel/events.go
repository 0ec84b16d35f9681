package costmodel

import "time"

// event is a call at a simulated time. Events with the same time run in the order of their numbers.
type event struct {
	at     time.Duration
	number uint64
	run    func(now time.Duration)
}

// eventQueue implements heap.Interface; the first element is the next event.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether event i runs before event j.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
