package fleetindex

import (
	"cmp"
	"slices"
)

// nodeDistance is a node with its distance after the nearest start.
type nodeDistance[M any] struct {
	node     *Node[M]
	distance uint64
}

// cursor traverses the ring from one start.
type cursor[M any] struct {
	distance uint64 // distance of node after start, along the circle
	node     *Node[M]
	start    uint64
	bucket   int // index of the bucket of node
	index    int // index of node in its bucket
}

// Walk starts a traversal that visits every member once, ordered by distance after the nearest of the starts.
// It ends any previous traversal. Members must not be added or removed during a traversal. The cost grows
// with the number of members visited; a long traversal sorts the remaining members once (see advance).
func (r *Ring[M]) Walk(starts []uint64) {
	r.walkNumber++
	r.starts = append(r.starts[:0], starts...)
	r.cursors = r.cursors[:0]
	r.remaining = r.remaining[:0]
	r.remainingSorted = false
	r.steps = 0
	if r.count == 0 {
		return
	}
	for _, start := range starts {
		c := cursor[M]{start: start, bucket: r.bucketOf(start)}
		for bucket := r.buckets[c.bucket]; c.index < len(bucket) && bucket[c.index].point < start; {
			c.index++
		}
		r.skipEmptyBuckets(&c)
		r.cursors = append(r.cursors, c)
	}
	for i := len(r.cursors)/2 - 1; i >= 0; i-- {
		r.siftDown(i)
	}
}

// skipEmptyBuckets moves a cursor that is past the end of its bucket to the next member on the circle, and
// sets the cursor's node and distance.
func (r *Ring[M]) skipEmptyBuckets(c *cursor[M]) {
	for c.index >= len(r.buckets[c.bucket]) {
		c.bucket++
		c.index = 0
		if c.bucket == len(r.buckets) {
			c.bucket = 0
		}
	}
	c.node = r.buckets[c.bucket][c.index]
	c.distance = c.node.point - c.start // unsigned subtraction wraps around at the end of the circle
}

// Peek returns the member that the traversal visits next and its distance; more is false if all members have
// been visited.
func (r *Ring[M]) Peek() (member M, distance uint64, more bool) {
	for !r.remainingSorted && len(r.cursors) > 0 {
		if next := &r.cursors[0]; next.node.lastWalk != r.walkNumber {
			return next.node.Member, next.distance, true
		}
		r.advance()
	}
	if len(r.remaining) == 0 {
		return member, 0, false
	}
	return r.remaining[0].node.Member, r.remaining[0].distance, true
}

// Next advances past the member that Peek returns.
func (r *Ring[M]) Next() {
	switch {
	case r.remainingSorted && len(r.remaining) > 0:
		r.remaining = r.remaining[1:]
	case !r.remainingSorted && len(r.cursors) > 0:
		r.cursors[0].node.lastWalk = r.walkNumber
		r.advance()
	}
}

// advance moves the nearest cursor to its next member. Once the cursors have made more than half as many
// steps as there are members, most of the members that they reach have been visited already, and sorting the
// unvisited ones is cheaper.
func (r *Ring[M]) advance() {
	r.steps++
	if 2*r.steps > r.count {
		r.sortRemaining()
		return
	}
	c := &r.cursors[0]
	c.index++
	r.skipEmptyBuckets(c)
	r.siftDown(0)
}

// sortRemaining collects the unvisited members and sorts them by distance.
func (r *Ring[M]) sortRemaining() {
	r.remainingSorted = true
	for _, bucket := range r.buckets {
		for _, node := range bucket {
			if node.lastWalk == r.walkNumber {
				continue
			}
			least := node.point - r.starts[0]
			for _, start := range r.starts[1:] {
				least = min(least, node.point-start)
			}
			r.remaining = append(r.remaining, nodeDistance[M]{node, least})
		}
	}
	slices.SortFunc(r.remaining, func(a, b nodeDistance[M]) int { return cmp.Compare(a.distance, b.distance) })
}

// siftDown restores the heap order of the cursors from index i down.
func (r *Ring[M]) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(r.cursors); child++ {
			if r.cursors[child].distance < r.cursors[least].distance {
				least = child
			}
		}
		if least == i {
			return
		}
		r.cursors[i], r.cursors[least] = r.cursors[least], r.cursors[i]
		i = least
	}
}
