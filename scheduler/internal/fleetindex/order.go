package fleetindex

// ScaledRing is a ring whose distances count divided by a scale.
type ScaledRing[M any] struct {
	Ring  Ring[M]
	Scale func() float64 // above 0 where the ring has members
}

// MergedRing merges several rings: a member is as far as it is on its own ring, over that ring's scale.
type MergedRing[M any] struct{ rings []*ScaledRing[M] }

// Add puts a ring in.
func (o *MergedRing[M]) Add(ring *ScaledRing[M]) { o.rings = append(o.rings, ring) }

// Walk begins a walk that comes by every member once, the nearest after any of the starts first. It ends the walk before.
func (o *MergedRing[M]) Walk(starts []uint64) {
	for _, r := range o.rings {
		r.Ring.Walk(starts)
	}
}

// Next gives the next member of the walk; false: it has come by all.
func (o *MergedRing[M]) Next() (member M, more bool) {
	var nearest *ScaledRing[M]
	least := 0.0
	for _, r := range o.rings {
		_, distance, more := r.Ring.Peek()
		if !more {
			continue
		}
		if far := float64(distance) / r.Scale(); nearest == nil || far < least {
			nearest, least = r, far
		}
	}
	if nearest == nil {
		return member, false
	}
	member, _, _ = nearest.Ring.Peek()
	nearest.Ring.Next()
	return member, true
}
