package core

import (
	"cmp"
	"slices"
	"time"

	"lupinpond/scheduler"
)

// trackedRequest is an open request: it has no final answer yet or has an attempt in flight.
type trackedRequest struct {
	request            *scheduler.Request
	sequence           uint64        // position in submission order; breaks ties between equal deadlines
	attempts           int           // number of attempts sent
	worker             string        // worker of the latest attempt
	sentAt             time.Duration // send time of the latest attempt
	deadline           time.Duration
	heapIndex          int // index in the deadline heap; -1 if not in the heap
	clientDisconnected bool
	mayHaveRun         bool // an attempt ended with a result after which it may have run
}

// deadlineHeap is a min-heap of requests ordered by deadline, then by submission.
type deadlineHeap []*trackedRequest

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].deadline, h[j].deadline), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
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
