package fleetindex

// ScaledRing is a Ring whose distances count divided by a scale.
type ScaledRing[M any] struct {
	Ring  Ring[M]
	Scale func() float64 // above 0 where the ring has members
}

// MergedRing walks several rings as one: a member is as far as it is on its own ring, over that ring's scale.
type MergedRing[M any] struct{ rings []*ScaledRing[M] }

// Add adds a ring.
func (m *MergedRing[M]) Add(ring *ScaledRing[M]) { m.rings = append(m.rings, ring) }

// Walk starts a walk that visits every member once, the nearest after any of the starts first. It ends the
// walk before.
func (m *MergedRing[M]) Walk(starts []uint64) {
	for _, ring := range m.rings {
		ring.Ring.Walk(starts)
	}
}

// Next gives the next member of the walk; more is false when it has visited all.
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
