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
	// storeTimeoutShare is the share of the time for a chunk that one request to the store may take.
	storeTimeoutShare = 1.0 / 4

	// missingRetryShare is the share of that time after which the store is asked again for a chunk that it did not have.
	missingRetryShare = 1.0 / 8

	// corruptRetryAfter is when the store is asked again after a corrupt chunk, which may have been repaired by then.
	corruptRetryAfter = time.Second
)

// acquireStore asks the guard whether the store may be asked now. If not, the search is told when, or acquireStore
// waits for another request to complete.
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
		d.wait(d.share(storeSlotShare), requestDone)
	}
	return false
}

// fetchFromStore asks the store for a chunk, which acquireStore has allowed.
func (d *Distributor) fetchFromStore(search *fetch.Search, digest layer.Digest) (chunkData, error) {
	result := fetch.StoreResult{StartedAt: d.elapsed()}
	ctx, cancel := context.WithTimeout(d.ctx, d.share(storeTimeoutShare))
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

// storeOutcome tells what an answer of the store means for the guard, and when the chunk may be asked for again.
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
	case http.StatusNotFound: // the store works, and others may have the chunk
		return fetch.StoreSucceeded, d.share(missingRetryShare)
	case http.StatusTooManyRequests:
		return fetch.StoreRejected, rejection.RetryAfter
	}
	return fetch.StoreFailed, rejection.RetryAfter
}
