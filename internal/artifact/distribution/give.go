package distribution

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
)

// Headers of a request for a chunk.
const (
	headerWorker     = "Lupin-Worker" // who asks
	headerCachedOnly = "Lupin-Held"   // 1: only if it is held
	headerWait       = "Lupin-Wait"   // how long to wait for one that is fetched
)

const (
	maxWait           = 30 * time.Second
	maxReplicas       = 16
	maxReplyBytes     = 64 << 10
	pendingRetryAfter = 20 * time.Millisecond // to come back for one that is still being fetched
)

// peerReply is what a worker answers in place of a chunk.
type peerReply struct {
	Status           string   `json:"said"` // missing, coming, busy
	Replicas         []string `json:"holders,omitempty"`
	RetryAfterMillis int64    `json:"after-ms,omitempty"`
}

func (w peerReply) retryAfter() time.Duration {
	return time.Duration(w.RetryAfterMillis) * time.Millisecond
}

var replyStatuses = map[string]fetch.PeerResponse{"missing": fetch.Missing, "coming": fetch.Pending, "busy": fetch.Busy}

func parsePeerReply(b []byte) (w peerReply, s fetch.PeerResponse, err error) {
	if len(b) > maxReplyBytes {
		return w, s, fmt.Errorf("answer of %d bytes", len(b))
	}
	if err := json.Unmarshal(b, &w); err != nil {
		return w, s, fmt.Errorf("answer: %w", err)
	}
	s, known := replyStatuses[w.Status]
	switch {
	case !known:
		return w, s, fmt.Errorf("answer: said %.40q", w.Status)
	case len(w.Replicas) > maxReplicas:
		return w, s, fmt.Errorf("answer: %d holders", len(w.Replicas))
	case w.RetryAfterMillis < 0 || w.RetryAfterMillis > maxWait.Milliseconds():
		return w, s, fmt.Errorf("answer: after %d ms", w.RetryAfterMillis)
	}
	return w, s, nil
}

// Handler gives chunks to other workers: GET /v1/chunks/DIGEST.
func (s *Distributor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/chunks/{digest}", s.serveChunk)
	return mux
}

func (s *Distributor) serveChunk(w http.ResponseWriter, r *http.Request) {
	d, err := layer.ParseDigest(r.PathValue("digest"))
	wait := time.Duration(0)
	if err == nil && r.Header.Get(headerWait) != "" {
		if wait, err = time.ParseDuration(r.Header.Get(headerWait)); err == nil && (wait < 0 || wait > maxWait) {
			err = errors.New("a wait between 0 and 30s is needed")
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	asker := r.Header.Get(headerWorker)
	_, packed, holds := s.options.Cache.Get(d)
	held := r.Header.Get(headerCachedOnly) == "1"
	switch fetch.ResponseFor(fetch.PeerRequest{Cached: holds, Home: !holds && !held && s.isHome(d), CachedOnly: held}) {
	case fetch.Missing:
		s.writeReply(w, "missing", d, asker, 0)
		return
	case fetch.Pending:
		f := s.startFetch(d)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-f.done:
			if f.err != nil {
				s.writeReply(w, "missing", d, asker, 0)
				return
			}
			packed = f.packed
		case <-timer.C:
			s.writeReply(w, "coming", d, asker, pendingRetryAfter)
			return
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	follow := s.utilization
	s.mu.Unlock()
	busy := follow() // the worker has a lock of its own
	s.mu.Lock()
	ok, after := s.uploads.Acquire(s.elapsed(), len(packed), busy)
	if !ok {
		s.stats.UploadsRejected++
	} else {
		s.stats.Uploads++
	}
	s.mu.Unlock()
	if !ok {
		s.writeReply(w, "busy", d, asker, after)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.uploads.Release()
		s.replicas.Add(d.String(), asker)
	}()
	w.Header().Set("Content-Type", "application/zstd")
	w.Header().Set("ETag", `"`+d.String()+`"`)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(packed))
}

// isHome tells whether this worker is among the homes of a chunk by its own list.
func (s *Distributor) isHome(d layer.Digest) bool {
	order, _ := s.candidates(d)
	return slices.Index(order, s.options.Name) < fetch.Homes
}

func (s *Distributor) writeReply(w http.ResponseWriter, what string, d layer.Digest, asker string, after time.Duration) {
	s.mu.Lock()
	holders := s.replicas.Replicas(d.String(), asker)
	s.mu.Unlock()
	status := http.StatusServiceUnavailable
	if what == "missing" {
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(peerReply{what, holders, after.Milliseconds()}) // the asker is gone
}
