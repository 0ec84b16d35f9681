package scenario

import (
	"slices"
	"time"
)

// ClientStats counts how requests ended for their clients.
type ClientStats struct {
	Requests   int `json:"Events"`
	Served     int
	InTime     int // of those served: within the latency objective
	Failed     int `json:"Dead"`
	Abandoned  int `json:"GaveUp"` // out of attempts or time
	Unanswered int
	Attempts   int             `json:"Tries"`
	Latencies  []time.Duration `json:"Took"` // of those served, from the first attempt
}

// Percentile is a percentile of the latencies; 0 where there are none.
func (s ClientStats) Percentile(p float64) time.Duration {
	if len(s.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.Latencies))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// add counts a request that has ended.
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
