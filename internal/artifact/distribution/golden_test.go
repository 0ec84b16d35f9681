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

// goldenExchange sends a request to a handler and returns the response as text: the status, the listed headers that are
// set, and the body. headers alternates names and values of request headers. The response has no Date header because
// the handler is called without a server.
func goldenExchange(h http.Handler, method, target string, headers ...string) string {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, target, nil)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	h.ServeHTTP(w, r)
	text := fmt.Sprintf("%d\n", w.Code)
	for _, name := range []string{"Accept-Ranges", "Allow", "Content-Length", "Content-Type", "Etag", "Last-Modified",
		"Retry-After", "X-Content-Type-Options"} {
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

func goldenChunk(d layer.Digest, compressed []byte) string {
	return fmt.Sprintf("200\nAccept-Ranges: bytes\nContent-Length: %d\nContent-Type: application/zstd\nEtag: \"%s\"\n\n%s",
		len(compressed), d, compressed)
}

// roundTripFunc is an http.RoundTripper that calls the function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// goldenDistributor creates the Distributor of worker w-1 with a network capacity of one byte per second.
func goldenDistributor(t *testing.T, storeTransport roundTripFunc, peers ...distribution.Peer,
) (*distribution.Distributor, *cache.Cache) {
	t.Helper()
	dir := t.TempDir()
	c, err := cache.Open(dir, 1<<30, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s, err := distribution.New(distribution.Options{Name: "w-1", Folder: dir, Cache: c,
		Peers: func() []distribution.Peer { return peers },
		Store: artifactstore.Client{BaseURL: "http://store:8730",
			HTTPClient: &http.Client{Transport: storeTransport}},
		NetworkBytesPerSecond: 1, UploadShare: 1, MaxUploads: 1, ChunkTimeout: 10 * time.Minute, MaxParallelChunks: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, c
}

// TestGoldenServeChunk guards against changes of the chunk protocol between workers: it compares the responses to
// requests for chunks with recorded ones.
func TestGoldenServeChunk(t *testing.T) {
	s, c := goldenDistributor(t, func(r *http.Request) (*http.Response, error) { // the store does not answer
		<-r.Context().Done()
		return nil, r.Context().Err()
	})
	h := s.Handler()
	const jsonHead = "\nContent-Type: application/json\n\n"
	big := make([]byte, 200_000) // incompressible: uploading it uses most of the burst
	_, _ = rand.NewChaCha8([32]byte{7}).Read(big)
	d, compressed := layer.Sum(big), layer.Compress(big)
	c.Put(d, compressed, false)
	other := layer.Sum([]byte("not held")).String()
	// The retry time of a busy reply depends on the clock; at one byte per second it is hours.
	retryAfter := regexp.MustCompile(`"after-ms":[1-9][0-9]{6,}\}`)
	for i, x := range []struct {
		method, target string
		headers        []string
		want           string
	}{
		{"GET", "/v1/chunks/" + d.String(), []string{"Lupin-Worker", "w-2", "Lupin-Wait", "30s"}, goldenChunk(d, compressed)},
		{"GET", "/v1/chunks/" + d.String(), []string{"Lupin-Worker", "w-3"},
			"503" + jsonHead + `{"said":"busy","holders":["w-2"],"after-ms":N}` + "\n"},
		{"GET", "/v1/chunks/" + d.String(), []string{"Lupin-Worker", "w-2", "Lupin-Held", "1"},
			"503" + jsonHead + `{"said":"busy","after-ms":N}` + "\n"},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Worker", "w-2", "Lupin-Held", "1"},
			"404" + jsonHead + `{"said":"missing"}` + "\n"},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Worker", "w-2", "Lupin-Wait", "1ms"},
			"503" + jsonHead + `{"said":"coming","after-ms":20}` + "\n"},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Wait", "31s"}, goldenError(400, "a wait between 0 and 30s is needed")},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Wait", "-1s"}, goldenError(400, "a wait between 0 and 30s is needed")},
		{"GET", "/v1/chunks/" + other, []string{"Lupin-Wait", "soon"}, goldenError(400, `time: invalid duration "soon"`)},
		{"GET", "/v1/chunks/xyz", nil, goldenError(400, "digest of 3 letters, 64 are needed")},
		{"PUT", "/v1/chunks/xyz", nil, `405
Allow: GET, HEAD
Content-Type: text/plain; charset=utf-8
X-Content-Type-Options: nosniff

Method Not Allowed
`},
		{"GET", "/v1/packages", nil, goldenError(404, "404 page not found")},
	} {
		got := goldenExchange(h, x.method, x.target, x.headers...)
		if got = retryAfter.ReplaceAllString(got, `"after-ms":N}`); got != x.want {
			t.Errorf("%d: %s %s %q\n got %.400q\nwant %.400q", i, x.method, x.target, x.headers, got, x.want)
		}
	}
}

// TestGoldenChunkRequests guards against changes of the requests that a worker sends to fetch a chunk: to a peer that
// precedes it in the chunk's rendezvous order, to a peer that follows it, and to the store if the peer replies that the
// chunk is missing. The digest alone determines which of the two workers comes first.
func TestGoldenChunkRequests(t *testing.T) {
	const (
		cachedOnlyRequest = `peer: GET /v1/chunks/D worker="w-1" held="1" wait=""`
		waitRequest       = `peer: GET /v1/chunks/D worker="w-1" held="" wait="18.75s"`
		storeRequest      = `store: GET /v1/chunks/D worker="" held="" wait=""`
	)
	for _, x := range []struct {
		content string
		missing bool // the peer replies that the chunk is missing
		want    []string
	}{
		{"golden 0", false, []string{cachedOnlyRequest}},
		{"golden 1", true, []string{cachedOnlyRequest, storeRequest}},
		{"golden 2", false, []string{waitRequest}},
		{"golden 3", true, []string{waitRequest, storeRequest}},
	} {
		content := []byte(x.content)
		d, compressed := layer.Sum(content), layer.Compress(content)
		var mu sync.Mutex
		var got []string
		record := func(server string, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, fmt.Sprintf("%s: %s %s worker=%q held=%q wait=%q",
				server, r.Method, strings.ReplaceAll(r.URL.Path, d.String(), "D"),
				r.Header.Get("Lupin-Worker"), r.Header.Get("Lupin-Held"), r.Header.Get("Lupin-Wait")))
		}
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			record("peer", r)
			if x.missing {
				w.WriteHeader(http.StatusNotFound)
				_, _ = io.WriteString(w, `{"said":"missing"}`+"\n")
				return
			}
			_, _ = w.Write(compressed)
		}))
		s, _ := goldenDistributor(t, func(r *http.Request) (*http.Response, error) {
			record("store", r)
			return &http.Response{StatusCode: 200, Status: "200 OK", Header: http.Header{},
				Body: io.NopCloser(bytes.NewReader(compressed)), Request: r}, nil
		}, distribution.Peer{Name: "w-2", Addr: peer.Listener.Addr().String()})
		if got, want := goldenExchange(s.Handler(), "GET", "/v1/chunks/"+d.String(), "Lupin-Wait", "20s"),
			goldenChunk(d, compressed); got != want {
			t.Errorf("%s: got %q, want %q", x.content, got, want)
		}
		s.Close()
		peer.Close()
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: requests\n got %q\nwant %q", x.content, got, x.want)
		}
	}
}
