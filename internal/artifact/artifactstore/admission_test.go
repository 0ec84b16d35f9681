package artifactstore_test

import (
	"fmt"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
)

// A store at capacity must reject fetches with a Retry-After. When far more fetches than its capacity arrive, it must
// stop for StopDuration and then admit fetches again.
func TestAdmissionController(t *testing.T) {
	now := time.Second
	controller := artifactstore.NewAdmissionController(artifactstore.Capacity{MaxConcurrent: 2, StopFactor: 3,
		StopWindow: time.Second, StopDuration: 5 * time.Second})
	var decisions []artifactstore.Decision
	for range 8 {
		decision, retryAfter := controller.Admit(now)
		if decision != artifactstore.Admitted && retryAfter <= 0 {
			t.Error("a rejected fetch has no Retry-After")
		}
		decisions = append(decisions, decision)
	}
	if fmt.Sprint(decisions) != "[0 0 1 1 1 1 2 2]" {
		t.Error(decisions)
	}
	controller.Done()
	controller.Done()
	if decision, _ := controller.Admit(now + 5*time.Second); decision != artifactstore.Admitted {
		t.Error("a fetch was rejected after the stop had ended: ", decision)
	}
}
