package fleetindex

// ScaledRing is a Ring whose distances are divided by a scale: a larger scale brings its members nearer.
type ScaledRing[M any] struct {
	Ring  Ring[M]
	Scale func() float64 // must return a value above 0 if the ring has members
}

// MergedRing traverses several rings as one, ordered by scaled distance: the distance of a member on its own
// ring divided by the scale of that ring.
type MergedRing[M any] struct{ rings []*ScaledRing[M] }

// Add adds a ring to the merged ones.
func (m *MergedRing[M]) Add(ring *ScaledRing[M]) { m.rings = append(m.rings, ring) }

// Walk starts a traversal that visits every member once, in order of the scaled distance after the nearest
// of the starts. It ends any previous traversal.
func (m *MergedRing[M]) Walk(starts []uint64) {
	for _, ring := range m.rings {
		ring.Ring.Walk(starts)
	}
}

// Next returns the next member of the traversal; more is false if all members have been visited.
func (m *MergedRing[M]) Next() (member M, more bool) {
	var nearest *ScaledRing[M]
	least := 0.0
	for _, ring := range m.rings {
		_, distance, more := ring.Ring.Peek()
		if !more {
			continue
		}
		if scaled := float64(distance) / ring.Scale(); nearest == nil || scaled < least {
			nearest, least = ring, scaled
		}
	}
	if nearest == nil {
		return member, false
	}
	member, _, _ = nearest.Ring.Peek()
	nearest.Ring.Next()
	return member, true
}
