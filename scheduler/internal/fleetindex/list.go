package fleetindex

// Slot is a member's place in a List. The zero value is in none.
type Slot struct{ position int } // counted from 1

// In tells whether the member is in its List.
func (s *Slot) In() bool { return s.position > 0 }

// List holds members in no order of its own: the last one takes the place of one that is removed. The zero
// value is empty.
type List[M any] struct {
	members []M
	slots   []*Slot
}

// Add adds a member at the end; slot is its place from now on.
func (l *List[M]) Add(member M, slot *Slot) {
	l.members = append(l.members, member)
	l.slots = append(l.slots, slot)
	slot.position = len(l.members)
}

// Remove removes the member of a slot, if it is in.
func (l *List[M]) Remove(slot *Slot) {
	if !slot.In() {
		return
	}
	at, last := slot.position-1, len(l.members)-1
	l.members[at], l.slots[at] = l.members[last], l.slots[last]
	l.slots[at].position = at + 1
	var zero M
	l.members[last], l.slots[last] = zero, nil
	l.members, l.slots = l.members[:last], l.slots[:last]
	slot.position = 0
}

// All gives the members, for reading until the next change.
func (l *List[M]) All() []M { return l.members }

// Len is the number of members.
func (l *List[M]) Len() int { return len(l.members) }
