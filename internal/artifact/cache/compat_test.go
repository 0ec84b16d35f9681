package cache_test

import (
	"os"
	"strings"
	"testing"

	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/layer"
)

// TestOpenCacheOfEarlierVersion guards against format changes that make existing caches unreadable: chunks that an
// earlier version cached must be found under their digests and verified. The digests are constants because stored
// releases reference them.
func TestOpenCacheOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	c, err := cache.Open(dir, 1<<20, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ digest, content string }{
		{"8641dac8b5c832616c9535fbe59197427eec3194459d36df903a39ad473633cd", strings.Repeat("first ", 500)},
		{"5fe5893e7e4d10461122d856ad50d492f50504262afaf9824f8a52033f84b555", strings.Repeat("second ", 500)},
	} {
		d, err := layer.ParseDigest(x.digest)
		if err != nil {
			t.Fatal(err)
		}
		if !c.Has(d) {
			t.Errorf("chunk %s is missing from the cache", x.digest)
		}
		got, _, ok := c.Get(d)
		if !ok || string(got) != x.content {
			t.Errorf("chunk %s: got %d bytes %.20q, found %v, want %d bytes %.20q",
				x.digest, len(got), got, ok, len(x.content), x.content)
		}
	}
	if got, want := c.Stats(), (cache.Stats{Hits: 2}); got != want {
		t.Errorf("counts: got %+v, want %+v", got, want)
	}
	if got, want := c.Size(), int64(57); got != want {
		t.Errorf("size: got %d bytes, want %d", got, want)
	}
}
