package cache

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lupinpond/internal/artifact/layer"
)

const (
	// valueHalvingTime is the half-life of a chunk's value after its last use.
	valueHalvingTime = 10 * time.Minute

	// rareChunkWeight is the factor by which the value of a chunk is higher if no other worker is known to have it.
	rareChunkWeight = 2.0
)

// Item describes a cached chunk for eviction.
type Item struct {
	Digest   layer.Digest
	Size     int64     // size on disk in bytes
	Uses     int       // number of reads since the cache was opened
	LastUsed time.Time // time of the last read, or of writing the chunk
	Rare     bool      // no other worker is known to have the chunk
}

// Value returns the item's value per byte at time now:
//
//	(1 + Uses) * 2^(-timeSinceLastUse/valueHalvingTime) * weight / Size
//
// where weight is rareChunkWeight for a rare item and 1 otherwise.
func (i Item) Value(now time.Time) float64 {
	value := float64(1+i.Uses) * math.Exp2(-float64(now.Sub(i.LastUsed))/float64(valueHalvingTime))
	if i.Rare {
		value *= rareChunkWeight
	}
	return value / float64(max(1, i.Size))
}

// SelectEvictions selects items to evict so that at least need bytes are freed, the least valuable first. If all items
// together are smaller than need, it selects none. It sorts items in place.
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
