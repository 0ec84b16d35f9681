package idempotency

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Paths of a register's HTTP interface.
const (
	pathClaim    = "/v1/claim"
	pathComplete = "/v1/handled"
	pathRelease  = "/v1/release"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key including its scope, the request type and tenant.
	maxKeyBytes = 2048
	// maxClaimBytes is the maximum length of a claim.
	maxClaimBytes = 64
	// maxWindow is the longest window.
	maxWindow = 24 * time.Hour
	// maxMessageBytes is the maximum length of a request body: MaxStoredResponse bytes in base64 and the other fields.
	maxMessageBytes = 96 << 10
)

// claimMessage is the body of every request to a register.
type claimMessage struct {
	Key      string `json:"key"`
	Claim    string `json:"claim"`
	WindowMS int64  `json:"window-ms,omitempty"`
	Response []byte `json:"body,omitempty"` // the response of a completed request
}

// claimAnswer is the body of the answer to a claim.
type claimAnswer struct {
	Vote     string `json:"said"`             // a name from voteName
	Owner    string `json:"holder,omitempty"` // the claim that owns the key
	Response []byte `json:"body,omitempty"`   // the response of the owner's completed request
}

// voteName returns the name of a vote in a claimAnswer, or an empty string for a vote that registers do not send.
func voteName(vote Vote) string {
	switch vote {
	case VoteGranted:
		return "granted"
	case VoteClaimed:
		return "held"
	case VoteCompleted:
		return "done"
	}
	return ""
}

// parseVote returns the vote with the given name, or VoteFailed if the name is unknown.
func parseVote(name string) Vote {
	for _, vote := range []Vote{VoteGranted, VoteClaimed, VoteCompleted} {
		if voteName(vote) == name {
			return vote
		}
	}
	return VoteFailed
}

// Handler returns the register's HTTP interface: POST /v1/claim, /v1/handled and /v1/release, each with a claimMessage.
func (r *Register) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathClaim, withMessage(r.handleClaim))
	mux.HandleFunc("POST "+pathComplete, withMessage(func(w http.ResponseWriter, message claimMessage) {
		writeEmpty(w, r.Complete(message.Key, message.Claim, message.Response))
	}))
	mux.HandleFunc("POST "+pathRelease, withMessage(func(w http.ResponseWriter, message claimMessage) {
		writeEmpty(w, r.Release(message.Key, message.Claim))
	}))
	return mux
}

// handleClaim claims a key and responds with the register's vote.
func (r *Register) handleClaim(w http.ResponseWriter, message claimMessage) {
	if message.WindowMS < 1 || message.WindowMS > maxWindow.Milliseconds() {
		reason := fmt.Sprintf("window-ms %d is not between 1 and %d", message.WindowMS, maxWindow.Milliseconds())
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	window := time.Duration(message.WindowMS) * time.Millisecond
	vote, entry, err := r.Claim(message.Key, message.Claim, window)
	switch {
	case errors.Is(err, ErrFull):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		answer := claimAnswer{Vote: voteName(vote), Owner: entry.Claim, Response: entry.Response}
		_ = json.NewEncoder(w).Encode(answer) // a worker that does not receive the answer counts it as VoteFailed
	}
}

// withMessage returns a handler that decodes the request's body and passes it to handle.
func withMessage(handle func(http.ResponseWriter, claimMessage)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		message, err := decodeMessage(http.MaxBytesReader(w, request.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		handle(w, message)
	}
}

// writeEmpty responds with err, or with status 204 if err is nil.
func writeEmpty(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decodeMessage decodes and validates the body of a request.
func decodeMessage(body io.Reader) (message claimMessage, err error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		return message, fmt.Errorf("body: %w", err)
	}
	switch {
	case decoder.More():
		return message, errors.New("body: more than one value")
	case message.Key == "" || len(message.Key) > maxKeyBytes:
		return message, fmt.Errorf("key of %d bytes, 1 to %d are taken", len(message.Key), maxKeyBytes)
	case message.Claim == "" || len(message.Claim) > maxClaimBytes:
		return message, fmt.Errorf("claim of %d bytes, 1 to %d are taken", len(message.Claim), maxClaimBytes)
	}
	return message, nil
}
