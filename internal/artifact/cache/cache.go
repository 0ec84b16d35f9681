// Package cache keeps chunks on a worker's disk: bounded, over restarts, verified on every read. The least valuable
// chunks are evicted first; a file that is not what its name says is quarantined and counts as missing.
package cache

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lupinpond/internal/artifact/layer"
)

const (
	// formatDir is the folder of this format's chunks; another format's folder is left alone.
	formatDir = "chunks-1"

	// maxQuarantined is how many corrupt files are left for an operator to look at.
	maxQuarantined = 16
)

var errNoSpace = errors.New("all chunks in the cache are in use")

// Stats counts what a cache did since it was opened.
type Stats struct {
	Hits      int
	Misses    int
	Corrupt   int
	Evicted   int
	NotStored int // chunks that could not be written; they are used all the same
}

// Rarity says whether other workers are known to have a chunk.
type Rarity bool

// The rarities.
const (
	Common Rarity = false // it was fetched from another worker
	Rare   Rarity = true  // it was fetched from the store
)

// Cache is a folder of chunks. Its methods may be called by any goroutine.
type Cache struct {
	folder   string
	maxBytes int64
	log      *slog.Logger

	mu      sync.Mutex
	items   map[layer.Digest]*Item
	pins    map[layer.Digest]int // how often a chunk is protected from eviction
	writing map[layer.Digest]bool
	size    int64 // bytes on disk, those being written included
	stats   Stats
}

