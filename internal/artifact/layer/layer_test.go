package layer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
)

func writePackage(t testing.TB, content map[string][]byte) string {
	dir := t.TempDir()
	for name, b := range content {
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := manifest.Write(dir, manifest.Manifest{Name: "f", Version: "1", Type: "t", Kind: manifest.Process, Concurrency: 1, MemoryLimit: 1 << 20,
		Timeout: config.Duration(time.Second), EntryPoint: "entry"}); err != nil {
		t.Fatal(err)
	}
	return dir
}

func randomBytes(seed byte, n int) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(b) // never fails
	return b
}

// A release comes back as it was, layer by layer; bytes put in at the front of a large file change a few chunks only.
func TestSplitAndBuild(t *testing.T) {
	content := map[string][]byte{"entry": randomBytes(1, 1<<20), "weights/a": randomBytes(2, 3<<20), "weights/b/c": nil}
	kept := map[layer.Digest][]byte{}
	keep := func(r layer.ChunkRef, b []byte) error {
		kept[r.Digest] = layer.Compress(b)
		return nil
	}
	r, err := layer.Split(writePackage(t, content), keep)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Layers) != 2 || r.Size() != 4<<20 {
		t.Errorf("%d layers, %d bytes", len(r.Layers), r.Size())
	}
	b, err := layer.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if r, err = layer.Decode(b); err != nil {
		t.Fatal(err)
	}
	get := func(c layer.ChunkRef) ([]byte, error) { return layer.Decompress(c.Digest, kept[c.Digest]) }
	p, err := layer.Build(r, filepath.Join(t.TempDir(), "x"), get)
	if err != nil || p.Verify() != nil {
		t.Fatal(err)
	}
	for name, want := range content {
		if got, err := os.ReadFile(filepath.Join(p.Folder, name)); err != nil || string(got) != string(want) {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
	}
	content["weights/a"] = append([]byte("a few bytes at the front"), content["weights/a"]...)
	next, err := layer.Split(writePackage(t, content), keep)
	if err != nil {
		t.Fatal(err)
	}
	if chunks, bytes, all := layer.Diff(r, next); chunks > 2 || bytes > all/10 {
		t.Errorf("%d chunks, %d of %d bytes for a few bytes", chunks, bytes, all)
	}
	for d := range kept {
		kept[d][len(kept[d])-1] ^= 1
		break
	}
	bad := 0
	for d, packed := range kept {
		if _, err := layer.Decompress(d, packed); errors.Is(err, layer.ErrCorrupt) {
			bad++
		}
	}
	if bad != 1 {
		t.Errorf("%d corrupt chunks seen, one is", bad)
	}
}

// What could write outside the folder or is of another version is refused with its place.
func TestBadReleases(t *testing.T) {
	r, err := layer.Split(writePackage(t, map[string][]byte{"entry": []byte("x")}), func(layer.ChunkRef, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	one := r.Layers[0].Files[0].Chunks
	for want, change := range map[string]func(*layer.Release){
		"format 2":                 func(r *layer.Release) { r.Format = 2 },
		"a path inside":            func(r *layer.Release) { r.Layers[0].Name, r.Layers[0].Files[0].Path = "..", "../x" },
		"layer 0, file 0 (\"/x\")": func(r *layer.Release) { r.Layers[0].Files[0].Path = "/x" },
		"not in layer":             func(r *layer.Release) { r.Layers[0].Files[0].Path = "other" },
		"named twice":              func(r *layer.Release) { r.Layers = append(r.Layers, r.Layers[0]) },
		"1 to 262144": func(r *layer.Release) {
			r.Layers[0].Files[0].Chunks = []layer.ChunkRef{{Digest: one[0].Digest, Size: 1 << 30}}
		},
		"manifest": func(r *layer.Release) { r.Manifest = []byte("format: 9") },
	} {
		x := r
		x.Layers = []layer.Layer{{Name: "entry", Files: []layer.File{{Path: "entry", Chunks: one}}}}
		change(&x)
		b, err := layer.Encode(x)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := layer.Decode(b); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	r, err := layer.Split(writePackage(f, map[string][]byte{"entry": randomBytes(1, 100_000)}), func(layer.ChunkRef, []byte) error { return nil })
	if err != nil {
		f.Fatal(err)
	}
	b, err := layer.Encode(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte("\xa1\x01\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := layer.Decode(b)
		if err != nil {
			return
		}
		again, err := layer.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := layer.Decode(again); err != nil {
			t.Errorf("what was read can't be read again: %v", err)
		}
	})
}

func FuzzDecompress(f *testing.F) {
	content := []byte("content")
	d := layer.Sum(content)
	f.Add(layer.Compress(content))
	f.Add([]byte("\x28\xb5\x2f\xfd"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := layer.Decompress(d, b); err == nil && string(got) != string(content) {
			t.Errorf("%q", got)
		}
	})
}

// BenchmarkSteps is what a chunk costs: cutting, hashing, packing, verified unpacking, beside reading the file alone.
func BenchmarkSteps(b *testing.B) {
	dir := writePackage(b, map[string][]byte{"entry": []byte(strings.Repeat(fmt.Sprintf("%x", randomBytes(1, 1<<10)), 1<<13))}) // 16 MiB, some order in it
	var chunks [][]byte
	if _, err := layer.Split(dir, func(_ layer.ChunkRef, c []byte) error {
		chunks = append(chunks, append([]byte(nil), c...))
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	size := int64(0)
	var packed [][]byte
	for _, c := range chunks {
		size += int64(len(c))
		packed = append(packed, layer.Compress(c))
	}
	for name, f := range map[string]func(){
		"cut": func() { _, _ = layer.Split(dir, func(layer.ChunkRef, []byte) error { return nil }) },
		"hash": func() {
			for _, c := range chunks {
				layer.Sum(c)
			}
		},
		"pack": func() {
			for _, c := range chunks {
				layer.Compress(c)
			}
		},
		"unpack": func() {
			for i, c := range chunks {
				if _, err := layer.Decompress(layer.Sum(c), packed[i]); err != nil {
					b.Fatal(err)
				}
			}
		},
		"read": func() { _, _ = os.ReadFile(filepath.Join(dir, "entry")) },
	} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(size)
			for range b.N {
				f()
			}
		})
	}
}
