package fetch

import "slices"

// maxReplicas is the maximum number of workers tracked for each chunk.
const maxReplicas = 8

// ReplicaTracker tracks which workers were recently sent a chunk and therefore have a replica (a copy) of it, so that
// other workers can be referred to them. It keeps up to maxReplicas workers for each chunk.
type ReplicaTracker struct {
	byChunk     map[string][]string
	oldestFirst []string // chunks in the order in which they were added
	maxChunks   int
}

// NewReplicaTracker returns a tracker for at most maxChunks chunks. When it is full, it drops the oldest chunk.
func NewReplicaTracker(maxChunks int) *ReplicaTracker {
	return &ReplicaTracker{byChunk: map[string][]string{}, maxChunks: max(1, maxChunks)}
}

// Add records that a worker was sent a chunk. The name is empty if the client is not a worker.
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

// Replicas returns the workers that were sent a chunk, the most recent first, without the worker except.
func (t *ReplicaTracker) Replicas(chunk, except string) []string {
	var replicas []string
	for _, worker := range slices.Backward(t.byChunk[chunk]) {
		if worker != except {
			replicas = append(replicas, worker)
		}
	}
	return replicas
}
