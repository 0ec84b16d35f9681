package artifactstore_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
)

// golden returns the bytes of testdata/golden/NAME.hex. The file holds hexadecimal digits and any white space.
func golden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return string(b)
}

// goldenPackage creates the package whose release and chunk are in testdata/golden.
func goldenPackage(t *testing.T, version string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "entry"), []byte("#!/bin/sh\necho golden\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, err := manifest.Write(dir, manifest.Manifest{Name: "f-1", Version: version, Type: "t-2", Kind: manifest.Process,
		Concurrency: 3, MemoryLimit: 4 << 20, Timeout: config.Duration(5 * time.Second), EntryPoint: "entry"}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// goldenExchange sends a request to a handler and returns the response as text: the status, the listed headers that are
// set, and the body. headers alternates names and values of request headers. The response has no Date header because
// the handler is called without a server.
func goldenExchange(h http.Handler, method, target, body string, headers ...string) string {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	h.ServeHTTP(w, r)
	text := fmt.Sprintf("%d\n", w.Code)
	for _, name := range []string{"Accept-Ranges", "Allow", "Content-Length", "Content-Range", "Content-Type", "Etag",
		"Last-Modified", "Retry-After", "X-Content-Type-Options"} {
		if v := w.Header().Get(name); v != "" {
			text += name + ": " + v + "\n"
		}
	}
	return text + "\n" + w.Body.String()
}

func goldenError(status int, reason string) string {
	return fmt.Sprintf("%d\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\n%s\n",
		status, reason)
}

// goldenContent returns the text of a successful response with the complete content and its digest as the ETag.
func goldenContent(kind, digest, body string) string {
	return fmt.Sprintf("200\nAccept-Ranges: bytes\nContent-Length: %d\nContent-Type: %s\nEtag: %q\n\n%s",
		len(body), kind, digest, body)
}

const (
	chunkDigest  = "c03a8e0740a3848402667c2bc8a0157ce5ce1433501b71b834c117d6144e1b93"
	firstDigest  = "b2d70c43af12f543f94cbc7fcccbc3108610c2a0edfe7533221120c5f95bdd9e"
	secondDigest = "c673e7812d8a894e078b59e1020616a104bdd05742245cd749f586c4b157a16b"
	absentDigest = "00000000000000000000000000000000000000000000000000000000000000ff"
)