// Open opens a cache in a folder, or creates it; maxBytes bounds what it has on disk. Files that a killed process left
// half written are noticed when they are read; files whose names are no digests are left alone.
func Open(folder string, maxBytes int64, log *slog.Logger) (*Cache, error) {
	c := &Cache{
		folder:   filepath.Join(folder, formatDir),
		maxBytes: maxBytes,
		log:      log,
		items:    map[layer.Digest]*Item{},
		pins:     map[layer.Digest]int{},
		writing:  map[layer.Digest]bool{},
	}
	if err := errors.Join(c.makeFolders(), c.warnOfOtherFormats(folder)); err != nil {
		return nil, fmt.Errorf("open chunk cache: %w", err)
	}
	if err := filepath.WalkDir(c.folder, c.loadItem); err != nil {
		return nil, fmt.Errorf("open chunk cache: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.makeSpace(0) // maxBytes may have been larger before
	return c, nil
}

func (c *Cache) makeFolders() error {
	folders := []string{c.quarantineDir()}
	for _, letter := range "0123456789abcdef" {
		folders = append(folders, filepath.Join(c.folder, string(letter)))
	}
	for _, folder := range folders {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cache) warnOfOtherFormats(folder string) error {
	formats, err := filepath.Glob(filepath.Join(folder, "chunks-*"))
	for _, format := range formats {
		if format != c.folder {
			c.log.Warn("cache of another format ignored", "folder", format)
		}
	}
	return err
}

// loadItem adds a file of the cache's folder to its items.
func (c *Cache) loadItem(path string, entry fs.DirEntry, err error) error {
	switch {
	case err != nil:
		return err
	case entry.IsDir() && path == c.quarantineDir():
		return filepath.SkipDir
	case entry.IsDir():
		return nil
	}
	digest, err := layer.ParseDigest(entry.Name())
	if err != nil {
		return nil
	}
	info, err := entry.Info()
	if err != nil {
		return err
	}
	c.items[digest] = &Item{Digest: digest, Size: info.Size(), LastUsed: info.ModTime()}
	c.size += info.Size()
	return nil
}

func (c *Cache) quarantineDir() string { return filepath.Join(c.folder, "aside") }

func (c *Cache) chunkPath(digest layer.Digest) string {
	return filepath.Join(c.folder, digest.String()[:1], digest.String())
}

// Has tells whether a chunk is on disk; it may turn out to be corrupt.
func (c *Cache) Has(digest layer.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[digest] != nil
}

// Get returns a chunk's content and its compressed form, verified. A corrupt chunk is quarantined and counts as
// missing.
func (c *Cache) Get(digest layer.Digest) (content, compressed []byte, ok bool) {
	c.mu.Lock()
	item := c.items[digest]
	if item == nil {
		c.stats.Misses++
		c.mu.Unlock()
		return nil, nil, false
	}
	c.mu.Unlock()
	compressed, err := os.ReadFile(c.chunkPath(digest))
	if err == nil {
		content, err = layer.Decompress(digest, compressed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.stats.Misses++
		if c.items[digest] == item { // else it was evicted meanwhile
			c.quarantine(item, err)
		}
		return nil, nil, false
	}
	c.stats.Hits++
	item.Uses++
	item.LastUsed = time.Now()
	return content, compressed, true
}

// quarantine takes a chunk that could not be read out of the cache; the lock is held.
func (c *Cache) quarantine(item *Item, cause error) {
	c.removeItem(item)
	if errors.Is(cause, layer.ErrCorrupt) {
		c.stats.Corrupt++
	}
	c.log.Warn("cached chunk quarantined", "chunk", item.Digest, "err", cause)
	path := c.chunkPath(item.Digest)
	quarantined, err := os.ReadDir(c.quarantineDir())
	if err == nil && len(quarantined) < maxQuarantined &&
		os.Rename(path, filepath.Join(c.quarantineDir(), item.Digest.String())) == nil {
		return
	}
	_ = os.Remove(path) // what can't be removed is written over when the chunk is fetched
}

func (c *Cache) removeItem(item *Item) {
	delete(c.items, item.Digest)
	c.size -= item.Size
}

// Put stores a chunk that has been verified. A chunk that can't be stored, for want of space or because the disk is
// full, is counted and logged: its user has it all the same.
func (c *Cache) Put(digest layer.Digest, compressed []byte, rarity Rarity) {
	size := int64(len(compressed))
	c.mu.Lock()
	if c.items[digest] != nil || c.writing[digest] {
		c.mu.Unlock()
		return
	}
	reserved := c.makeSpace(size)
	if reserved {
		c.writing[digest] = true
		c.size += size
	}
	c.mu.Unlock()
	err := errNoSpace
	if reserved {
		// not renamed into place: half a file is noticed when it is read, and a new name costs more than the bytes
		err = os.WriteFile(c.chunkPath(digest), compressed, 0o644)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writing, digest)
	if err == nil {
		c.items[digest] = &Item{Digest: digest, Size: size, LastUsed: time.Now(), Rare: rarity == Rare}
		return
	}
	if reserved {
		c.size -= size
		_ = os.Remove(c.chunkPath(digest)) // what is left of it is noticed when it is read
	}
	c.stats.NotStored++
	c.log.Warn("chunk not cached", "chunk", digest, "err", err)
}

// makeSpace evicts chunks until need more bytes fit, and tells whether they do; the lock is held.
func (c *Cache) makeSpace(need int64) bool {
	if excess := c.size + need - c.maxBytes; excess > 0 {
		var evictable []Item
		for digest, item := range c.items {
			if c.pins[digest] == 0 {
				evictable = append(evictable, *item)
			}
		}
		for _, digest := range SelectEvictions(evictable, excess, time.Now()) {
			c.removeItem(c.items[digest])
			c.stats.Evicted++
			if err := os.Remove(c.chunkPath(digest)); err != nil {
				c.log.Warn("evicted chunk not removed", "chunk", digest, "err", err)
			}
		}
	}
	return c.size+need <= c.maxBytes
}

// Pin protects chunks from eviction until the function that it returns is called.
func (c *Cache) Pin(chunks []layer.ChunkRef) (unpin func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, chunk := range chunks {
		c.pins[chunk.Digest]++
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, chunk := range chunks {
			if c.pins[chunk.Digest]--; c.pins[chunk.Digest] == 0 {
				delete(c.pins, chunk.Digest)
			}
		}
	}
}

// Stats returns the counters since the cache was opened.
func (c *Cache) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Size is the cache's bytes on disk.
func (c *Cache) Size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}
