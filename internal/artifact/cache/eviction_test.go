package cache_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/layer"
)

// SelectEvictions must free the needed bytes, or select nothing if all items together are not enough. It must not
// select an item before another one that is not smaller, was not used more or later, is not rarer and has a lower
// value.
func TestSelectEvictions(t *testing.T) {
	now := time.Unix(1e6, 0)
	rapid.Check(t, func(t *rapid.T) {
		var items []cache.Item
		total := int64(0)
		for i := range rapid.IntRange(0, 30).Draw(t, "n") {
			item := cache.Item{
				Size:     int64(rapid.IntRange(1, 100).Draw(t, "size")),
				Uses:     rapid.IntRange(0, 5).Draw(t, "uses"),
				LastUsed: now.Add(-time.Duration(rapid.IntRange(0, 3600).Draw(t, "age")) * time.Second),
				Rare:     rapid.Bool().Draw(t, "rare"),
			}
			item.Digest[0] = byte(i)
			items = append(items, item)
			total += item.Size
		}
		need := int64(rapid.IntRange(0, 2000).Draw(t, "need"))
		evicted := map[layer.Digest]bool{}
		for _, digest := range cache.SelectEvictions(append([]cache.Item(nil), items...), need, now) {
			evicted[digest] = true
		}
		freed := int64(0)
		for _, item := range items {
			if evicted[item.Digest] {
				freed += item.Size
			}
		}
		switch {
		case need > total && len(evicted) > 0:
			t.Fatal("items were selected although all items together are not enough")
		case need <= total && freed < need:
			t.Fatalf("%d bytes were freed, need %d", freed, need)
		}
		for _, a := range items {
			for _, b := range items {
				better := a.Size <= b.Size && a.Uses >= b.Uses && !a.LastUsed.Before(b.LastUsed) &&
					(a.Rare || !b.Rare) && a.Value(now) > b.Value(now)
				if better && evicted[a.Digest] && !evicted[b.Digest] {
					t.Fatalf("%+v was selected before %+v", a, b)
				}
			}
		}
	})
}
