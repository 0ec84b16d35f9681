package distribution

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"lupinpond/internal/artifact/fetch"
	"lupinpond/internal/artifact/layer"
)

// fetchFromPeers requests a chunk from a peer and sends hedged requests to other peers if it is slow. It returns the
// first chunk that matches the digest.
func (d *Distributor) fetchFromPeers(search *fetch.Search, addresses map[string]string, first fetch.Step,
	digest layer.Digest,
) (chunkData, error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	type answer struct {
		chunk chunkData
		err   error
	}
	answers := make(chan answer, len(addresses)) // each peer is asked at most once, so that sends never block
	var latest fetch.Step
	var sentAt time.Duration
	inFlight := 0
	send := func(step fetch.Step) {
		inFlight++
		latest = step
		sentAt = d.elapsed()
		d.tasks.Go(func() {
			chunk, err := d.fetchFromPeer(ctx, search, addresses[step.Peer], step, digest)
			answers <- answer{chunk, err}
		})
	}
	send(first)
	hedgeTimer := time.NewTimer(0)
	defer hedgeTimer.Stop()
	for {
		select {
		case a := <-answers:
			inFlight--
			if a.err == nil || inFlight == 0 {
				return a.chunk, a.err
			}
		case <-hedgeTimer.C:
			step, ok, after := d.nextHedge(search, latest, sentAt)
			if ok {
				send(step)
				after = time.Millisecond
			}
			hedgeTimer.Reset(after)
		}
	}
}

// nextHedge returns a hedged request if a peer is slow, or the time after which to check again.
func (d *Distributor) nextHedge(search *fetch.Search, slow fetch.Step, sentAt time.Duration,
) (step fetch.Step, ok bool, after time.Duration) {
	now := d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	step, ok, after = search.Hedge(now, slow, sentAt, d.usablePeers(now))
	if ok {
		d.stats.Hedged++
		d.peerHealth.Record(now, slow.Peer, fetch.Failed) // makes other searches avoid the slow peer for a while
	}
	return step, ok, after
}

// fetchFromPeer requests a chunk from one peer, verifies it and records the peer's response.
func (d *Distributor) fetchFromPeer(ctx context.Context, search *fetch.Search, address string, step fetch.Step,
	digest layer.Digest,
) (chunkData, error) {
	limited, cancel := context.WithTimeout(ctx, step.Wait+step.TransferTimeout)
	defer cancel()
	answer, err := d.requestChunk(limited, address, step, digest)
	chunk := chunkData{compressed: answer.compressed}
	if answer.response == fetch.Delivered {
		if chunk.content, err = layer.Decompress(digest, answer.compressed); err != nil {
			answer.response = fetch.Corrupt
		}
	}
	now := d.elapsed()
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil && answer.response == fetch.Failed {
		return chunkData{}, ctx.Err() // canceled because another peer was faster: not a failure of this peer
	}
	d.peerHealth.Record(now, step.Peer, answer.response)
	if answer.response == fetch.Delivered {
		d.stats.FromPeers++
		d.stats.FetchedBytes += int64(len(chunk.compressed))
		return chunk, nil
	}
	if answer.response == fetch.Corrupt {
		d.stats.CorruptFromPeers++
		d.options.Log.Error("peer sent corrupt chunk", "peer", step.Peer, "chunk", digest, "err", err)
	}
	search.RecordPeerResponse(now, step.Peer, answer.response, answer.reply.Replicas, answer.reply.retryAfter())
	if err == nil {
		err = fmt.Errorf("%s replied %s", step.Peer, answer.reply.Status)
	}
	return chunkData{}, err
}

// peerAnswer is a peer's answer to a request for a chunk.
type peerAnswer struct {
	response   fetch.PeerResponse
	compressed []byte    // the unverified chunk, if the peer delivered it
	reply      peerReply // the reply, if the peer did not deliver the chunk
}

// requestChunk sends a request for a chunk to a peer. If it returns an error, the response is fetch.Failed.
func (d *Distributor) requestChunk(ctx context.Context, address string, step fetch.Step, digest layer.Digest,
) (peerAnswer, error) {
	failed := peerAnswer{response: fetch.Failed}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/chunks/"+digest.String(), nil)
	if err != nil {
		return failed, err
	}
	req.Header.Set(headerWorker, d.options.Name)
	if step.CachedOnly {
		req.Header.Set(headerCachedOnly, "1")
	} else {
		req.Header.Set(headerWait, min(step.Wait, maxWait).String()) // the peer rejects a longer wait
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return failed, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, layer.MaxCompressedSize+1))
	if err != nil {
		return failed, err
	}
	if resp.StatusCode == http.StatusOK {
		return peerAnswer{response: fetch.Delivered, compressed: body}, nil
	}
	reply, response, err := parsePeerReply(body)
	if err != nil {
		failed.reply = reply
		return failed, fmt.Errorf("status %s: %w", resp.Status, err)
	}
	return peerAnswer{response: response, reply: reply}, nil
}
