package distribution

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
)

// pendingRetryAfter is the retry time in the reply to a request for a chunk that is still being fetched.
const pendingRetryAfter = 20 * time.Millisecond

// chunkRequest is a request for a chunk from another worker.
type chunkRequest struct {
	digest     layer.Digest
	worker     string        // name of the requesting worker
	cachedOnly bool          // this worker must not fetch the chunk for the request
	wait       time.Duration // maximum time to wait for a chunk that is being fetched
}

func parseChunkRequest(r *http.Request) (request chunkRequest, err error) {
	if request.digest, err = layer.ParseDigest(r.PathValue("digest")); err != nil {
		return request, err
	}
	if wait := r.Header.Get(headerWait); wait != "" {
		if request.wait, err = time.ParseDuration(wait); err != nil {
			return request, err
		}
		if request.wait < 0 || request.wait > maxWait {
			return request, errors.New("a wait between 0 and 30s is needed")
		}
	}
	request.worker = r.Header.Get(headerWorker)
	request.cachedOnly = r.Header.Get(headerCachedOnly) == "1"
	return request, nil
}

// Handler returns the handler that serves chunks to other workers under GET /v1/chunks/DIGEST.
func (d *Distributor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/chunks/{digest}", d.serveChunk)
	return mux
}

func (d *Distributor) serveChunk(w http.ResponseWriter, r *http.Request) {
	request, err := parseChunkRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, compressed, cached := d.options.Cache.Get(request.digest)
	switch d.respond(request, cached) {
	case fetch.Missing:
		d.writeReply(w, request, statusMissing, 0)
		return
	case fetch.Pending:
		var ok bool
		if compressed, ok = d.awaitChunk(w, r, request); !ok {
			return
		}
	}
	ok, retryAfter := d.acquireUpload(len(compressed))
	if !ok {
		d.writeReply(w, request, statusBusy, retryAfter)
		return
	}
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.uploads.Release()
		d.replicas.Add(request.digest.String(), request.worker)
	}()
	w.Header().Set("Content-Type", "application/zstd")
	w.Header().Set("ETag", `"`+request.digest.String()+`"`)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(compressed))
}

// respond returns the response to a request.
func (d *Distributor) respond(request chunkRequest, cached bool) fetch.PeerResponse {
	return fetch.ResponseFor(fetch.PeerRequest{
		Cached:     cached,
		CachedOnly: request.cachedOnly,
		Home:       !cached && !request.cachedOnly && d.isHome(request.digest), // isHome is costly: called only if needed
	})
}

// awaitChunk fetches a chunk for another worker. If the fetch fails or takes longer than request.wait, it writes a
// reply and returns false. If the other worker disconnects, it returns false.
func (d *Distributor) awaitChunk(w http.ResponseWriter, r *http.Request, request chunkRequest,
) (compressed []byte, ok bool) {
	f := d.startFetch(request.digest)
	timer := time.NewTimer(request.wait)
	defer timer.Stop()
	select {
	case <-f.done:
		if f.err != nil {
			d.writeReply(w, request, statusMissing, 0)
			return nil, false
		}
		return f.chunk.compressed, true
	case <-timer.C:
		d.writeReply(w, request, statusPending, pendingRetryAfter)
	case <-r.Context().Done():
	}
	return nil, false
}

// acquireUpload reports whether a chunk of size bytes may be sent now. If not, the request may be retried after
// retryAfter.
func (d *Distributor) acquireUpload(size int) (ok bool, retryAfter time.Duration) {
	d.mu.Lock()
	utilization := d.utilization
	d.mu.Unlock()
	// Called without d.mu: utilization takes the worker's lock, and the worker calls the Distributor while holding it.
	busy := utilization()
	d.mu.Lock()
	defer d.mu.Unlock()
	ok, retryAfter = d.uploads.Acquire(d.elapsed(), size, busy)
	if ok {
		d.stats.Uploads++
	} else {
		d.stats.UploadsRejected++
	}
	return ok, retryAfter
}

// isHome reports whether this worker is a home of a chunk according to its own endpoint list.
func (d *Distributor) isHome(digest layer.Digest) bool {
	order, _ := d.candidates(digest)
	return slices.Index(order, d.options.Name) < fetch.HomesPerChunk
}

func (d *Distributor) writeReply(w http.ResponseWriter, request chunkRequest, status string, retryAfter time.Duration) {
	d.mu.Lock()
	replicas := d.replicas.Replicas(request.digest.String(), request.worker)
	d.mu.Unlock()
	code := http.StatusServiceUnavailable
	if status == statusMissing {
		code = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// Encode fails only if the peer has disconnected.
	_ = json.NewEncoder(w).Encode(peerReply{status, replicas, retryAfter.Milliseconds()})
}
