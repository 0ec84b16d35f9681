package distribution

import (
	"encoding/json"
	"fmt"
	"time"

	"lupinpond/internal/artifact/fetch"
)

// In the chunk protocol between workers, the response to GET /v1/chunks/DIGEST is the compressed chunk or a peerReply.

// Headers of a request for a chunk.
const (
	headerWorker     = "Lupin-Worker" // name of the requesting worker
	headerCachedOnly = "Lupin-Held"   // 1: send the chunk only if it is cached, and do not fetch it
	headerWait       = "Lupin-Wait"   // maximum time to wait for a chunk that the peer is fetching, as a duration
)

const (
	maxWait       = 30 * time.Second // maximum wait in a request, and maximum retry time in a reply
	maxReplicas   = 16               // maximum number of workers listed in a reply
	maxReplyBytes = 64 << 10         // maximum size of a reply
)

// The statuses of a peerReply.
const (
	statusMissing = "missing" // the peer does not have the chunk and does not fetch it
	statusPending = "coming"  // the peer is fetching the chunk
	statusBusy    = "busy"    // the peer has the chunk, but no capacity to send it
)

// peerReply is the response of a worker that does not send the chunk.
type peerReply struct {
	Status           string   `json:"said"`
	Replicas         []string `json:"holders,omitempty"`  // workers that were sent the chunk
	RetryAfterMillis int64    `json:"after-ms,omitempty"` // time after which to ask again, in milliseconds
}

func (r peerReply) retryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// parsePeerReply decodes a reply and checks that its values are within their limits.
func parsePeerReply(body []byte) (reply peerReply, response fetch.PeerResponse, err error) {
	if len(body) > maxReplyBytes {
		return reply, response, fmt.Errorf("peer reply of %d bytes is too large", len(body))
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return reply, response, fmt.Errorf("peer reply: %w", err)
	}
	switch reply.Status {
	case statusMissing:
		response = fetch.Missing
	case statusPending:
		response = fetch.Pending
	case statusBusy:
		response = fetch.Busy
	default:
		return reply, response, fmt.Errorf("peer reply has unknown status %.40q", reply.Status)
	}
	if len(reply.Replicas) > maxReplicas {
		return reply, response, fmt.Errorf("peer reply lists %d replicas, which is too many", len(reply.Replicas))
	}
	if reply.RetryAfterMillis < 0 || reply.RetryAfterMillis > maxWait.Milliseconds() {
		return reply, response, fmt.Errorf("peer reply has retry time %d ms, which is out of range", reply.RetryAfterMillis)
	}
	return reply, response, nil
}
