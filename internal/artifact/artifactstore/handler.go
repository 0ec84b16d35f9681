package artifactstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"lupinpond/internal/artifact/layer"
)

// Access selects the requests that a Handler serves.
type Access bool

// The access modes of a Handler.
const (
	ReadOnly  Access = false // fetches and counters only
	ReadWrite Access = true  // additionally publishing and withdrawing releases, and stopping the store
)

// Handler returns the handler of the HTTP API. It serves GET requests under /v1/ for packages, packages/NAME,
// packages/NAME/VERSION, chunks/DIGEST and counts. With ReadWrite it also serves the requests of publishers and
// operators.
func (s *Store) Handler(access Access) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/packages", s.withAdmission(s.servePackages))
	mux.HandleFunc("GET /v1/packages/{name}", s.withAdmission(s.serveRelease))
	mux.HandleFunc("GET /v1/packages/{name}/{version}", s.withAdmission(s.serveRelease))
	mux.HandleFunc("GET /v1/chunks/{digest}", s.withAdmission(s.serveChunk))
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	if access == ReadWrite {
		mux.HandleFunc("PUT /v1/chunks/{digest}", s.receiveChunk)
		mux.HandleFunc("POST /v1/missing", s.serveMissing)
		mux.HandleFunc("POST /v1/releases", s.receiveRelease)
		mux.HandleFunc("DELETE /v1/packages/{name}/{version}", s.serveWithdraw)
		mux.HandleFunc("POST /v1/stop", s.serveStop)
	}
	return mux
}

// withAdmission returns a handler that calls next if the fetch is admitted and rejects it with a Retry-After otherwise.
func (s *Store) withAdmission(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		decision, retryAfter := s.admit()
		if decision != Admitted {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
			if decision == Stopped {
				http.Error(w, "the store has stopped", http.StatusServiceUnavailable)
			} else {
				http.Error(w, "too many fetches at a time", http.StatusTooManyRequests)
			}
			return
		}
		defer func() {
			s.mu.Lock()
			s.admission.Done()
			s.mu.Unlock()
		}()
		next(w, r)
	}
}

func (s *Store) admit() (decision Decision, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, retryAfter = s.admission.Admit(s.elapsed())
	switch decision {
	case Rejected:
		s.counters.Rejected++
	case Stopped:
		s.counters.RejectedWhileStopped++
	}
	return decision, retryAfter
}

func (s *Store) servePackages(w http.ResponseWriter, r *http.Request) {
	packages, err := s.Packages()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(packages)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	serveContent(w, r, layer.Sum(body), body)
}

func (s *Store) serveRelease(w http.ResponseWriter, r *http.Request) {
	encoded, err := s.Release(r.PathValue("name"), r.PathValue("version"))
	if errors.Is(err, fs.ErrNotExist) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	serveContent(w, r, layer.Sum(encoded), encoded)
}

func (s *Store) serveChunk(w http.ResponseWriter, r *http.Request) {
	digest, err := layer.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	compressed, err := os.ReadFile(s.chunkPath(digest))
	if err != nil {
		status := http.StatusInternalServerError
		if errors.Is(err, fs.ErrNotExist) {
			status = http.StatusNotFound
		}
		http.Error(w, fmt.Sprintf("chunk %s is not here", digest), status)
		return
	}
	if s.rateLimiter != nil {
		if err := s.rateLimiter.WaitN(r.Context(), min(len(compressed), layer.MaxCompressedSize)); err != nil {
			return // the client has disconnected
		}
	}
	s.countServed(digest, len(compressed))
	w.Header().Set("Content-Type", "application/zstd")
	serveContent(w, r, digest, compressed)
}

func (s *Store) receiveChunk(w http.ResponseWriter, r *http.Request) {
	digest, err := layer.ParseDigest(r.PathValue("digest"))
	var compressed []byte
	if err == nil {
		compressed, err = io.ReadAll(http.MaxBytesReader(w, r.Body, layer.MaxCompressedSize))
	}
	if err == nil {
		err = s.PutChunk(digest, compressed)
	}
	writeStatus(w, err)
}

func (s *Store) serveMissing(w http.ResponseWriter, r *http.Request) {
	var names []string
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, layer.MaxReleaseSize)).Decode(&names)
	var digests []layer.Digest
	for _, name := range names {
		digest, parseErr := layer.ParseDigest(name)
		err = errors.Join(err, parseErr)
		digests = append(digests, digest)
	}
	if err != nil {
		writeStatus(w, err)
		return
	}
	missing := []string{} // not nil, which would be encoded as null instead of an empty list
	for _, digest := range s.MissingChunks(digests) {
		missing = append(missing, digest.String())
	}
	writeJSON(w, missing)
}

func (s *Store) receiveRelease(w http.ResponseWriter, r *http.Request) {
	encoded, err := io.ReadAll(http.MaxBytesReader(w, r.Body, layer.MaxReleaseSize))
	var published PackageInfo
	if err == nil {
		published, err = s.Publish(encoded)
	}
	if err != nil {
		writeStatus(w, err)
		return
	}
	s.options.Log.Info("release published",
		"package", published.Name, "version", published.Version, "digest", published.Digest)
	writeJSON(w, published)
}

func (s *Store) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	writeStatus(w, s.Withdraw(r.PathValue("name"), r.PathValue("version")))
}

func (s *Store) serveStop(w http.ResponseWriter, r *http.Request) {
	duration, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err == nil && duration <= 0 {
		err = errors.New("for: a duration above 0")
	}
	if err == nil {
		s.Stop(duration)
	}
	writeStatus(w, err)
}

// serveContent serves content with its digest as the ETag. It supports range and conditional requests.
func serveContent(w http.ResponseWriter, r *http.Request, digest layer.Digest, content []byte) {
	w.Header().Set("ETag", `"`+digest.String()+`"`)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// writeStatus writes a response without content if err is nil, and the status and text of the error otherwise.
func writeStatus(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrMissingChunks):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, fs.ErrNotExist):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
