package fleetindex

// Slot records a member's position in a List. The zero value is in no List.
type Slot struct{ position int } // index in the List plus 1; 0 if in no List

// In reports whether the member is in its List.
func (s *Slot) In() bool { return s.position > 0 }

// List is an unordered list of members. Removing a member moves the last one into its position, so additions
// and removals take constant time. The zero value is empty.
type List[M any] struct {
	members []M
	slots   []*Slot
}

// Add appends a member. The List keeps the member's position in slot, which Remove takes.
func (l *List[M]) Add(member M, slot *Slot) {
	l.members = append(l.members, member)
	l.slots = append(l.slots, slot)
	slot.position = len(l.members)
}

// Remove removes the member of a slot if it is in the List.
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

// All returns the members. The slice must not be modified and is valid until the next Add or Remove.
func (l *List[M]) All() []M { return l.members }

// Len returns the number of members.
func (l *List[M]) Len() int { return len(l.members) }
