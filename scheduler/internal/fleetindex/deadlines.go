package fleetindex

import (
	"container/heap"
	"time"
)

// Deadline is a member's entry in Deadlines. An entry with only Member set is in no Deadlines.
type Deadline[M any] struct {
	Member       M
	at           time.Duration
	heapPosition int // index in the heap plus 1; 0 if not in the heap
}

// Deadlines is a priority queue of members ordered by the time at which each member's state changes next. The
// zero value is empty.
type Deadlines[M any] struct{ heap deadlineHeap[M] }

// Set adds a member with a deadline, or changes the deadline of a member that is present.
func (d *Deadlines[M]) Set(deadline *Deadline[M], at time.Duration) {
	switch {
	case deadline.heapPosition == 0:
		deadline.at = at
		heap.Push(&d.heap, deadline)
	case deadline.at != at:
		deadline.at = at
		heap.Fix(&d.heap, deadline.heapPosition-1)
	}
}

// Clear removes a member if it is present.
func (d *Deadlines[M]) Clear(deadline *Deadline[M]) {
	if deadline.heapPosition > 0 {
		heap.Remove(&d.heap, deadline.heapPosition-1)
	}
}

// PopExpired removes and returns the member with the earliest deadline if that deadline has expired.
func (d *Deadlines[M]) PopExpired(now time.Duration) (member M, found bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return member, false
	}
	return heap.Pop(&d.heap).(*Deadline[M]).Member, true
}

// Len returns the number of members.
func (d *Deadlines[M]) Len() int { return len(d.heap) }

// deadlineHeap is a min-heap of entries ordered by time.
type deadlineHeap[M any] []*Deadline[M]

func (h deadlineHeap[M]) Len() int           { return len(h) }
func (h deadlineHeap[M]) Less(i, j int) bool { return h[i].at < h[j].at }

func (h deadlineHeap[M]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition = i + 1
	h[j].heapPosition = j + 1
}

// Push implements heap.Interface.
func (h *deadlineHeap[M]) Push(x any) {
	deadline := x.(*Deadline[M])
	*h = append(*h, deadline)
	deadline.heapPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[M]) Pop() any {
	last := len(*h) - 1
	deadline := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	deadline.heapPosition = 0
	return deadline
}
