package artifactstore_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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
	if folder := os.Getenv("LP_TEST_STORE"); folder != "" {
		publishUntilKilled(folder)
	}
	goleak.VerifyTestMain(m)
}

// ampleCapacity is more capacity than any test uses.
var ampleCapacity = artifactstore.Capacity{MaxConcurrent: 64}

// writePackage creates a package in an empty folder. Its entry point has size bytes of random content, generated from
// seed.
func writePackage(folder, version string, seed byte, size int) error {
	content := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(content) // never fails
	if err := os.WriteFile(filepath.Join(folder, "entry"), content, 0o755); err != nil {
		return err
	}
	_, err := manifest.Write(folder, manifest.Manifest{Name: "f", Version: version, Type: "t", Kind: manifest.Process,
		Concurrency: 1, MemoryLimit: 1 << 20, Timeout: config.Duration(time.Second), EntryPoint: "entry"})
	return err
}

// packageFolder creates a package in a temporary folder and returns the folder.
func packageFolder(t *testing.T, version string, seed byte, size int) string {
	t.Helper()
	folder := t.TempDir()
	if err := writePackage(folder, version, seed, size); err != nil {
		t.Fatal(err)
	}
	return folder
}

func openStore(t *testing.T, folder string, capacity artifactstore.Capacity, gracePeriod time.Duration,
) (*artifactstore.Store, artifactstore.Client) {
	t.Helper()
	store, err := artifactstore.Open(artifactstore.Options{Folder: folder, Capacity: capacity, GracePeriod: gracePeriod})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(store.Handler(artifactstore.ReadWrite))
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
		store.Close()
	})
	return store, artifactstore.Client{BaseURL: server.URL, HTTPClient: client}
}

// publishUntilKilled publishes version 2 and kills its own process at the fail point number LP_TEST_AT.
func publishUntilKilled(folder string) {
	stepsLeft, _ := strconv.Atoi(os.Getenv("LP_TEST_AT"))
	store, err := artifactstore.Open(artifactstore.Options{Folder: folder, Capacity: ampleCapacity,
		FailPoint: func(point artifactstore.FailPoint) {
			if stepsLeft--; stepsLeft == 0 {
				fmt.Println("at", point)
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}})
	if err != nil {
		panic(err)
	}
	source, err := os.MkdirTemp("", "publish-until-killed")
	if err != nil {
		panic(err)
	}
	if err := writePackage(source, "2", 2, 1<<20); err != nil {
		panic(err)
	}
	release, err := layer.Split(source, func(chunk layer.ChunkRef, content []byte) error {
		return store.PutChunk(chunk.Digest, layer.Compress(content))
	})
	if err != nil {
		panic(err)
	}
	encoded, err := layer.Encode(release)
	if err != nil {
		panic(err)
	}
	if _, err := store.Publish(encoded); err != nil {
		panic(err)
	}
	os.RemoveAll(source)
	os.Exit(0)
}

// TestKilledWhilePublishing guards against a crash during publishing that corrupts the store: whichever step of
// publishing the process is killed at, the newest release must be the old or the new one and complete, and publishing
// again must succeed. Every third step is tested.
func TestKilledWhilePublishing(t *testing.T) {
	points := map[string]int{}
	for step, completed := 1, false; !completed; step += 3 {
		folder := t.TempDir()
		publishFirstRelease(t, folder)
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), "LP_TEST_STORE="+folder, fmt.Sprint("LP_TEST_AT=", step))
		output, err := child.Output()
		completed = err == nil // the process published the release before it reached the step
		points[strings.TrimSpace(string(output))]++
		_, client := openStore(t, folder, ampleCapacity, 0)
		packages, err := client.Packages(t.Context())
		if err != nil || len(packages) != 1 || completed && packages[0].Version != "2" {
			t.Fatalf("killed at step %d: %+v, %v", step, packages, err)
		}
		requireCompleteRelease(t, client, packages[0].Version)
		if _, err := client.Publish(t.Context(), packageFolder(t, "2", 2, 1<<20)); err != nil {
			t.Errorf("killed at step %d: publishing again: %v", step, err)
		}
		requireCompleteRelease(t, client, "2")
	}
	if len(points) < 3 {
		t.Errorf("the process was killed at too few fail points: %v", points)
	}
}

