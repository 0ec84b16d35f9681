package cache

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/artifact/layer"
)

const (
	// valueHalvingTime is how long after its last use a chunk is worth half as much.
	valueHalvingTime = 10 * time.Minute

	// rareChunkWeight is how many times more a chunk is worth that no other worker is known to have.
	rareChunkWeight = 2.0
)

// Item is a chunk as eviction sees it.
type Item struct {
	Digest   layer.Digest
	Size     int64 // bytes on disk
	Uses     int
	LastUsed time.Time
	Rare     bool // no other worker is known to have it
}

// Value is what a byte of an item is worth now: more with each use, half with each valueHalvingTime since the last, and
// rareChunkWeight times as much if the item is rare.
func (i Item) Value(now time.Time) float64 {
	value := float64(1+i.Uses) * math.Exp2(-float64(now.Sub(i.LastUsed))/float64(valueHalvingTime))
	if i.Rare {
		value *= rareChunkWeight
	}
	return value / float64(max(1, i.Size))
}

// SelectEvictions chooses items so that need bytes are freed, the least valuable first. If all items together are not
// enough it chooses none.
func SelectEvictions(items []Item, need int64, now time.Time) []layer.Digest {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Value(now), b.Value(now)), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	var evicted []layer.Digest
	for _, item := range items {
		if need <= 0 {
			return evicted
		}
		need -= item.Size
		evicted = append(evicted, item.Digest)
	}
	if need > 0 {
		return nil
	}
	return evicted
}
