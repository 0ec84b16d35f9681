package fetch

import "slices"

// maxReplicas is how many workers that have a chunk are remembered.
const maxReplicas = 8

// ReplicaTracker remembers which workers were sent a chunk lately, a few for each chunk, so that others can be referred
// to them.
type ReplicaTracker struct {
	byChunk     map[string][]string
	oldestFirst []string // chunks in the order in which they were first sent
	maxChunks   int
}

// NewReplicaTracker returns a tracker that remembers at most maxChunks chunks.
func NewReplicaTracker(maxChunks int) *ReplicaTracker {
	return &ReplicaTracker{byChunk: map[string][]string{}, maxChunks: max(1, maxChunks)}
}

// Add notes that a worker was sent a chunk. An empty name is a client that is no worker.
func (t *ReplicaTracker) Add(chunk, worker string) {
	workers, known := t.byChunk[chunk]
	if !known {
		if len(t.oldestFirst) >= t.maxChunks {
			delete(t.byChunk, t.oldestFirst[0])
			t.oldestFirst = t.oldestFirst[1:]
		}
		t.oldestFirst = append(t.oldestFirst, chunk)
	}
	if worker == "" || slices.Contains(workers, worker) {
		return
	}
	if len(workers) >= maxReplicas {
		workers = workers[1:]
	}
	t.byChunk[chunk] = append(workers, worker)
}

// Replicas returns the workers that were sent a chunk, the last first, without the one that asks.
func (t *ReplicaTracker) Replicas(chunk, except string) []string {
	var replicas []string
	for _, worker := range slices.Backward(t.byChunk[chunk]) {
		if worker != except {
			replicas = append(replicas, worker)
		}
	}
	return replicas
}
