package fleetindex

// Node is a member's entry in a Ring.
type Node[M any] struct {
	Member   M
	point    uint64
	lastWalk uint64 // number of the latest traversal that visited it
}

// Ring holds members at points on a circle of 2^64 positions. If the points are distributed uniformly, as
// hashes are, then adding a member, removing one and finding the first one after a point take amortized
// constant time. The zero value is an empty ring. It is not safe for concurrent use.
type Ring[M any] struct {
	buckets [][]*Node[M] // equal arcs of the circle; each is sorted by point
	shift   uint         // a point is in bucket point >> shift
	count   int

	// State of the current traversal.
	walkNumber      uint64
	starts          []uint64
	cursors         []cursor[M]       // one per start; a min-heap by distance
	steps           int               // number of steps of all cursors together
	remaining       []nodeDistance[M] // unvisited members by distance, if remainingSorted
	remainingSorted bool
}

// maxMeanBucketSize is the mean number of members per bucket at which the number of buckets is doubled.
const maxMeanBucketSize = 2

// Len returns the number of members.
func (r *Ring[M]) Len() int { return r.count }

// Add adds a member at a point and returns its node, which Remove takes.
func (r *Ring[M]) Add(member M, point uint64) *Node[M] {
	if r.count >= maxMeanBucketSize*len(r.buckets) {
		r.grow()
	}
	node := &Node[M]{Member: member, point: point}
	r.insert(node)
	r.count++
	return node
}

// Remove removes a node from the ring.
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

// grow doubles the number of buckets and redistributes the members.
func (r *Ring[M]) grow() {
	old := r.buckets
	if len(old) == 0 {
		r.buckets = make([][]*Node[M], 1)
		r.shift = 64 // a shift by 64 bits maps every point to bucket 0
		return
	}
	r.buckets = make([][]*Node[M], 2*len(old))
	r.shift--
	for _, bucket := range old {
		for _, node := range bucket {
			r.insert(node)
		}
	}
}
