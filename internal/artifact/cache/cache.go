// Package cache implements a cache of chunks on a worker's disk. Its size is limited, it survives restarts, and every
// read verifies the chunk. The least valuable chunks are evicted first. A file whose content does not match the digest
// in its name is quarantined, and its chunk counts as missing.
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
	// formatDir is the folder for chunks of the current format. Folders of other formats are not touched.
	formatDir = "chunks-1"

	// maxQuarantined is the maximum number of corrupt files that are kept for operators to inspect.
	maxQuarantined = 16
)

// errNoSpace is logged for a chunk that would not fit even if all unpinned chunks were evicted.
var errNoSpace = errors.New("not enough space even if all unpinned chunks were evicted")

// Stats holds the counters of a cache since it was opened.
type Stats struct {
	Hits      int // reads of a chunk that was cached
	Misses    int // reads of a chunk that was not cached or could not be read
	Corrupt   int // chunks that did not match their digest
	Evicted   int // chunks evicted to make space
	NotStored int // chunks that could not be written; the caller can use them nevertheless
}

// Rarity indicates whether other workers are known to have a chunk.
type Rarity bool

// The rarities of a chunk.
const (
	Common Rarity = false // the chunk was fetched from another worker
	Rare   Rarity = true  // the chunk was fetched from the store
)

// Cache is a cache of chunks in a folder. Its methods are safe for concurrent use.
type Cache struct {
	folder   string
	maxBytes int64
	log      *slog.Logger

	mu      sync.Mutex
	items   map[layer.Digest]*Item
	pins    map[layer.Digest]int  // number of pins of each chunk; pinned chunks are not evicted
	writing map[layer.Digest]bool // chunks that are being written
	size    int64                 // bytes on disk, including chunks that are being written
	stats   Stats
}

// Open opens or creates a cache in a folder. maxBytes is the maximum total size of the chunks on disk. Files that a
// killed process has written only in part are detected when they are read. Files whose names are not digests are
// ignored.
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
	for _, digit := range "0123456789abcdef" {
		folders = append(folders, filepath.Join(c.folder, string(digit)))
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

// loadItem adds a file found in the cache's folder to the items. It is an fs.WalkDirFunc.
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

// Has reports whether a chunk is on disk. It does not verify the chunk.
func (c *Cache) Has(digest layer.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[digest] != nil
}

// Get returns a chunk's verified content and its compressed form. A corrupt chunk is quarantined and counts as missing.
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
		if c.items[digest] == item { // otherwise the chunk was evicted during the read
			c.quarantine(item, err)
		}
		return nil, nil, false
	}
	c.stats.Hits++
	item.Uses++
	item.LastUsed = time.Now()
	return content, compressed, true
}

// quarantine removes an unreadable chunk from the cache and moves its file to the quarantine folder, or deletes the
// file if that holds maxQuarantined files or the move fails. c.mu must be held.
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
	_ = os.Remove(path) // if this fails, the file is overwritten when the chunk is fetched again
}

func (c *Cache) removeItem(item *Item) {
	delete(c.items, item.Digest)
	c.size -= item.Size
}

// Put stores a chunk, which the caller has verified. If the chunk can't be stored because the cache or the disk is
// full, Put counts and logs that; the caller can use the chunk nevertheless.
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
		// The file is written in place: a partly written file is detected when it is read, and renaming a temporary file
		// would cost more than writing the content.
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
		_ = os.Remove(c.chunkPath(digest)) // if this fails, the partly written file is detected when it is read
	}
	c.stats.NotStored++
	c.log.Warn("chunk not cached", "chunk", digest, "err", err)
}

// makeSpace evicts chunks until need more bytes fit, and reports whether they fit. c.mu must be held.
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

// Pin protects chunks from eviction until the returned function is called.
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

// Stats returns the cache's counters.
func (c *Cache) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Size returns the total size in bytes of the chunks on disk, including those that are being written.
func (c *Cache) Size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}
