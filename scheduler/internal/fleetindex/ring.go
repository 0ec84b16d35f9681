package fleetindex

// Node is a member's place on a Ring.
type Node[M any] struct {
	Member   M
	point    uint64
	lastWalk uint64 // number of the last walk that visited it
}

// Ring holds members at points of a circle of 2^64. Adding, removing and finding the first member after a
// point take a time that does not grow with the number of members, where their points are spread like random
// numbers. The zero value is an empty ring. It is not safe for use by several goroutines.
type Ring[M any] struct {
	buckets [][]*Node[M] // equal arcs of the circle, each in the order of its points
	shift   uint         // a point's bucket is its leading bits
	count   int

	// The walk under way.
	walkNumber      uint64
	starts          []uint64
	cursors         []cursor[M]       // one from each start: a heap by distance
	steps           int               // of all cursors
	remaining       []nodeDistance[M] // the members not visited, once they are sorted, the nearest first
	remainingSorted bool
}

// maxMeanBucketSize is the mean number of members of a bucket at which the buckets are doubled.
const maxMeanBucketSize = 2

// Len is the number of members.
func (r *Ring[M]) Len() int { return r.count }

// Add adds a member at a point, and gives its node for Remove.
func (r *Ring[M]) Add(member M, point uint64) *Node[M] {
	if r.count >= maxMeanBucketSize*len(r.buckets) {
		r.grow()
	}
	node := &Node[M]{Member: member, point: point}
	r.insert(node)
	r.count++
	return node
}

// Remove removes a node of this ring.
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
		r.buckets = make([][]*Node[M], 1)
		r.shift = 64 // a shift by 64 gives bucket 0
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
