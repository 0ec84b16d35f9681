package invoke

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome is the final outcome of a request.
type Outcome int

// The outcomes of requests.
const (
	Completed   Outcome = iota // the function returned a result
	Rejected                   // the client may safely retry the request
	Failed                     // the request may have run, and its type does not allow another attempt
	NotAccepted                // the request was over a limit or arrived while the gateway was draining
	InFlight                   // the request was not accepted because one with the same client ID is in flight
)

var outcomeNames = [...]string{
	Completed:   "completed",
	Rejected:    "rejected",
	Failed:      "failed",
	NotAccepted: "not_taken",
	InFlight:    "in_hand",
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// accepted reports whether a request with this outcome was accepted.
func (o Outcome) accepted() bool { return o != NotAccepted && o != InFlight }

// Response is the gateway's response to a request.
type Response struct {
	Outcome    Outcome
	RequestID  string
	Attempts   int
	Body       []byte        // response body of a completed request
	RetryAfter time.Duration // time after which the client may retry; 0 if not stated
	MayHaveRun bool          // whether a failed request may have run
	Reason     string
}

// WriteResponse writes a response as an HTTP response.
func WriteResponse(w http.ResponseWriter, response Response) {
	header := w.Header()
	if response.RequestID != "" && response.Outcome.accepted() {
		header.Set(HeaderRequestID, response.RequestID)
		header.Set(HeaderAttempts, strconv.Itoa(response.Attempts))
	}
	if response.Outcome == Completed {
		header.Set("Content-Type", "application/octet-stream")
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
		_, _ = w.Write(response.Body) // fails only if the client has disconnected
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

// problem returns the problem detail of a response that is not a success.
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
