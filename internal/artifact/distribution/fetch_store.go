package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/httpclient"
)

const (
	// storeTimeoutShare: one request to the store may take up to ChunkTimeout * storeTimeoutShare.
	storeTimeoutShare = 1.0 / 4

	// missingRetryShare: the store is asked again for a chunk that it did not have after ChunkTimeout *
	// missingRetryShare.
	missingRetryShare = 1.0 / 8

	// corruptRetryAfter is the time after which the store is asked again for a chunk that it sent corrupt. The chunk may
	// have been repaired in the meantime.
	corruptRetryAfter = time.Second
)

// acquireStore reports whether the store guard allows a request now. If not, it records in the search when the store
// may be asked again, or waits for another request to complete.
func (d *Distributor) acquireStore(search *fetch.Search, now time.Duration, attempt fetch.Attempt) bool {
	d.mu.Lock()
	ok, retryAfter := d.storeGuard.Acquire(now, attempt)
	requestDone := d.storeRequestDone
	d.mu.Unlock()
	switch {
	case ok:
		return true
	case retryAfter > 0:
		search.RecordStoreFailure(now, retryAfter)
	default:
		d.wait(d.shareOfTimeout(storeSlotShare), requestDone)
	}
	return false
}

// fetchFromStore fetches a chunk from the store and verifies it. acquireStore must have allowed the request.
func (d *Distributor) fetchFromStore(search *fetch.Search, digest layer.Digest) (chunkData, error) {
	result := fetch.StoreResult{StartedAt: d.elapsed()}
	ctx, cancel := context.WithTimeout(d.ctx, d.shareOfTimeout(storeTimeoutShare))
	defer cancel()
	chunk := chunkData{}
	var err error
	if chunk.compressed, err = d.options.Store.Chunk(ctx, digest); err == nil {
		chunk.content, err = layer.Decompress(digest, chunk.compressed)
	}
	result.Outcome, result.RetryAfter = d.storeOutcome(err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeGuard.Release(d.elapsed(), result, rand.Float64())
	close(d.storeRequestDone)
	d.storeRequestDone = make(chan struct{})
	if err != nil {
		if errors.Is(err, layer.ErrCorrupt) {
			d.stats.CorruptFromStore++
			d.options.Log.Error("artifact store sent corrupt chunk", "chunk", digest, "err", err)
		}
		search.RecordStoreFailure(d.elapsed(), result.RetryAfter)
		return chunkData{}, err
	}
	d.stats.FromStore++
	d.stats.FetchedBytes += int64(len(chunk.compressed))
	return chunk, nil
}

// storeOutcome returns the outcome that the store guard records for a request with error err, and the time after which
// the store may be asked for the chunk again.
func (d *Distributor) storeOutcome(err error) (outcome fetch.StoreOutcome, retryAfter time.Duration) {
	var rejection *httpclient.StatusError
	switch {
	case err == nil:
		return fetch.StoreSucceeded, 0
	case errors.Is(err, layer.ErrCorrupt):
		return fetch.StoreSucceeded, corruptRetryAfter
	case !errors.As(err, &rejection):
		return fetch.StoreFailed, 0
	}
	switch rejection.StatusCode {
	case http.StatusNotFound: // the store works; other workers may have the chunk
		return fetch.StoreSucceeded, d.shareOfTimeout(missingRetryShare)
	case http.StatusTooManyRequests:
		return fetch.StoreRejected, rejection.RetryAfter
	}
	return fetch.StoreFailed, rejection.RetryAfter
}
