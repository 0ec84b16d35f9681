package fleetindex

// Scaled is a ring whose distances count divided by a scale.
type Scaled[M any] struct {
	Ring  Ring[M]
	Scale func() float64 // above 0 where the ring has members
}

// Order merges several rings: a member is as far as it is on its own ring, over that ring's scale.
type Order[M any] struct{ rings []*Scaled[M] }

// Add puts a ring in.
func (o *Order[M]) Add(ring *Scaled[M]) { o.rings = append(o.rings, ring) }

// Walk begins a walk that comes by every member once, the nearest after any of the starts first. It ends the walk before.
func (o *Order[M]) Walk(starts []uint64) {
	for _, r := range o.rings {
		r.Ring.Walk(starts)
	}
}

// Next gives the next member of the walk; false: it has come by all.
func (o *Order[M]) Next() (member M, more bool) {
	var nearest *Scaled[M]
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
	nearest.Ring.Pass()
	return member, true
}
