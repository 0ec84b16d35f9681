package fleetindex

import (
	"container/heap"
	"time"
)

// Deadline is a member's place among Deadlines. The zero value, with its Member set, is in none.
type Deadline[M any] struct {
	Member       M
	at           time.Duration
	heapPosition int // in the heap, counted from 1; 0: not in it
}

// Deadlines holds members by the time at which something of them changes. The zero value is empty.
type Deadlines[M any] struct{ entries deadlineHeap[M] }

// Set puts a member in at a time, or moves it there.
func (d *Deadlines[M]) Set(e *Deadline[M], at time.Duration) {
	switch {
	case e.heapPosition == 0:
		e.at = at
		heap.Push(&d.entries, e)
	case e.at != at:
		e.at = at
		heap.Fix(&d.entries, e.heapPosition-1)
	}
}

// Clear takes a member out, if it is in.
func (d *Deadlines[M]) Clear(e *Deadline[M]) {
	if e.heapPosition > 0 {
		heap.Remove(&d.entries, e.heapPosition-1)
	}
}

// PopExpired takes out one member whose time has come, the earliest first; false: there is none.
func (d *Deadlines[M]) PopExpired(now time.Duration) (member M, found bool) {
	if len(d.entries) == 0 || d.entries[0].at > now {
		return member, false
	}
	return heap.Pop(&d.entries).(*Deadline[M]).Member, true
}

// Len is the number of members in it.
func (d *Deadlines[M]) Len() int { return len(d.entries) }

// deadlineHeap is the heap.
type deadlineHeap[M any] []*Deadline[M]

func (h deadlineHeap[M]) Len() int           { return len(h) }
func (h deadlineHeap[M]) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap[M]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}

// Push adds an entry; for container/heap.
func (h *deadlineHeap[M]) Push(x any) {
	e := x.(*Deadline[M])
	*h = append(*h, e)
	e.heapPosition = len(*h)
}

// Pop takes the last entry; for container/heap.
func (h *deadlineHeap[M]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapPosition = 0
	return e
}
