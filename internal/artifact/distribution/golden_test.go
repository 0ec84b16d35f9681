package distribution_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/distribution"
	"lupinpond/internal/artifact/layer"
)

// goldenExchange sends a request to a handler and gives the answer as text: status, the headers that are set, the body.
// There is no Date header, as the handler is called without a server.
func goldenExchange(h http.Handler, method, target string, head ...string) string {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, target, nil)
	for i := 0; i+1 < len(head); i += 2 {
		r.Header.Set(head[i], head[i+1])
	}
	h.ServeHTTP(w, r)
	text := fmt.Sprintf("%d\n", w.Code)
	for _, name := range []string{"Accept-Ranges", "Allow", "Content-Length", "Content-Type", "Etag", "Last-Modified", "Retry-After",
		"X-Content-Type-Options"} {
		if v := w.Header().Get(name); v != "" {
			text += name + ": " + v + "\n"
		}
	}
	return text + "\n" + w.Body.String()
}

func goldenError(status int, reason string) string {
	return fmt.Sprintf("%d\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\n%s\n", status, reason)
}

func goldenChunk(d layer.Digest, packed []byte) string {
	return fmt.Sprintf("200\nAccept-Ranges: bytes\nContent-Length: %d\nContent-Type: application/zstd\nEtag: \"%s\"\n\n%s", len(packed), d, packed)
}

// trip is a transport.
type trip func(*http.Request) (*http.Response, error)

func (f trip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// goldenDistributor makes worker w-1 with a network of one byte a second.
func goldenDistributor(t *testing.T, storage trip, peers ...distribution.Peer) (*distribution.Distributor, *cache.Cache) {
	t.Helper()
	dir := t.TempDir()
	c, err := cache.Open(dir, 1<<30, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s, err := distribution.New(distribution.Options{Name: "w-1", Folder: dir, Cache: c, Peers: func() []distribution.Peer { return peers },
		Store:                 artifactstore.Client{BaseURL: "http://store:8730", HTTPClient: &http.Client{Transport: storage}},
		NetworkBytesPerSecond: 1, UploadShare: 1, MaxUploads: 1, ChunkTimeout: 10 * time.Minute, MaxParallelChunks: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, c
}

// TestGoldenServeChunk: what a worker answers to another one that asks for a chunk.
func TestGoldenServeChunk(t *testing.T) {
	s, c := goldenDistributor(t, func(r *http.Request) (*http.Response, error) { // the store does not answer
		<-r.Context().Done()
		return nil, r.Context().Err()
	})
	h := s.Handler()
	const jsonHead = "\nContent-Type: application/json\n\n"
	big := make([]byte, 200_000) // does not pack: most of what may be given at once
	_, _ = rand.NewChaCha8([32]byte{7}).Read(big)
	d, packed := layer.Sum(big), layer.Compress(big)
	c.Put(d, packed, false)
	other := layer.Sum([]byte("not held")).String()
	after := regexp.MustCompile(`"after-ms":[1-9][0-9]{6,}\}`) // of busy: depends on the clock, hours at one byte a second
	for i, x := range []struct {
		method, target string
		head           []string
		want           string
	}{
		{"GET", "/v1/chunks/" + d.String(), []string{"Lupin-Worker", "w-2", "Lupin-Wait", "30s"}, goldenChunk(d, packed)},
		{"GET", "/v1/chunks/" + d.String(), []string{"Lupin-Worker", "w-3"}, "503" + jsonHead + `{"said":"busy","holders":["w-2"],"after-ms":N}` + "\n"},
		{"GET", "/v1/chunks/" + d.String(), []string{"Lupin-Worker", "w-2", "Lupin-Held", "1"}, "503" + jsonHead + `{"said":"busy","after-ms":N}` + "\n"},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Worker", "w-2", "Lupin-Held", "1"}, "404" + jsonHead + `{"said":"missing"}` + "\n"},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Worker", "w-2", "Lupin-Wait", "1ms"}, "503" + jsonHead + `{"said":"coming","after-ms":20}` + "\n"},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Wait", "31s"}, goldenError(400, "a wait between 0 and 30s is needed")},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Wait", "-1s"}, goldenError(400, "a wait between 0 and 30s is needed")},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Wait", "soon"}, goldenError(400, `time: invalid duration "soon"`)},
		{"GET", "/v1/chunks/xyz", nil, goldenError(400, "digest of 3 letters, 64 are needed")},
		{"PUT", "/v1/chunks/xyz", nil, "405\nAllow: GET, HEAD\nContent-Type: text/plain; charset=utf-8\nX-Content-Type-Options: nosniff\n\nMethod Not Allowed\n"},
		{"GET", "/v1/packages", nil, goldenError(404, "404 page not found")},
	} {
		got := goldenExchange(h, x.method, x.target, x.head...)
		if got = after.ReplaceAllString(got, `"after-ms":N}`); got != x.want {
			t.Errorf("%d: %s %s %q\n got %.400q\nwant %.400q", i, x.method, x.target, x.head, got, x.want)
		}
	}
}

// TestGoldenChunkRequests: the requests of a worker that looks for a chunk: to a peer that is a home of the chunk
// before it, to one after it, and to the store where the peer says that the chunk is missing. Which of the two workers
// is the first home follows from the digest alone.
func TestGoldenChunkRequests(t *testing.T) {
	const (
		after   = `peer: GET /v1/chunks/D worker="w-1" held="1" wait=""`
		before  = `peer: GET /v1/chunks/D worker="w-1" held="" wait="18.75s"`
		storage = `store: GET /v1/chunks/D worker="" held="" wait=""`
	)
	for _, x := range []struct {
		content string
		missing bool // at the peer
		want    []string
	}{
		{"golden 0", false, []string{after}},
		{"golden 1", true, []string{after, storage}},
		{"golden 2", false, []string{before}},
		{"golden 3", true, []string{before, storage}},
	} {
		content := []byte(x.content)
		d, packed := layer.Sum(content), layer.Compress(content)
		var mu sync.Mutex
		var got []string
		note := func(who string, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, fmt.Sprintf("%s: %s %s worker=%q held=%q wait=%q", who, r.Method, strings.ReplaceAll(r.URL.Path, d.String(), "D"),
				r.Header.Get("Lupin-Worker"), r.Header.Get("Lupin-Held"), r.Header.Get("Lupin-Wait")))
		}
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			note("peer", r)
			if x.missing {
				w.WriteHeader(http.StatusNotFound)
				_, _ = io.WriteString(w, `{"said":"missing"}`+"\n")
				return
			}
			_, _ = w.Write(packed)
		}))
		s, _ := goldenDistributor(t, func(r *http.Request) (*http.Response, error) {
			note("store", r)
			return &http.Response{StatusCode: 200, Status: "200 OK", Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(packed)), Request: r}, nil
		}, distribution.Peer{Name: "w-2", Addr: peer.Listener.Addr().String()})
		if got, want := goldenExchange(s.Handler(), "GET", "/v1/chunks/"+d.String(), "Lupin-Wait", "20s"), goldenChunk(d, packed); got != want {
			t.Errorf("%s: got %q, want %q", x.content, got, want)
		}
		s.Close()
		peer.Close()
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: requests\n got %q\nwant %q", x.content, got, x.want)
		}
	}
}
