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

// writePackage creates a package with the given files in a temporary folder.
func writePackage(t testing.TB, files map[string][]byte) (folder string) {
	t.Helper()
	folder = t.TempDir()
	for name, content := range files {
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := manifest.Write(folder, manifest.Manifest{Name: "f", Version: "1", Type: "t", Kind: manifest.Process,
		Concurrency: 1, MemoryLimit: 1 << 20, Timeout: config.Duration(time.Second), EntryPoint: "entry"}); err != nil {
		t.Fatal(err)
	}
	return folder
}

func randomBytes(seed byte, size int) []byte {
	content := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(content) // never fails
	return content
}

func discardChunk(layer.ChunkRef, []byte) error { return nil }

// chunkMap stores compressed chunks by digest.
type chunkMap map[layer.Digest][]byte

func (m chunkMap) put(chunk layer.ChunkRef, content []byte) error {
	m[chunk.Digest] = layer.Compress(content)
	return nil
}

func (m chunkMap) get(chunk layer.ChunkRef) ([]byte, error) {
	return layer.Decompress(chunk.Digest, m[chunk.Digest])
}

// Splitting a package, encoding and decoding its release and building it must restore every file. Bytes inserted at the
// front of a large file must change only a few chunks (with chunks of a fixed size, all would change). A modified
// compressed chunk must be reported as corrupt.
func TestSplitAndBuild(t *testing.T) {
	files := map[string][]byte{"entry": randomBytes(1, 1<<20), "weights/a": randomBytes(2, 3<<20), "weights/b/c": nil}
	chunks := chunkMap{}
	release, err := layer.Split(writePackage(t, files), chunks.put)
	if err != nil {
		t.Fatal(err)
	}
	if len(release.Layers) != 2 || release.Size() != 4<<20 {
		t.Errorf("release has %d layers and %d bytes, want 2 layers and 4 MiB", len(release.Layers), release.Size())
	}
	encoded, err := layer.Encode(release)
	if err != nil {
		t.Fatal(err)
	}
	if release, err = layer.Decode(encoded); err != nil {
		t.Fatal(err)
	}
	built, err := layer.Build(release, filepath.Join(t.TempDir(), "x"), chunks.get)
	if err != nil || built.Verify() != nil {
		t.Fatal(err)
	}
	for name, want := range files {
		if got, err := os.ReadFile(filepath.Join(built.Folder, name)); err != nil || string(got) != string(want) {
			t.Errorf("built file %s: got %d bytes, error %v, want the original content", name, len(got), err)
		}
	}
	files["weights/a"] = append([]byte("a few bytes at the front"), files["weights/a"]...)
	next, err := layer.Split(writePackage(t, files), chunks.put)
	if err != nil {
		t.Fatal(err)
	}
	if count, bytes, total := layer.Diff(release, next); count > 2 || bytes > total/10 {
		t.Errorf("inserting a few bytes changed %d chunks with %d of %d bytes", count, bytes, total)
	}
	for digest := range chunks {
		chunks[digest][len(chunks[digest])-1] ^= 1
		break
	}
	corrupt := 0
	for digest, compressed := range chunks {
		if _, err := layer.Decompress(digest, compressed); errors.Is(err, layer.ErrCorrupt) {
			corrupt++
		}
	}
	if corrupt != 1 {
		t.Errorf("detected %d corrupt chunks, want 1", corrupt)
	}
}

// Decode must reject releases that could write outside the package's folder, have another format version or exceed a
// limit. The error must say which layer and file is invalid.
func TestBadReleases(t *testing.T) {
	good, err := layer.Split(writePackage(t, map[string][]byte{"entry": []byte("x")}), discardChunk)
	if err != nil {
		t.Fatal(err)
	}
	chunks := good.Layers[0].Files[0].Chunks
	for want, change := range map[string]func(*layer.Release){
		"format 2":                 func(r *layer.Release) { r.Format = 2 },
		"a path inside":            func(r *layer.Release) { r.Layers[0].Name, r.Layers[0].Files[0].Path = "..", "../x" },
		"layer 0, file 0 (\"/x\")": func(r *layer.Release) { r.Layers[0].Files[0].Path = "/x" },
		"not in layer":             func(r *layer.Release) { r.Layers[0].Files[0].Path = "other" },
		"named twice":              func(r *layer.Release) { r.Layers = append(r.Layers, r.Layers[0]) },
		"1 to 262144": func(r *layer.Release) {
			r.Layers[0].Files[0].Chunks = []layer.ChunkRef{{Digest: chunks[0].Digest, Size: 1 << 30}}
		},
		"manifest": func(r *layer.Release) { r.Manifest = []byte("format: 9") },
	} {
		bad := good
		bad.Layers = []layer.Layer{{Name: "entry", Files: []layer.File{{Path: "entry", Chunks: chunks}}}}
		change(&bad)
		encoded, err := layer.Encode(bad)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := layer.Decode(encoded); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains %s, got %v", want, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	release, err := layer.Split(writePackage(f, map[string][]byte{"entry": randomBytes(1, 100_000)}), discardChunk)
	if err != nil {
		f.Fatal(err)
	}
	encoded, err := layer.Encode(release)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte("\xa1\x01\x01"))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		release, err := layer.Decode(encoded)
		if err != nil {
			return
		}
		again, err := layer.Encode(release)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := layer.Decode(again); err != nil {
			t.Errorf("a decoded release can't be decoded after it is encoded again: %v", err)
		}
	})
}

func FuzzDecompress(f *testing.F) {
	content := []byte("content")
	digest := layer.Sum(content)
	f.Add(layer.Compress(content))
	f.Add([]byte("\x28\xb5\x2f\xfd"))
	f.Fuzz(func(t *testing.T, compressed []byte) {
		if got, err := layer.Decompress(digest, compressed); err == nil && string(got) != string(content) {
			t.Errorf("%q", got)
		}
	})
}

// BenchmarkSteps measures each step of processing chunks (split, hash, compress, decompress with verification), and
// reading the file as a baseline.
func BenchmarkSteps(b *testing.B) {
	content := strings.Repeat(fmt.Sprintf("%x", randomBytes(1, 1<<10)), 1<<13) // 16 MiB, partly compressible
	folder := writePackage(b, map[string][]byte{"entry": []byte(content)})
	var chunks [][]byte
	if _, err := layer.Split(folder, func(_ layer.ChunkRef, content []byte) error {
		chunks = append(chunks, append([]byte(nil), content...))
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	size := int64(0)
	var compressed [][]byte
	for _, chunk := range chunks {
		size += int64(len(chunk))
		compressed = append(compressed, layer.Compress(chunk))
	}
	for name, step := range map[string]func(){
		"split": func() { _, _ = layer.Split(folder, discardChunk) },
		"hash": func() {
			for _, chunk := range chunks {
				layer.Sum(chunk)
			}
		},
		"compress": func() {
			for _, chunk := range chunks {
				layer.Compress(chunk)
			}
		},
		"decompress": func() {
			for i, chunk := range chunks {
				if _, err := layer.Decompress(layer.Sum(chunk), compressed[i]); err != nil {
					b.Fatal(err)
				}
			}
		},
		"read": func() { _, _ = os.ReadFile(filepath.Join(folder, "entry")) },
	} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(size)
			for range b.N {
				step()
			}
		})
	}
}
