package scenario

import (
	"slices"
	"time"
)

// ClientStats counts the outcomes of requests as their clients saw them.
type ClientStats struct {
	Requests   int `json:"Events"`
	Served     int
	InTime     int // requests served within their latency objective
	Failed     int `json:"Dead"`
	Abandoned  int `json:"GaveUp"` // requests that the client stopped retrying after another outcome
	Unanswered int
	Attempts   int             `json:"Tries"`
	Latencies  []time.Duration `json:"Took"` // served requests: time from the first attempt to the response
}

// Percentile returns the latency at quantile p, from 0 to 1, or 0 if no request was served.
func (s ClientStats) Percentile(p float64) time.Duration {
	if len(s.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.Latencies))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// add counts a completed request.
func (s *ClientStats) add(outcome attemptOutcome, attempts int, latency, objective time.Duration) {
	s.Requests++
	s.Attempts += attempts
	switch outcome {
	case outcomeServed:
		s.Served++
		s.Latencies = append(s.Latencies, latency)
		if latency <= objective {
			s.InTime++
		}
	case outcomeFailed:
		s.Failed++
	case outcomeUnanswered:
		s.Unanswered++
	default:
		s.Abandoned++
	}
}
