package artifactstore_test

import (
	"bytes"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/layer"
)

// TestOpenStoreOfEarlierVersion guards against format changes that make existing stores unreadable: a store folder
// written by an earlier version must list its releases with the same digests, and each release must be complete, with
// all chunks verified.
func TestOpenStoreOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	s, c := openStore(t, dir, artifactstore.Capacity{MaxConcurrent: 64}, 0)
	digests := map[string]string{
		"1": "be53225e517c90ae351309a91d743ec091f7c91ace05f02e1a0a23ede6cc06ce",
		"2": "58ebc6fc50361c794501e494982bb519c4be59007724de828b0f38a67909bd9b",
	}
	want := []artifactstore.PackageInfo{{Name: "f", Version: "2", Digest: digests["2"]}}
	if got, err := c.Packages(t.Context()); err != nil || !slices.Equal(got, want) {
		t.Errorf("releases: got %+v, error %v, want %+v", got, err, want)
	}
	if n, err := s.CollectGarbage(); err != nil || n != 0 {
		t.Errorf("collected: got %d chunks, error %v, want 0: a release references every chunk", n, err)
	}
	for i, version := range []string{"1", "2"} {
		encoded, err := c.Release(t.Context(), "f", version)
		if err != nil {
			t.Fatal(err)
		}
		if got := layer.Sum(encoded).String(); got != digests[version] {
			t.Errorf("release %s: got digest %s, want %s", version, got, digests[version])
		}
		r, err := layer.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if m, err := r.ParseManifest(); err != nil || m.Name != "f" || m.Version != version || m.MemoryLimit != 1<<20 {
			t.Errorf("release %s: got manifest %+v, error %v, want name f, version %s, memory %d",
				version, m, err, version, 1<<20)
		}
		if again, err := layer.Encode(r); err != nil || !bytes.Equal(again, encoded) {
			t.Errorf("release %s encoded again: got %x, error %v, want %x", version, again, err, encoded)
		}
		content := make([]byte, 3000) // the random content with which the stored package was created
		_, _ = rand.NewChaCha8([32]byte{byte(i + 1)}).Read(content)
		chunks := r.Chunks()
		if len(chunks) != 1 {
			t.Fatalf("release %s: got %d chunks, want 1", version, len(chunks))
		}
		compressed, err := c.Chunk(t.Context(), chunks[0].Digest)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := layer.Decompress(chunks[0].Digest, compressed); err != nil || !bytes.Equal(got, content) {
			t.Errorf("release %s: got chunk of %d bytes, error %v, want the %d bytes that were stored",
				version, len(got), err, len(content))
		}
		requireCompleteRelease(t, c, version)
	}
}
