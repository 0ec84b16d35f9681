package fleetindex

import (
	"cmp"
	"slices"
)

// Node is a member's place on a Ring.
type Node[M any] struct {
	Member   M
	point    uint64
	lastWalk uint64 // the last walk that came by
}

// Ring holds members at points of a circle of 2^64. Adding, removing and finding the first member after a point take a time
// that does not grow with the number of members, where their points are spread like random numbers. The zero value is an
// empty ring. It is not safe for use by several goroutines.
type Ring[M any] struct {
	buckets [][]*Node[M] // equal arcs of the circle, each in the order of its points
	shift   uint         // a point's bucket is its leading bits
	count   int

	// of the walk under way
	walkNumber      uint64 // its number
	starts          []uint64
	cursors         []cursor[M] // one from each start: a heap by distance
	steps           int
	remaining       []nodeDistance[M] // what is still to come once it is sorted, the nearest first
	remainingSorted bool
}

// nodeDistance is a node and its distance.
type nodeDistance[M any] struct {
	node     *Node[M]
	distance uint64
}

// maxMeanBucketSize is the mean number of members of a bucket at which the buckets are doubled.
const maxMeanBucketSize = 2

// Len is the number of members.
func (r *Ring[M]) Len() int { return r.count }

// Add puts a member at a point, and gives its node for Remove.
func (r *Ring[M]) Add(member M, point uint64) *Node[M] {
	if r.count >= maxMeanBucketSize*len(r.buckets) {
		r.grow()
	}
	node := &Node[M]{Member: member, point: point}
	r.insert(node)
	r.count++
	return node
}

// Remove takes a node of this ring out.
func (r *Ring[M]) Remove(node *Node[M]) {
	bucket := &r.buckets[r.bucketOf(node.point)]
	for i, other := range *bucket {
		if other == node {
			*bucket = append((*bucket)[:i], (*bucket)[i+1:]...)
			r.count--
			return
		}
	}
}

func (r *Ring[M]) bucketOf(point uint64) int { return int(point >> r.shift) }

func (r *Ring[M]) insert(node *Node[M]) {
	bucket := &r.buckets[r.bucketOf(node.point)]
	i := len(*bucket)
	*bucket = append(*bucket, node)
	for ; i > 0 && (*bucket)[i-1].point > node.point; i-- {
		(*bucket)[i], (*bucket)[i-1] = (*bucket)[i-1], (*bucket)[i]
	}
}

// grow doubles the buckets.
func (r *Ring[M]) grow() {
	old := r.buckets
	if len(old) == 0 {
		r.buckets, r.shift = make([][]*Node[M], 1), 64 // a shift by 64 gives bucket 0
		return
	}
	r.buckets, r.shift = make([][]*Node[M], 2*len(old)), r.shift-1
	for _, bucket := range old {
		for _, node := range bucket {
			r.insert(node)
		}
	}
}

// cursor goes round the ring from one start.
type cursor[M any] struct {
	distance uint64 // of node from the start, along the circle
	node     *Node[M]
	start    uint64
	bucket   int
	index    int // in the bucket, of node
}

// Walk begins a walk that comes by every member once, in the order of its least distance after any of the starts. It ends
// the walk before; members may not be added or removed during one. A walk costs what is come by; one that goes on and on
// sorts what is left.
func (r *Ring[M]) Walk(starts []uint64) {
	r.walkNumber++
	r.starts = append(r.starts[:0], starts...)
	r.cursors, r.remaining, r.remainingSorted, r.steps = r.cursors[:0], r.remaining[:0], false, 0
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

// skipEmptyBuckets moves a cursor that has run off the end of its bucket to the next member.
func (r *Ring[M]) skipEmptyBuckets(c *cursor[M]) {
	for c.index >= len(r.buckets[c.bucket]) {
		c.bucket, c.index = c.bucket+1, 0
		if c.bucket == len(r.buckets) {
			c.bucket = 0
		}
	}
	c.node = r.buckets[c.bucket][c.index]
	c.distance = c.node.point - c.start // along the circle, also past its end
}

// Peek gives the member that the walk comes by next, and its distance; false: it has come by all.
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

// Next goes on to the member after the one that Peek gives.
func (r *Ring[M]) Next() {
	switch {
	case r.remainingSorted && len(r.remaining) > 0:
		r.remaining = r.remaining[1:]
	case !r.remainingSorted && len(r.cursors) > 0:
		r.cursors[0].node.lastWalk = r.walkNumber
		r.advance()
	}
}

// advance moves the first cursor on by one member. Once the cursors have made half as many steps as there are members, they
// meet more and more that were come by before: then it is cheaper to sort the others.
func (r *Ring[M]) advance() {
	if r.steps++; 2*r.steps > r.count {
		r.sortRemaining()
		return
	}
	c := &r.cursors[0]
	c.index++
	r.skipEmptyBuckets(c)
	r.siftDown(0)
}

// sortRemaining sorts what the walk has not come by.
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

// siftDown restores the heap below i.
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