// TestGoldenHandler guards against changes of the HTTP API: it compares the responses of every endpoint with recorded
// ones. It is a single long test because each response depends on the preceding requests to the same store.
func TestGoldenHandler(t *testing.T) {
	const (
		noContent = "204\n\n"
		okJSON    = "200\nContent-Type: application/json\n\n"
		notFound  = "404 page not found"
	)
	dir := t.TempDir()
	s, err := artifactstore.Open(artifactstore.Options{Folder: dir,
		Capacity: artifactstore.Capacity{MaxConcurrent: 4}, GracePeriod: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	h := s.Handler(true)
	compressed, first, second := golden(t, "chunk"), golden(t, "release-v1"), golden(t, "release-v2")
	entry := func(version, digest string) string {
		return `{"name":"f-1","version":"` + version + `","digest":"` + digest + `"}`
	}
	for i, x := range []struct {
		method, target, body string
		headers              []string
		want                 string
	}{
		{"GET", "/v1/packages", "", nil, goldenContent("application/json",
			"d53d18c23212ea7b6300594bb89bce60218f6eff2b9d628b8cc42d3e79bbd5ab", "[]")},
		{"GET", "/v1/counts", "", nil, okJSON +
			`{"served":0,"bytes":0,"turned-away":0,"stopped":0,"stops":0,"most":0,"chunks":0}` + "\n"},
		{"POST", "/v1/missing", `["` + chunkDigest + `"]`, nil, okJSON + `["` + chunkDigest + `"]` + "\n"},
		{"POST", "/v1/releases", first, nil, goldenError(409, "the release names chunks that are not there: chunk "+
			chunkDigest[:12]+": stat FOLDER/chunks/"+chunkDigest[:2]+"/"+chunkDigest+": no such file or directory")},
		{"PUT", "/v1/chunks/" + chunkDigest, compressed, nil, noContent},
		{"PUT", "/v1/chunks/" + chunkDigest, compressed, nil, noContent},
		{"PUT", "/v1/chunks/" + absentDigest, compressed, nil,
			goldenError(400, "chunk 000000000000: not the content that the digest names")},
		{"PUT", "/v1/chunks/xyz", compressed, nil, goldenError(400, "digest of 3 letters, 64 are needed")},
		{"POST", "/v1/missing", `["` + chunkDigest + `"]`, nil, okJSON + "[]\n"},
		{"POST", "/v1/missing", `["xyz"]`, nil, goldenError(400, "digest of 3 letters, 64 are needed")},
		{"POST", "/v1/missing", `{}`, nil, goldenError(400, "json: cannot unmarshal object into Go value of type []string")},
		{"POST", "/v1/releases", first, nil, okJSON + entry("v1", firstDigest) + "\n"},
		{"POST", "/v1/releases", "x", nil, goldenError(400, "release: unexpected EOF")},
		{"GET", "/v1/packages", "", nil, goldenContent("application/json",
			"f5f94ac09acfdb0069009ae4fbbf89d6cedb4a1f3322a8fc5e80f72e7dd6171e", "["+entry("v1", firstDigest)+"]")},
		{"GET", "/v1/packages/f-1", "", nil, goldenContent("application/cbor", firstDigest, first)},
		{"POST", "/v1/releases", second, nil, okJSON + entry("v2", secondDigest) + "\n"},
		{"GET", "/v1/packages/f-1", "", nil, goldenContent("application/cbor", secondDigest, second)},
		{"GET", "/v1/packages/f-1/v1", "", nil, goldenContent("application/cbor", firstDigest, first)},
		{"GET", "/v1/packages/f-1/v9", "", nil, goldenError(404, `store: no release "v9" of "f-1": file does not exist`)},
		{"GET", "/v1/packages/f-9", "", nil, goldenError(404, `store: no release "" of "f-9": file does not exist`)},
		{"GET", "/v1/chunks/" + chunkDigest, "", nil, goldenContent("application/zstd", chunkDigest, compressed)},
		{"GET", "/v1/chunks/" + chunkDigest, "", []string{"If-None-Match", `"` + chunkDigest + `"`},
			fmt.Sprintf("304\nEtag: %q\n\n", chunkDigest)},
		{"GET", "/v1/chunks/" + chunkDigest, "", []string{"Range", "bytes=1-4"},
			fmt.Sprintf(`206
Accept-Ranges: bytes
Content-Length: 4
Content-Range: bytes 1-4/%d
Content-Type: application/zstd
Etag: %q

%s`,
				len(compressed), chunkDigest, compressed[1:5])},
		{"GET", "/v1/chunks/" + absentDigest, "", nil, goldenError(404, "chunk "+absentDigest+" is not here")},
		{"GET", "/v1/chunks/xyz", "", nil, goldenError(400, "digest of 3 letters, 64 are needed")},
		{"GET", "/v1/counts", "", nil, okJSON +
			fmt.Sprintf(`{"served":3,"bytes":%d,"turned-away":0,"stopped":0,"stops":0,"most":3,"chunks":1}`,
				3*len(compressed)) + "\n"},
		{"DELETE", "/v1/packages/f-1/v2", "", nil,
			goldenError(400, "store: v2 is the newest version of f-1: publish another one first")},
		{"DELETE", "/v1/packages/f-1/v1", "", nil, noContent},
		{"DELETE", "/v1/packages/f-1/v1", "", nil, goldenError(404, "store: no version v1 of f-1: file does not exist")},
		{"POST", "/v1/stop", "", nil, goldenError(400, `time: invalid duration ""`)},
		{"POST", "/v1/stop?for=-1s", "", nil, goldenError(400, "for: a duration above 0")},
		{"POST", "/v1/counts", "", nil, `405
Allow: GET, HEAD
Content-Type: text/plain; charset=utf-8
X-Content-Type-Options: nosniff

Method Not Allowed
`},
		{"GET", "/v1/other", "", nil, goldenError(404, notFound)},
	} {
		// One error response contains the store's folder, which differs between runs.
		got := strings.ReplaceAll(goldenExchange(h, x.method, x.target, x.body, x.headers...), dir, "FOLDER")
		if got != x.want {
			t.Errorf("%d: %s %s\n got %q\nwant %q", i, x.method, x.target, got, x.want)
		}
	}
	if got, want := goldenExchange(s.Handler(false), "POST", "/v1/releases", first),
		goldenError(404, notFound); got != want {
		t.Errorf("publishing to a read-only handler: got %q, want %q", got, want)
	}

	// The Retry-After of a stopped store depends on the clock: the test checks its range and replaces it.
	if got := goldenExchange(h, "POST", "/v1/stop?for=1h", ""); got != noContent {
		t.Errorf("stop: got %q, want %q", got, noContent)
	}
	got := goldenExchange(h, "GET", "/v1/packages", "")
	_, retryAfter, _ := strings.Cut(got, "Retry-After: ")
	retryAfter, _, _ = strings.Cut(retryAfter, "\n")
	if n, err := strconv.Atoi(retryAfter); err != nil || n < 1 || n > 3600 {
		t.Errorf("stopped: Retry-After got %q, want whole seconds from 1 to 3600", retryAfter)
	}
	want := `503
Content-Type: text/plain; charset=utf-8
Retry-After: N
X-Content-Type-Options: nosniff

the store has stopped
`
	if got = strings.Replace(got, "Retry-After: "+retryAfter, "Retry-After: N", 1); got != want {
		t.Errorf("stopped:\n got %q\nwant %q", got, want)
	}
	want = okJSON + fmt.Sprintf(`{"served":3,"bytes":%d,"turned-away":0,"stopped":1,"stops":1,"most":3,"chunks":1}`,
		3*len(compressed)) + "\n"
	if got := goldenExchange(h, "GET", "/v1/counts", ""); got != want {
		t.Errorf("counts of a stopped store:\n got %q\nwant %q", got, want)
	}
}

// TestGoldenRejection compares the rejection of a store at capacity with a recorded one. With the zero Capacity the
// first fetch is rejected.
func TestGoldenRejection(t *testing.T) {
	s, err := artifactstore.Open(artifactstore.Options{Folder: t.TempDir(), GracePeriod: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	want := `429
Content-Type: text/plain; charset=utf-8
Retry-After: 2
X-Content-Type-Options: nosniff

too many fetches at a time
`
	if got := goldenExchange(s.Handler(false), "GET", "/v1/packages", ""); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestGoldenClient guards against changes of the client's requests: it compares them, with their bodies and in their
// order, with recorded ones. The recorded chunk depends on the version of the zstd library: another version may
// compress the same content to different bytes.
func TestGoldenClient(t *testing.T) {
	s, err := artifactstore.Open(artifactstore.Options{Folder: t.TempDir(),
		Capacity: artifactstore.Capacity{MaxConcurrent: 4}, GracePeriod: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var requests []string
	h := s.Handler(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		requests = append(requests, r.Method+" "+r.RequestURI+" "+r.Header.Get("Content-Type")+"\n"+string(b))
		mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, r)
	}))
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
		s.Close()
	})
	c, ctx := artifactstore.Client{BaseURL: server.URL, HTTPClient: client}, context.Background()
	published, err := c.Publish(ctx, goldenPackage(t, "v1"))
	if want := (artifactstore.PackageInfo{Name: "f-1", Version: "v1", Digest: firstDigest}); err != nil ||
		published.PackageInfo != want {
		t.Fatalf("publish: got %+v, %v, want %+v", published.PackageInfo, err, want)
	}
	if _, err := c.Packages(ctx); err != nil {
		t.Error(err)
	}
	if b, err := c.Release(ctx, "f-1", ""); err != nil || string(b) != golden(t, "release-v1") {
		t.Errorf("release: got %x, %v, want release-v1", b, err)
	}
	if _, err := c.Release(ctx, "f/1 x", "v/1"); err == nil ||
		err.Error() != `store: 404 Not Found: store: no release "v/1" of "f/1 x": file does not exist` {
		t.Errorf("missing release: got error %v", err)
	}
	b, err := c.Chunk(ctx, published.Release.Chunks()[0].Digest)
	if err != nil || string(b) != golden(t, "chunk") {
		t.Errorf("chunk: got %x, %v, want the recorded chunk", b, err)
	}
	stats, err := c.Stats(ctx)
	if want := (artifactstore.Stats{Served: 1, Bytes: int64(len(b)), MaxFetchesPerChunk: 1,
		DistinctChunks: 1}); err != nil || !reflect.DeepEqual(stats, want) {
		t.Errorf("counts: got %+v, %v, want %+v", stats, err, want)
	}
	want := []string{
		"POST /v1/missing \n" + `["` + chunkDigest + `"]`,
		"PUT /v1/chunks/" + chunkDigest + " \n" + golden(t, "chunk"),
		"POST /v1/releases \n" + golden(t, "release-v1"),
		"GET /v1/packages \n",
		"GET /v1/packages/f-1 \n",
		"GET /v1/packages/f%2F1%20x/v%2F1 \n",
		"GET /v1/chunks/" + chunkDigest + " \n",
		"GET /v1/counts \n",
	}
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(requests, want) {
		t.Errorf("requests:\n got %q\nwant %q", requests, want)
	}
}
