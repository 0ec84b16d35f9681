package cache_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/layer"
)

// SelectEvictions frees what is needed with the least valuable items, or nothing; an item that is used more, later or
// is rarer than another of its size never goes before it.
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
			t.Fatal("items were evicted though all are not enough")
		case need <= total && freed < need:
			t.Fatalf("%d freed of %d", freed, need)
		}
		for _, a := range items {
			for _, b := range items {
				better := a.Size <= b.Size && a.Uses >= b.Uses && !a.LastUsed.Before(b.LastUsed) &&
					(a.Rare || !b.Rare) && a.Value(now) > b.Value(now)
				if better && evicted[a.Digest] && !evicted[b.Digest] {
					t.Fatalf("%+v was evicted before %+v", a, b)
				}
			}
		}
	})
}
