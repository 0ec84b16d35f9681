// Package score implements the model of the preview example: one linear layer and a logistic function.
package score

import (
	"encoding/json"
	"fmt"
	"math"
)

// weights are the model's weights, one for each feature, followed by the bias.
var weights = []float64{0.42, -0.17, 0.08, 1.3}

type request struct {
	Features []float64 `json:"features"`
}

// Score parses a JSON object with a list of features and returns their score, between 0 and 1, as JSON. It returns an
// error unless there is exactly one feature for each weight but the bias.
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
