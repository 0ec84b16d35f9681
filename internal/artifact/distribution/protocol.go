package distribution

import (
	"encoding/json"
	"fmt"
	"time"

	"lupinpond/internal/artifact/fetch"
)

// The chunk protocol between workers: GET /v1/chunks/DIGEST is answered with the compressed chunk, or with a peerReply.

// Headers of a request for a chunk.
const (
	headerWorker     = "Lupin-Worker" // the name of the worker that asks
	headerCachedOnly = "Lupin-Held"   // 1: the chunk is wanted only if the peer has it, which is not to fetch it
	headerWait       = "Lupin-Wait"   // how long to wait for a chunk that the peer fetches
)

const (
	maxWait       = 30 * time.Second // that a request may ask for, and a reply name
	maxReplicas   = 16               // that a reply may name
	maxReplyBytes = 64 << 10
)

// The statuses of a peerReply.
const (
	statusMissing = "missing"
	statusPending = "coming"
	statusBusy    = "busy"
)

// peerReply is what a worker answers in place of a chunk.
type peerReply struct {
	Status           string   `json:"said"`
	Replicas         []string `json:"holders,omitempty"` // workers that were sent the chunk
	RetryAfterMillis int64    `json:"after-ms,omitempty"`
}

func (r peerReply) retryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// parsePeerReply decodes a reply and checks its bounds.
func parsePeerReply(body []byte) (reply peerReply, response fetch.PeerResponse, err error) {
	if len(body) > maxReplyBytes {
		return reply, response, fmt.Errorf("answer of %d bytes", len(body))
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return reply, response, fmt.Errorf("answer: %w", err)
	}
	switch reply.Status {
	case statusMissing:
		response = fetch.Missing
	case statusPending:
		response = fetch.Pending
	case statusBusy:
		response = fetch.Busy
	default:
		return reply, response, fmt.Errorf("answer: unknown status %.40q", reply.Status)
	}
	if len(reply.Replicas) > maxReplicas {
		return reply, response, fmt.Errorf("answer: %d replicas", len(reply.Replicas))
	}
	if reply.RetryAfterMillis < 0 || reply.RetryAfterMillis > maxWait.Milliseconds() {
		return reply, response, fmt.Errorf("answer: retry after %d ms", reply.RetryAfterMillis)
	}
	return reply, response, nil
}
