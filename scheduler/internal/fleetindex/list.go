// Package fleetindex holds the data structures behind a front end's view of the fleet: members in a row of which any can be
// taken out, deadlines in their order, and a ring that finds the members nearest to some points. What they cost does not
// grow with the fleet, or hardly. They hold no decision and no tuned value.
package fleetindex

// Slot is a member's place in a List. The zero value is in none.
type Slot struct{ position int } // counted from 1

// In tells whether the member is in its List.
func (s *Slot) In() bool { return s.position > 0 }

// List holds members in a row without an order of its own: one that is taken out leaves its place to the last one. The
// zero value is empty.
type List[M any] struct {
	members []M
	slots   []*Slot
}

// Add puts a member at the end; slot is its place from now on.
func (l *List[M]) Add(member M, slot *Slot) {
	l.members, l.slots = append(l.members, member), append(l.slots, slot)
	slot.position = len(l.members)
}

// Remove takes the member of a slot out, if it is in.
func (l *List[M]) Remove(slot *Slot) {
	if !slot.In() {
		return
	}
	at, last := slot.position-1, len(l.members)-1
	l.members[at], l.slots[at] = l.members[last], l.slots[last]
	l.slots[at].position = at + 1
	var none M
	l.members[last], l.slots[last] = none, nil
	l.members, l.slots = l.members[:last], l.slots[:last]
	slot.position = 0
}

// All is the row, for reading until the next change.
func (l *List[M]) All() []M { return l.members }

// Len is the number of members.
func (l *List[M]) Len() int { return len(l.members) }
