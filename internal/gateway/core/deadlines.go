package core

import (
	"cmp"
	"slices"
	"time"

	"lupinpond/scheduler"
)

// trackedRequest is a request without a final answer, or with an attempt in flight.
type trackedRequest struct {
	request            *scheduler.Request
	number             uint64 // in the order of submission, so that equal deadlines keep an order
	attempts           int
	worker             string        // of the last attempt
	sentAt             time.Duration // of the last attempt
	deadline           time.Duration
	heapIndex          int // in the deadlines; -1: not in them
	clientDisconnected bool
	mayHaveRun         bool // an attempt ended such that it may have run
}

// deadlineHeap is a heap of requests by their deadlines.
type deadlineHeap []*trackedRequest

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].deadline, h[j].deadline), cmp.Compare(h[i].number, h[j].number)) < 0
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	tracked := x.(*trackedRequest)
	tracked.heapIndex = len(*h)
	*h = append(*h, tracked)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	tracked := (*h)[last]
	tracked.heapIndex = -1
	(*h)[last] = nil
	*h = slices.Delete(*h, last, last+1)
	return tracked
}
