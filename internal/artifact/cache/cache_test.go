package cache_test

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/layer"
)

var discardLog = slog.New(slog.DiscardHandler)

func TestMain(m *testing.M) {
	if folder := os.Getenv("LP_TEST_CACHE"); folder != "" {
		putUntilKilled(folder)
	}
	os.Exit(m.Run())
}

// putUntilKilled puts chunks until the process is killed. It prints a line after every ten chunks.
func putUntilKilled(folder string) {
	c, err := cache.Open(folder, 200_000, discardLog)
	if err != nil {
		panic(err)
	}
	for i := 0; ; i++ {
		put(c, i, cache.Rarity(i%2 == 0))
		if i%10 == 0 {
			fmt.Println(i)
		}
	}
}

func chunkContent(i int) []byte {
	return []byte(strings.Repeat(fmt.Sprint("chunk ", i, " "), 1000+i%1000))
}

// TestKilledWhileWriting guards against a crash that leaves corrupt chunks in use or exceeds the size limit. A process
// that writes chunks is killed ten times at an arbitrary moment; after each kill, every chunk in the folder must be
// complete or be quarantined when it is read.
func TestKilledWhileWriting(t *testing.T) {
	folder := t.TempDir()
	for range 10 {
		runUntilKilled(t, folder)
		c, err := cache.Open(folder, 200_000, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		if c.Size() > 200_000 {
			t.Errorf("the cache has %d bytes on disk, more than its limit", c.Size())
		}
		files, err := filepath.Glob(filepath.Join(folder, "chunks-1", "?", "*"))
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		for _, file := range files {
			digest, err := layer.ParseDigest(filepath.Base(file))
			if err != nil {
				t.Errorf("unexpected file %s in the cache", file)
				continue
			}
			if content, _, ok := c.Get(digest); ok && layer.Sum(content) != digest {
				t.Errorf("reading the corrupt file %s succeeded", file)
			}
		}
		if stats := c.Stats(); stats.Hits == 0 {
			t.Errorf("%+v", stats)
		}
	}
}

// runUntilKilled starts a child process that puts chunks, and kills it after it has printed 200 bytes.
func runUntilKilled(t *testing.T, folder string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), "LP_TEST_CACHE="+folder)
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 64)
	for read := 0; read < 200; {
		n, err := output.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
	if err := child.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = child.Wait() // it was killed
}

func put(c *cache.Cache, i int, rarity cache.Rarity) {
	content := chunkContent(i)
	c.Put(layer.Sum(content), layer.Compress(content), rarity)
}

// A pinned chunk must never be evicted, and must be evictable again when it is unpinned. The folder of another cache
// format must not be removed.
func TestPinsAndOtherFormats(t *testing.T) {
	folder := t.TempDir()
	other := filepath.Join(folder, "chunks-0", "aa")
	if err := os.MkdirAll(other, 0o755); err != nil {
		t.Fatal(err)
	}
	c, err := cache.Open(folder, 2000, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	content := chunkContent(0)
	pinned := layer.ChunkRef{Digest: layer.Sum(content), Size: len(content)}
	unpin := c.Pin([]layer.ChunkRef{pinned})
	put(c, 0, cache.Common)
	for i := 1; i < 200; i++ {
		put(c, i, cache.Rare)
	}
	if !c.Has(pinned.Digest) || c.Stats().Evicted == 0 || c.Size() > 2000 {
		t.Errorf("the pinned chunk is cached: %v, counters: %+v, size: %d bytes", c.Has(pinned.Digest), c.Stats(), c.Size())
	}
	unpin()
	for i := 200; i < 400; i++ {
		put(c, i, cache.Rare)
	}
	if c.Has(pinned.Digest) {
		t.Error("a chunk that is no longer pinned was not evicted")
	}
	if _, err := os.Stat(other); err != nil {
		t.Error("the other format's folder was removed: ", err)
	}
}
