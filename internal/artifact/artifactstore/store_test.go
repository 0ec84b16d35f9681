package artifactstore_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/base/httpclient"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv("LP_TEST_STORE"); dir != "" {
		publishUntilKilled(dir)
	}
	goleak.VerifyTestMain(m)
}

// writePackage makes a package of random content drawn from seed.
func writePackage(dir, version string, seed byte, size int) (string, error) {
	content := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(content) // never fails
	if err := os.WriteFile(filepath.Join(dir, "entry"), content, 0o755); err != nil {
		return "", err
	}
	_, err := manifest.Write(dir, manifest.Manifest{Name: "f", Version: version, Type: "t", Kind: manifest.Process, Concurrency: 1, MemoryLimit: 1 << 20,
		Timeout: config.Duration(time.Second), EntryPoint: "entry"})
	return dir, err
}

func openStore(t *testing.T, dir string, c artifactstore.Capacity, grace time.Duration) (*artifactstore.Store, artifactstore.Client) {
	s, err := artifactstore.Open(artifactstore.Options{Folder: dir, Capacity: c, GracePeriod: grace})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.Handler(true))
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
		s.Close()
	})
	return s, artifactstore.Client{BaseURL: server.URL, HTTPClient: client}
}

// publishUntilKilled publishes version 2 and kills itself at a step of it.
func publishUntilKilled(dir string) {
	at, _ := strconv.Atoi(os.Getenv("LP_TEST_AT"))
	s, err := artifactstore.Open(artifactstore.Options{Folder: dir, Capacity: artifactstore.Capacity{MaxConcurrent: 64}, FailPoint: func(point string) {
		if at--; at == 0 {
			fmt.Println("at", point)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	}})
	if err != nil {
		panic(err)
	}
	from, err := os.MkdirTemp("", "doomed")
	if err != nil {
		panic(err)
	}
	if _, err = writePackage(from, "2", 2, 1<<20); err != nil {
		panic(err)
	}
	r, err := layer.Split(from, func(ref layer.ChunkRef, content []byte) error { return s.PutChunk(ref.Digest, layer.Compress(content)) })
	if err != nil {
		panic(err)
	}
	b, err := layer.Encode(r)
	if err != nil {
		panic(err)
	}
	if _, err := s.Publish(b); err != nil {
		panic(err)
	}
	os.RemoveAll(from)
	os.Exit(0)
}

// Killed at every step of publishing: the old release or the new one is the newest, whole, and publishing again is well.
func TestKilledWhilePublishing(t *testing.T) {
	points := map[string]int{}
	for at, over := 1, false; !over; at += 3 {
		dir := t.TempDir()
		s, err := artifactstore.Open(artifactstore.Options{Folder: dir, Capacity: artifactstore.Capacity{MaxConcurrent: 64}})
		if err != nil {
			t.Fatal(err)
		}
		first, err := writePackage(t.TempDir(), "1", 1, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(s.Handler(true))
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if _, err := (artifactstore.Client{BaseURL: server.URL, HTTPClient: client}).Publish(t.Context(), first); err != nil {
			t.Fatal(err)
		}
		server.Close()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "LP_TEST_STORE="+dir, fmt.Sprint("LP_TEST_AT=", at))
		out, err := cmd.Output()
		over = err == nil // it came to its end
		points[strings.TrimSpace(string(out))]++
		_, c := openStore(t, dir, artifactstore.Capacity{MaxConcurrent: 64}, 0)
		all, err := c.Packages(t.Context())
		if err != nil || len(all) != 1 || over && all[0].Version != "2" {
			t.Fatalf("killed at step %d: %+v, %v", at, all, err)
		}
		requireCompleteRelease(t, c, all[0].Version)
		second, err := writePackage(t.TempDir(), "2", 2, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Publish(t.Context(), second); err != nil {
			t.Errorf("killed at step %d: publishing again: %v", at, err)
		}
		requireCompleteRelease(t, c, "2")
	}
	if len(points) < 3 {
		t.Errorf("killed at %v only", points)
	}
}

// requireCompleteRelease fetches a release with all of its chunks and verifies it.
func requireCompleteRelease(t *testing.T, c artifactstore.Client, version string) {
	t.Helper()
	b, err := c.Release(t.Context(), "f", version)
	if err != nil {
		t.Fatal(err)
	}
	r, err := layer.Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	p, err := layer.Build(r, filepath.Join(t.TempDir(), "built"), func(ref layer.ChunkRef) ([]byte, error) {
		packed, err := c.Chunk(t.Context(), ref.Digest)
		if err != nil {
			return nil, err
		}
		return layer.Decompress(ref.Digest, packed)
	})
	if err == nil {
		err = p.Verify()
	}
	if err != nil {
		t.Fatalf("release %s is not whole: %v", version, err)
	}
}

// Collecting takes what no release names and nothing else; a release whose chunks are gone is refused, and publishing again
// brings them; the newest version can't be withdrawn; a published version can't change.
func TestCollect(t *testing.T) {
	s, c := openStore(t, t.TempDir(), artifactstore.Capacity{MaxConcurrent: 64}, 0)
	one, err := writePackage(t.TempDir(), "1", 1, 512<<10)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Publish(t.Context(), one); err != nil {
		t.Fatal(err)
	}
	loose := []byte("named by nobody")
	if err := s.PutChunk(layer.Sum(loose), layer.Compress(loose)); err != nil {
		t.Fatal(err)
	}
	if n, err := s.CollectGarbage(); n != 1 || err != nil {
		t.Errorf("%d collected, %v", n, err)
	}
	requireCompleteRelease(t, c, "1")
	r := layer.Release{Format: layer.Format}
	if r.Manifest, err = os.ReadFile(filepath.Join(one, manifest.FileName)); err != nil {
		t.Fatal(err)
	}
	r.Layers = []layer.Layer{{Name: "entry", Files: []layer.File{{Path: "entry", Chunks: []layer.ChunkRef{{Digest: layer.Sum(loose), Size: len(loose)}}}}}}
	b, err := layer.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Publish(b); !errors.Is(err, artifactstore.ErrMissingChunks) {
		t.Error("a release without its chunks was published: ", err)
	}
	if err := s.PutChunk(layer.Sum(loose), layer.Compress(loose)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Publish(b); err == nil || !strings.Contains(err.Error(), "published already") {
		t.Error("a published version was changed: ", err)
	}
	if err := s.PutChunk(layer.Sum(loose), layer.Compress([]byte("other"))); !errors.Is(err, layer.ErrCorrupt) {
		t.Error("a chunk under another's name: ", err)
	}
	if err := s.Withdraw("f", "1"); err == nil {
		t.Error("the newest version was withdrawn")
	}
	two, err := writePackage(t.TempDir(), "2", 2, 512<<10)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Publish(t.Context(), two); err != nil {
		t.Fatal(err)
	}
	if err := s.Withdraw("f", "1"); err != nil {
		t.Error(err)
	}
	if err := s.Withdraw("f", "0"); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if n, err := s.CollectGarbage(); n < 3 || err != nil {
		t.Errorf("%d collected of what the withdrawn release named, %v", n, err)
	}
	requireCompleteRelease(t, c, "2")
}

// Past its capacity the store turns away with a time to come back; pushed far past it, it stops; ranges and conditions work.
func TestHTTP(t *testing.T) {
	s, c := openStore(t, t.TempDir(), artifactstore.Capacity{MaxConcurrent: 1, StopFactor: 4, StopWindow: time.Hour, StopDuration: time.Hour}, time.Hour)
	content := []byte(strings.Repeat("content ", 1000))
	packed := layer.Compress(content)
	d := layer.Sum(content)
	if err := s.PutChunk(d, packed); err != nil {
		t.Fatal(err)
	}
	get := func(head, value string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodGet, c.BaseURL+"/v1/chunks/"+d.String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(head, value)
		resp, err := c.HTTPClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return resp, err
	}
	for _, x := range []struct {
		head, value string
		want        int
	}{{"Range", "bytes=0-9", 206}, {"If-None-Match", `"` + d.String() + `"`, 304}, {"Range", "bytes=99999-", 416}} {
		if resp, err := get(x.head, x.value); err != nil || resp.StatusCode != x.want {
			t.Errorf("%s %s: %v, %v", x.head, x.value, resp, err)
		}
	}
	now := time.Second
	w := artifactstore.NewAdmissionController(artifactstore.Capacity{MaxConcurrent: 2, StopFactor: 3, StopWindow: time.Second, StopDuration: 5 * time.Second})
	var said []artifactstore.Decision
	for range 8 {
		v, after := w.Admit(now)
		if v != artifactstore.Admitted && after <= 0 {
			t.Error("no time to come back")
		}
		said = append(said, v)
	}
	if fmt.Sprint(said) != "[0 0 1 1 1 1 2 2]" {
		t.Error(said)
	}
	w.Done()
	w.Done()
	if v, _ := w.Admit(now + 5*time.Second); v != artifactstore.Admitted {
		t.Error("still stopped: ", v)
	}
	s.Stop(time.Hour)
	var refused *httpclient.StatusError
	if _, err := c.Chunk(context.Background(), d); !errors.As(err, &refused) || refused.StatusCode != 503 || refused.RetryAfter <= 0 {
		t.Error(err)
	}
	if n := s.Stats(); n.RejectedWhileStopped != 1 || n.Stops != 1 || n.Served < 2 {
		t.Errorf("%+v", n)
	}
}

// Bad requests are told why and change nothing.
func FuzzHandler(f *testing.F) {
	s, err := artifactstore.Open(artifactstore.Options{Folder: f.TempDir(), Capacity: artifactstore.Capacity{MaxConcurrent: 64}})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { s.Close() })
	h := s.Handler(true)
	f.Add("GET", "/v1/chunks/zz", "bytes=0-", "")
	f.Add("PUT", "/v1/chunks/"+layer.Sum(nil).String(), "", "x")
	f.Add("POST", "/v1/missing", "", `["a"]`)
	f.Add("POST", "/v1/releases", "", "\xa1\x01\x02")
	f.Add("GET", "/v1/packages/..%2f..", "bytes=9-1,2-", "")
	f.Fuzz(func(t *testing.T, method, path, head, body string) {
		if !strings.HasPrefix(path, "/v1/") {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.0\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		u, err := req.URL.Parse(path)
		if err != nil {
			return
		}
		req.Method, req.URL, req.Body = method, u, http.NoBody
		req.Header.Set("Range", head)
		if body != "" {
			req.Body = readCloser{strings.NewReader(body)}
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Code == 500 {
			t.Errorf("%s %s: %d %s", method, path, w.Code, w.Body)
		}
	})
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }
