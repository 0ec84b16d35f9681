// Package cache keeps chunks on a worker's disk: bounded, over restarts, verified on every read. What is not worth keeping
// goes first; what does not hold what its name says is set aside and counts as not there.
package cache

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lupinpond/internal/artifact/layer"
)

// formatDir names the folder; another version's folder is left alone and not read.
const formatDir = "chunks-1"

const (
	maxQuarantined   = 16 // corrupt files that are kept for a look
	valueHalvingTime = 10 * time.Minute
	rareChunkWeight  = 2.0 // a chunk that no other worker was seen to hold is worth so many times more
)

// Stats tell what a cache did in this life.
type Stats struct {
	Hits, Misses, Corrupt, Evicted, NotStored int // Unkept: could not be written, used all the same
}

// Item is a chunk as eviction sees it.
type Item struct {
	Digest   layer.Digest
	Size     int64 // on disk
	Uses     int
	LastUsed time.Time // last
	Rare     bool      // no other worker was seen to hold it
}

// Value is what a byte of an item is worth now: more with each use, half with each ten minutes since the last, twice if it is
// rare.
func (i Item) Value(now time.Time) float64 {
	worth := float64(1+i.Uses) * math.Exp2(-float64(now.Sub(i.LastUsed))/float64(valueHalvingTime))
	if i.Rare {
		worth *= rareChunkWeight
	}
	return worth / float64(max(1, i.Size))
}

// SelectEvictions chooses what goes so that need bytes are freed: the least worth first. It chooses nothing if all that may go is not
// enough.
func SelectEvictions(items []Item, need int64, now time.Time) []layer.Digest {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Value(now), b.Value(now)), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	var gone []layer.Digest
	for _, i := range items {
		if need <= 0 {
			return gone
		}
		need -= i.Size
		gone = append(gone, i.Digest)
	}
	if need > 0 {
		return nil
	}
	return gone
}

// Cache is a folder of chunks. Its methods may be called by any goroutine.
type Cache struct {
	folder   string
	maxBytes int64
	log      *slog.Logger

	mu      sync.Mutex
	items   map[layer.Digest]*Item
	pins    map[layer.Digest]int
	writing map[layer.Digest]bool
	size    int64
	stats   Stats
}

// Open opens or makes a cache in a folder; most is its bytes on disk. Files that a killed process left half written are seen
// when they are read; names that are no chunks are left alone.
func Open(folder string, most int64, log *slog.Logger) (*Cache, error) {
	c := &Cache{folder: filepath.Join(folder, formatDir), maxBytes: most, log: log, items: map[layer.Digest]*Item{}, pins: map[layer.Digest]int{},
		writing: map[layer.Digest]bool{}}
	dirs := []string{c.quarantineDir()}
	for _, letter := range "0123456789abcdef" {
		dirs = append(dirs, filepath.Join(c.folder, string(letter)))
	}
	for _, dir := range dirs {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, fmt.Errorf("cache: %w", err)
		}
	}
	others, err := filepath.Glob(filepath.Join(folder, "chunks-*"))
	if err != nil {
		return nil, fmt.Errorf("cache: %w", err)
	}
	for _, o := range others {
		if o != c.folder {
			log.Warn("the cache of another version is not read", "folder", o)
		}
	}
	err = filepath.WalkDir(c.folder, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path == c.quarantineDir():
			return filepath.SkipDir
		case d.IsDir():
			return nil
		}
		digest, err := layer.ParseDigest(d.Name())
		if err != nil {
			return nil
		}
		st, err := d.Info()
		if err != nil {
			return err
		}
		c.items[digest] = &Item{Digest: digest, Size: st.Size(), LastUsed: st.ModTime()}
		c.size += st.Size()
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("cache: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.makeSpace(0)
	return c, nil
}

func (c *Cache) quarantineDir() string { return filepath.Join(c.folder, "aside") }

func (c *Cache) chunkPath(d layer.Digest) string {
	return filepath.Join(c.folder, d.String()[:1], d.String())
}

