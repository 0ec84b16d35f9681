// Package score is the model of the preview example: one linear layer and a logistic function, with its weights.
package score

import (
	"encoding/json"
	"fmt"
	"math"
)

// weights of the model: one for each feature, the bias last.
var weights = []float64{0.42, -0.17, 0.08, 1.3}

type request struct {
	Features []float64 `json:"features"`
}

// Score reads features from JSON and answers the score as JSON, between 0 and 1. An input without exactly one number
// for each weight is an error.
func Score(input []byte) ([]byte, error) {
	var r request
	if err := json.Unmarshal(input, &r); err != nil {
		return nil, fmt.Errorf("input: %w", err)
	}
	if len(r.Features) != len(weights)-1 {
		return nil, fmt.Errorf("%d features, the model has %d", len(r.Features), len(weights)-1)
	}
	sum := weights[len(weights)-1]
	for i, feature := range r.Features {
		sum += weights[i] * feature
	}
	return json.Marshal(map[string]float64{"score": 1 / (1 + math.Exp(-sum))})
}
