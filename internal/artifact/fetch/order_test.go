package fetch

import (
	"fmt"
	"slices"
	"testing"
)

// The order of a chunk must not depend on the order of the endpoint list: workers with differently sorted lists would
// disagree on the homes. The first homes of many chunks must be spread over the workers.
func TestRendezvousOrderSpreadsHomes(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("w", i))
	}
	chunksByFirstHome := map[string]int{}
	for i := range 2000 {
		order := RendezvousOrder(fmt.Append(nil, i), names)
		chunksByFirstHome[order[0]]++
		slices.Reverse(names)
		if again := RendezvousOrder(fmt.Append(nil, i), names); !slices.Equal(order, again) {
			t.Fatal("the rendezvous order depends on the order of the list")
		}
	}
	for name, chunks := range chunksByFirstHome {
		if chunks > 60 {
			t.Errorf("%s is the first home of %d of 2000 chunks", name, chunks)
		}
	}
	if len(chunksByFirstHome) < 95 {
		t.Errorf("only %d of 100 workers are the first home of a chunk", len(chunksByFirstHome))
	}
}
