package cache_test

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/layer"
)

var discardLog = slog.New(slog.DiscardHandler)

func TestMain(m *testing.M) {
	if dir := os.Getenv("LP_TEST_CACHE"); dir != "" {
		c, err := cache.Open(dir, 200_000, discardLog)
		if err != nil {
			panic(err)
		}
		for i := 0; ; i++ {
			b := chunkContent(i)
			c.Put(layer.Sum(b), layer.Compress(b), i%2 == 0)
			if i%10 == 0 {
				fmt.Println(i)
			}
		}
	}
	os.Exit(m.Run())
}

func chunkContent(i int) []byte {
	return []byte(strings.Repeat(fmt.Sprint("chunk ", i, " "), 1000+i%1000))
}

// Killed at any moment, ten times over one folder: what the next life finds is whole or set aside, and within its bound.
func TestKilledWhileWriting(t *testing.T) {
	dir := t.TempDir()
	for range 10 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "LP_TEST_CACHE="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 64)
		for read := 0; read < 200; {
			n, err := out.Read(buf)
			if err != nil {
				t.Fatal(err)
			}
			read += n
		}
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = cmd.Wait()
		c, err := cache.Open(dir, 200_000, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		if c.Size() > 200_000 {
			t.Errorf("%d bytes are kept", c.Size())
		}
		files, err := filepath.Glob(filepath.Join(dir, "chunks-1", "?", "*"))
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		for _, f := range files {
			d, err := layer.ParseDigest(filepath.Base(f))
			if err != nil {
				t.Errorf("%s is left", f)
				continue
			}
			if b, _, ok := c.Get(d); ok && layer.Sum(b) != d {
				t.Errorf("%s was given corrupt", f)
			}
		}
		if n := c.Stats(); n.Hits == 0 {
			t.Errorf("%+v", n)
		}
	}
}

// What is pinned stays, whatever comes; the cache of another version is left alone.
func TestPinsAndOtherVersions(t *testing.T) {
	dir := t.TempDir()
	other := filepath.Join(dir, "chunks-0", "aa")
	if err := os.MkdirAll(other, 0o755); err != nil {
		t.Fatal(err)
	}
	c, err := cache.Open(dir, 2000, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	first := chunkContent(0)
	ref := layer.ChunkRef{Digest: layer.Sum(first), Size: len(first)}
	release := c.Pin([]layer.ChunkRef{ref})
	c.Put(ref.Digest, layer.Compress(first), false)
	for i := 1; i < 200; i++ {
		b := chunkContent(i)
		c.Put(layer.Sum(b), layer.Compress(b), true)
	}
	if !c.Has(ref.Digest) || c.Stats().Evicted == 0 || c.Size() > 2000 {
		t.Errorf("pinned: %v, %+v, %d bytes", c.Has(ref.Digest), c.Stats(), c.Size())
	}
	release()
	for i := 200; i < 400; i++ {
		b := chunkContent(i)
		c.Put(layer.Sum(b), layer.Compress(b), true)
	}
	if c.Has(ref.Digest) {
		t.Error("nothing was evicted that had been pinned")
	}
	if _, err := os.Stat(other); err != nil {
		t.Error("the other version's folder is gone: ", err)
	}
}

// Evict frees what is needed with the least worth, or nothing; what is used more, later or rarer than another of its size
// never goes before it.
func TestSelectEvictions(t *testing.T) {
	now := time.Unix(1e6, 0)
	rapid.Check(t, func(t *rapid.T) {
		var items []cache.Item
		total := int64(0)
		for i := range rapid.IntRange(0, 30).Draw(t, "n") {
			x := cache.Item{Size: int64(rapid.IntRange(1, 100).Draw(t, "size")), Uses: rapid.IntRange(0, 5).Draw(t, "uses"),
				LastUsed: now.Add(-time.Duration(rapid.IntRange(0, 3600).Draw(t, "age")) * time.Second), Rare: rapid.Bool().Draw(t, "rare")}
			x.Digest[0] = byte(i)
			items = append(items, x)
			total += x.Size
		}
		need := int64(rapid.IntRange(0, 2000).Draw(t, "need"))
		gone := map[layer.Digest]bool{}
		for _, d := range cache.SelectEvictions(append([]cache.Item(nil), items...), need, now) {
			gone[d] = true
		}
		freed := int64(0)
		for _, x := range items {
			if gone[x.Digest] {
				freed += x.Size
			}
		}
		switch {
		case need > total && len(gone) > 0:
			t.Fatal("what is not enough went all the same")
		case need <= total && freed < need:
			t.Fatalf("%d freed of %d", freed, need)
		}
		for _, a := range items {
			for _, b := range items {
				better := a.Size <= b.Size && a.Uses >= b.Uses && !a.LastUsed.Before(b.LastUsed) && (a.Rare || !b.Rare) && a.Value(now) > b.Value(now)
				if better && gone[a.Digest] && !gone[b.Digest] {
					t.Fatalf("%+v went before %+v", a, b)
				}
			}
		}
	})
}