// Has tells whether a chunk stands there; it may turn out to be corrupt.
func (c *Cache) Has(d layer.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[d] != nil
}

// Get gives a chunk's content and its packed form, verified. A corrupt one is set aside and is not there any more.
func (c *Cache) Get(d layer.Digest) (content, packed []byte, ok bool) {
	c.mu.Lock()
	item := c.items[d]
	if item == nil {
		c.stats.Misses++
		c.mu.Unlock()
		return nil, nil, false
	}
	c.mu.Unlock()
	packed, err := os.ReadFile(c.chunkPath(d))
	if err == nil {
		content, err = layer.Decompress(d, packed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.stats.Misses++
		if c.items[d] != item { // it went meanwhile
			return nil, nil, false
		}
		c.removeItem(item)
		if errors.Is(err, layer.ErrCorrupt) {
			c.stats.Corrupt++
		}
		c.log.Warn("a chunk on disk is set aside", "chunk", d, "err", err)
		c.quarantine(d)
		return nil, nil, false
	}
	c.stats.Hits++
	item.Uses++
	item.LastUsed = time.Now()
	return content, packed, true
}

func (c *Cache) quarantine(d layer.Digest) {
	kept, err := os.ReadDir(c.quarantineDir())
	if err == nil && len(kept) < maxQuarantined && os.Rename(c.chunkPath(d), filepath.Join(c.quarantineDir(), d.String())) == nil {
		return
	}
	_ = os.Remove(c.chunkPath(d)) // what can't be removed is written over when it is fetched
}

func (c *Cache) removeItem(i *Item) {
	delete(c.items, i.Digest)
	c.size -= i.Size
}

// Put keeps a chunk that has been verified. One that can't be kept, for want of room or a full disk, is told in the counts
// and the log: its user has it all the same.
func (c *Cache) Put(d layer.Digest, packed []byte, rare bool) {
	n := int64(len(packed))
	c.mu.Lock()
	if c.items[d] != nil || c.writing[d] {
		c.mu.Unlock()
		return
	}
	room := c.makeSpace(n)
	if room {
		c.writing[d] = true
		c.size += n
	}
	c.mu.Unlock()
	err := errors.New("all that is there is in use")
	if room { // under its name at once: half a file is seen when it is read, and a new name costs more than the bytes
		err = os.WriteFile(c.chunkPath(d), packed, 0o644)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writing, d)
	if err == nil {
		c.items[d] = &Item{Digest: d, Size: n, LastUsed: time.Now(), Rare: rare}
		return
	}
	if room {
		c.size -= n
		_ = os.Remove(c.chunkPath(d)) // what is left of it is seen when it is read
	}
	c.stats.NotStored++
	c.log.Warn("a chunk is not kept", "chunk", d, "err", err)
}

// makeSpace evicts until need more bytes fit; the lock is held.
func (c *Cache) makeSpace(need int64) bool {
	if over := c.size + need - c.maxBytes; over > 0 {
		var may []Item
		for d, i := range c.items {
			if c.pins[d] == 0 {
				may = append(may, *i)
			}
		}
		for _, d := range SelectEvictions(may, over, time.Now()) {
			c.removeItem(c.items[d])
			c.stats.Evicted++
			if err := os.Remove(c.chunkPath(d)); err != nil {
				c.log.Warn("an evicted chunk is still on disk", "chunk", d, "err", err)
			}
		}
	}
	return c.size+need <= c.maxBytes
}

// Pin keeps chunks from eviction until the release that it returns is called.
func (c *Cache) Pin(chunks []layer.ChunkRef) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range chunks {
		c.pins[r.Digest]++
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range chunks {
			if c.pins[r.Digest]--; c.pins[r.Digest] == 0 {
				delete(c.pins, r.Digest)
			}
		}
	}
}

// Stats tells what it did.
func (c *Cache) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Size is its bytes on disk.
func (c *Cache) Size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}
