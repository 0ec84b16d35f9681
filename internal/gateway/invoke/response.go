package invoke

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Completed   Outcome = iota
	Rejected            // it may safely be retried
	Failed              // it may have run, and its type allows no further attempt
	NotAccepted         // over a limit, or while the gateway is draining
	InFlight            // not accepted: a request of the same client id is in flight
)

var outcomeNames = [...]string{
	Completed:   "completed",
	Rejected:    "rejected",
	Failed:      "failed",
	NotAccepted: "not_taken",
	InFlight:    "in_hand",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// accepted reports whether a request with that outcome was accepted.
func (o Outcome) accepted() bool { return o != NotAccepted && o != InFlight }

// Response is the response to a request.
type Response struct {
	Outcome    Outcome
	RequestID  string
	Attempts   int
	Body       []byte        // of a completed request
	RetryAfter time.Duration // 0: not stated
	MayHaveRun bool          // of a failed request
	Reason     string
}

// WriteResponse writes a response.
func WriteResponse(w http.ResponseWriter, response Response) {
	header := w.Header()
	if response.RequestID != "" && response.Outcome.accepted() {
		header.Set(HeaderRequestID, response.RequestID)
		header.Set(HeaderAttempts, strconv.Itoa(response.Attempts))
	}
	if response.Outcome == Completed {
		header.Set("Content-Type", "application/octet-stream")
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
		_, _ = w.Write(response.Body) // it fails only where the client has disconnected
		return
	}
	if response.Outcome == NotAccepted {
		header.Set("Connection", "close")
	}
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(response.RetryAfter.Seconds()))))
		millis := math.Ceil(float64(response.RetryAfter) / float64(time.Millisecond))
		header.Set(HeaderRetryAfterMillis, strconv.Itoa(int(millis)))
	}
	response.problem().Write(w)
}

// problem is the body of a response that is not a success.
func (r *Response) problem() *Problem {
	problem := &Problem{RequestID: r.RequestID, Attempts: r.Attempts, Detail: r.Reason}
	switch r.Outcome {
	case Rejected:
		problem.Type, problem.Title = ProblemRejected, "Deferred: try again later"
		problem.Status = http.StatusServiceUnavailable
	case Failed:
		problem.Type, problem.Title = ProblemFailed, "Dead-lettered"
		problem.Status = http.StatusBadGateway
		mayHaveRun := r.MayHaveRun
		problem.MayHaveRun = &mayHaveRun
	case NotAccepted:
		problem.Type, problem.Title = ProblemNotAccepted, "Not taken"
		problem.Status = http.StatusServiceUnavailable
	case InFlight:
		problem.Type, problem.Title = ProblemNotAccepted, "In hand already"
		problem.Status = http.StatusConflict
	}
	return problem
}
