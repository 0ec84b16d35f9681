package fetch

import (
	"fmt"
	"slices"
	"testing"
)

// A hundred workers have one order for a chunk, and homes are spread over them.
func TestRendezvousOrderSpreadsHomes(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("w", i))
	}
	chunksByFirst := map[string]int{}
	for i := range 2000 {
		order := RendezvousOrder(fmt.Append(nil, i), names)
		chunksByFirst[order[0]]++
		slices.Reverse(names)
		if again := RendezvousOrder(fmt.Append(nil, i), names); !slices.Equal(order, again) {
			t.Fatal("the order depends on that of the list")
		}
	}
	for name, chunks := range chunksByFirst {
		if chunks > 60 {
			t.Errorf("%s is first for %d of 2000 chunks", name, chunks)
		}
	}
	if len(chunksByFirst) < 95 {
		t.Errorf("only %d workers are ever first", len(chunksByFirst))
	}
}
