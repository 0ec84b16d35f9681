package platform

import (
	"testing"
	"time"
)

// TestIDInUseIsNotForgotten guards against a second effect of a request whose ID is sent again and again: it must stay
// known for the retention time after its last use, however many retention times have passed since the first.
func TestIDInUseIsNotForgotten(t *testing.T) {
	const retention = 3 * time.Second
	ids := &recentIDs{retention: retention, maxPerGeneration: 100}
	now := time.Now()
	if state := ids.add(1, now); state != idAdded {
		t.Fatal("the first use of the ID:", state)
	}
	for i := range 100 {
		now = now.Add(retention / 3 * time.Duration(1+i%3)) // up to the whole retention time
		ids.add(uint64(1000+i), now)
		if state := ids.add(1, now); state != idKnown {
			t.Fatalf("use %d of the ID: %v", i+2, state)
		}
	}
	now = now.Add(10 * retention)
	ids.add(2, now)
	now = now.Add(10 * retention)
	if state := ids.add(1, now); state != idAdded {
		t.Error("the ID long after its last use:", state)
	}
}

// TestFullSetForgetsNoID guards against a second effect after many other IDs: the set must be bounded, and must not drop
// an ID before its retention time is over.
func TestFullSetForgetsNoID(t *testing.T) {
	const retention, capacity = 3 * time.Second, 100
	ids := &recentIDs{retention: retention, maxPerGeneration: capacity}
	now := time.Now()
	ids.add(1, now)
	for i := range 10 * capacity {
		ids.add(uint64(1000+i), now.Add(time.Duration(i)*time.Millisecond))
	}
	if state := ids.add(1, now.Add(retention)); state != idKnown {
		t.Error("the first ID after many others:", state)
	}
	if size := ids.size(); size > 2*capacity {
		t.Errorf("%d entries, the limit is %d", size, 2*capacity)
	}
	if state := ids.add(2, now.Add(time.Second)); state != idsFull {
		t.Error("an ID beyond the capacity:", state)
	}
	if state := ids.add(2, now.Add(2*retention)); state != idAdded {
		t.Error("an ID after the retention time of the others:", state)
	}
}
