package distribution

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"lupinpond/internal/artifact/cache"
	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
)

// storeSlotShare: a search that waits for a request to the store to complete tries again after ChunkTimeout *
// storeSlotShare at the latest.
const storeSlotShare = 1.0 / 64

// chunkData is a verified chunk.
type chunkData struct {
	content    []byte
	compressed []byte
}

// chunkFetch is a search for a chunk. It is shared by all goroutines that need the chunk.
type chunkFetch struct {
	done chan struct{} // closed when the search has ended

	// The result, valid after done is closed:
	chunk chunkData
	err   error
}

// getChunk returns a chunk from the cache, or searches for it if it is not cached.
func (d *Distributor) getChunk(ctx context.Context, digest layer.Digest) (chunkData, error) {
	if content, compressed, ok := d.options.Cache.Get(digest); ok {
		d.mu.Lock()
		d.stats.FromDisk++
		d.mu.Unlock()
		return chunkData{content, compressed}, nil
	}
	f := d.startFetch(digest)
	select {
	case <-f.done:
		return f.chunk, f.err
	case <-ctx.Done():
		return chunkData{}, context.Cause(ctx)
	}
}

// startFetch returns the search for a chunk that is in flight, or starts one.
func (d *Distributor) startFetch(digest layer.Digest) *chunkFetch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.inFlight[digest]; f != nil {
		return f
	}
	f := &chunkFetch{done: make(chan struct{})}
	if d.ctx.Err() != nil {
		f.err = d.ctx.Err()
		close(f.done)
		return f
	}
	d.inFlight[digest] = f
	d.tasks.Go(func() {
		var rarity cache.Rarity
		f.chunk, rarity, f.err = d.fetchChunk(digest)
		close(f.done) // waiting goroutines continue while the chunk is written to disk
		if f.err == nil {
			d.options.Cache.Put(digest, f.chunk.compressed, rarity)
		}
		d.mu.Lock()
		delete(d.inFlight, digest)
		d.mu.Unlock()
	})
	return f
}

// fetchChunk executes the steps of a search until the chunk is received or the search is abandoned.
func (d *Distributor) fetchChunk(digest layer.Digest) (chunkData, cache.Rarity, error) {
	order, addresses := d.candidates(digest)
	d.mu.Lock()
	d.peerHealth.Prune(func(name string) bool { return addresses[name] != "" })
	d.mu.Unlock()
	search := fetch.NewSearch(d.options.Name, order, d.elapsed(), d.options.ChunkTimeout)
	lastErr := errors.New("no peer or store was asked")
	attempt := fetch.FirstAttempt
	for d.ctx.Err() == nil { // after Close, lastErr may come from an interrupted request and is not returned
		now := d.elapsed()
		step := d.nextStep(search, now)
		switch step.Action {
		case fetch.Abandon:
			return chunkData{}, cache.Common,
				fmt.Errorf("chunk %.12s: not fetched within %v: %w", digest, d.options.ChunkTimeout, lastErr)
		case fetch.Pause:
			d.wait(step.Wait, nil)
		case fetch.FetchFromPeer:
			chunk, err := d.fetchFromPeers(search, addresses, step, digest)
			if err == nil {
				return chunk, cache.Common, nil
			}
			lastErr = err
		case fetch.FetchFromStore:
			if !d.acquireStore(search, now, attempt) {
				break
			}
			chunk, err := d.fetchFromStore(search, digest)
			if err == nil {
				return chunk, cache.Rare, nil
			}
			lastErr = err
			attempt = fetch.Retry
		}
	}
	return chunkData{}, cache.Common, d.ctx.Err()
}

func (d *Distributor) nextStep(search *fetch.Search, now time.Duration) fetch.Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := search.Next(now, d.usablePeers(now), rand.Float64())
	if step.Action == fetch.Abandon {
		d.stats.TimedOut++
	}
	return step
}

// usablePeers returns a function that reports whether a peer may be sent requests now. d.mu must be held when the
// returned function is called.
func (d *Distributor) usablePeers(now time.Duration) func(peer string) bool {
	return func(peer string) bool { return d.peerHealth.Usable(now, peer) }
}

// candidates returns the chunk's rendezvous order of this worker and the listed peers, and the addresses of the peers
// by name.
func (d *Distributor) candidates(digest layer.Digest) (order []string, addresses map[string]string) {
	addresses = map[string]string{}
	names := []string{d.options.Name}
	for _, peer := range d.options.Peers() {
		if peer.Name != d.options.Name {
			addresses[peer.Name] = peer.Addr
			names = append(names, peer.Name)
		}
	}
	return fetch.RendezvousOrder(digest[:], names), addresses
}

// wait waits until the duration has passed, wake is closed or the Distributor is closed.
func (d *Distributor) wait(duration time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// shareOfTimeout returns ChunkTimeout * share.
func (d *Distributor) shareOfTimeout(share float64) time.Duration {
	return time.Duration(share * float64(d.options.ChunkTimeout))
}