// publishFirstRelease creates a store in folder, publishes version 1 and closes the store.
func publishFirstRelease(t *testing.T, folder string) {
	t.Helper()
	store, err := artifactstore.Open(artifactstore.Options{Folder: folder, Capacity: ampleCapacity})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(store.Handler(artifactstore.ReadWrite))
	client := artifactstore.Client{BaseURL: server.URL,
		HTTPClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if _, err := client.Publish(t.Context(), packageFolder(t, "1", 1, 1<<20)); err != nil {
		t.Fatal(err)
	}
	server.Close()
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// requireCompleteRelease fetches a release with all of its chunks and verifies it.
func requireCompleteRelease(t *testing.T, client artifactstore.Client, version string) {
	t.Helper()
	encoded, err := client.Release(t.Context(), "f", version)
	if err != nil {
		t.Fatal(err)
	}
	release, err := layer.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	built, err := layer.Build(release, filepath.Join(t.TempDir(), "built"), func(chunk layer.ChunkRef) ([]byte, error) {
		compressed, err := client.Chunk(t.Context(), chunk.Digest)
		if err != nil {
			return nil, err
		}
		return layer.Decompress(chunk.Digest, compressed)
	})
	if err == nil {
		err = built.Verify()
	}
	if err != nil {
		t.Fatalf("release %s is not complete: %v", version, err)
	}
}

// Garbage collection must remove unreferenced chunks and nothing else. The store must reject a release whose chunks are
// missing, changed content of a published version, and the withdrawal of the newest version.
func TestCollectGarbage(t *testing.T) {
	store, client := openStore(t, t.TempDir(), ampleCapacity, 0)
	first := packageFolder(t, "1", 1, 512<<10)
	if _, err := client.Publish(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	unreferenced := []byte("unreferenced chunk")
	if err := store.PutChunk(layer.Sum(unreferenced), layer.Compress(unreferenced)); err != nil {
		t.Fatal(err)
	}
	if removed, err := store.CollectGarbage(); removed != 1 || err != nil {
		t.Errorf("collected %d chunks, error %v, want 1", removed, err)
	}
	requireCompleteRelease(t, client, "1")
	encodedManifest, err := os.ReadFile(filepath.Join(first, manifest.FileName))
	if err != nil {
		t.Fatal(err)
	}
	chunks := []layer.ChunkRef{{Digest: layer.Sum(unreferenced), Size: len(unreferenced)}}
	encoded, err := layer.Encode(layer.Release{Format: layer.Format, Manifest: encodedManifest,
		Layers: []layer.Layer{{Name: "entry", Files: []layer.File{{Path: "entry", Chunks: chunks}}}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Publish(encoded); !errors.Is(err, artifactstore.ErrMissingChunks) {
		t.Error("publishing a release with missing chunks: got error ", err)
	}
	if err := store.PutChunk(layer.Sum(unreferenced), layer.Compress(unreferenced)); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Publish(encoded); err == nil || !strings.Contains(err.Error(), "published already") {
		t.Error("publishing a version again with other content: got error ", err)
	}
	if err := store.PutChunk(layer.Sum(unreferenced), layer.Compress([]byte("other"))); !errors.Is(err, layer.ErrCorrupt) {
		t.Error("storing a chunk under the digest of another: got error ", err)
	}
	if err := store.Withdraw("f", "1"); err == nil {
		t.Error("the newest version was withdrawn")
	}
	if _, err := client.Publish(t.Context(), packageFolder(t, "2", 2, 512<<10)); err != nil {
		t.Fatal(err)
	}
	if err := store.Withdraw("f", "1"); err != nil {
		t.Error(err)
	}
	if err := store.Withdraw("f", "0"); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if removed, err := store.CollectGarbage(); removed < 3 || err != nil {
		t.Errorf("collected %d chunks of the withdrawn release, error %v", removed, err)
	}
	requireCompleteRelease(t, client, "2")
}

// The store must support range and conditional requests, and a stopped store must reject fetches with a Retry-After and
// count them.
func TestHTTP(t *testing.T) {
	capacity := artifactstore.Capacity{MaxConcurrent: 1, StopFactor: 4, StopWindow: time.Hour, StopDuration: time.Hour}
	store, client := openStore(t, t.TempDir(), capacity, time.Hour)
	content := []byte(strings.Repeat("content ", 1000))
	digest := layer.Sum(content)
	if err := store.PutChunk(digest, layer.Compress(content)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		header, value string
		status        int
	}{
		{"Range", "bytes=0-9", http.StatusPartialContent},
		{"If-None-Match", `"` + digest.String() + `"`, http.StatusNotModified},
		{"Range", "bytes=99999-", http.StatusRequestedRangeNotSatisfiable},
	} {
		req, err := http.NewRequest(http.MethodGet, client.BaseURL+"/v1/chunks/"+digest.String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(c.header, c.value)
		resp, err := client.HTTPClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode != c.status {
			t.Errorf("%s %s: %v, %v", c.header, c.value, resp, err)
		}
	}
	store.Stop(time.Hour)
	var rejection *httpclient.StatusError
	if _, err := client.Chunk(context.Background(), digest); !errors.As(err, &rejection) ||
		rejection.StatusCode != http.StatusServiceUnavailable || rejection.RetryAfter <= 0 {
		t.Error(err)
	}
	if stats := store.Stats(); stats.RejectedWhileStopped != 1 || stats.Stops != 1 || stats.Served < 2 {
		t.Errorf("%+v", stats)
	}
}

// Whatever a client sends, the store must not answer with an internal server error.
func FuzzHandler(f *testing.F) {
	store, err := artifactstore.Open(artifactstore.Options{Folder: f.TempDir(), Capacity: ampleCapacity})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { store.Close() })
	handler := store.Handler(artifactstore.ReadWrite)
	f.Add("GET", "/v1/chunks/zz", "bytes=0-", "")
	f.Add("PUT", "/v1/chunks/"+layer.Sum(nil).String(), "", "x")
	f.Add("POST", "/v1/missing", "", `["a"]`)
	f.Add("POST", "/v1/releases", "", "\xa1\x01\x02")
	f.Add("GET", "/v1/packages/..%2f..", "bytes=9-1,2-", "")
	f.Fuzz(func(t *testing.T, method, path, requestRange, body string) {
		if !strings.HasPrefix(path, "/v1/") {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.0\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		target, err := req.URL.Parse(path)
		if err != nil {
			return
		}
		req.Method, req.URL, req.Body = method, target, http.NoBody
		req.Header.Set("Range", requestRange)
		if body != "" {
			req.Body = io.NopCloser(strings.NewReader(body))
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, req)
		if recorder.Code == http.StatusInternalServerError {
			t.Errorf("%s %s: %d %s", method, path, recorder.Code, recorder.Body)
		}
	})
}
