package artifactstore_test

import (
	"fmt"
	"testing"
	"time"

	"lupinpond/internal/artifact/artifactstore"
)

// At capacity a fetch is rejected with a time to come back; pushed far past capacity, the store stops for a while.
func TestAdmissionController(t *testing.T) {
	now := time.Second
	controller := artifactstore.NewAdmissionController(artifactstore.Capacity{MaxConcurrent: 2, StopFactor: 3,
		StopWindow: time.Second, StopDuration: 5 * time.Second})
	var decisions []artifactstore.Decision
	for range 8 {
		decision, retryAfter := controller.Admit(now)
		if decision != artifactstore.Admitted && retryAfter <= 0 {
			t.Error("no time to come back")
		}
		decisions = append(decisions, decision)
	}
	if fmt.Sprint(decisions) != "[0 0 1 1 1 1 2 2]" {
		t.Error(decisions)
	}
	controller.Done()
	controller.Done()
	if decision, _ := controller.Admit(now + 5*time.Second); decision != artifactstore.Admitted {
		t.Error("still stopped: ", decision)
	}
}
