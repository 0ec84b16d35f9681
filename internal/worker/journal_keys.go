package worker

import (
	"context"
	"time"

	"lupinpond/internal/worker/idempotency"
)

const (
	// localClaim is the claim of every request at the worker's own journal, which has no two claims of a key to tell
	// apart.
	localClaim = "own"
	// maxStoredResponseBytes is how many bytes of responses the journal stores in all; beyond it a duplicate gets no
	// body.
	maxStoredResponseBytes = 64 << 20
	// keySweepInterval is the least time between two removals of expired keys.
	keySweepInterval = time.Second
)

// claimedKey is an idempotency key inside its window.
type claimedKey struct {
	expiresAt time.Time
	completed bool // else its request may have run
	response  []byte
}

// record is what the journal has of a key.
func (k claimedKey) record(kind recordKind, name string) journalRecord {
	return journalRecord{Kind: kind, Key: name, ExpiresAt: k.expiresAt, Response: k.response}
}

// Claim records that a request with an idempotency key is handed to a replica, unless it is a duplicate inside the
// window of the first.
func (j *journal) Claim(
	_ context.Context, name string, window time.Duration,
) (claim string, decision idempotency.Decision, response []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	j.sweep(now)
	if key, known := j.keys[name]; known && now.Before(key.expiresAt) {
		if key.completed {
			return "", idempotency.DecisionCompleted, key.response
		}
		return "", idempotency.DecisionDuplicate, nil
	}
	key := claimedKey{expiresAt: now.Add(window)}
	if j.appendKey(recordKeyClaimed, name, key) != nil {
		return "", idempotency.DecisionUnknown, nil
	}
	j.responseBytes -= len(j.keys[name].response) // of a key whose window is over
	j.keys[name] = key
	return localClaim, idempotency.DecisionExecute, nil
}

// sweep removes expired keys, now and then; the lock is held.
func (j *journal) sweep(now time.Time) {
	if !now.After(j.nextSweep) {
		return
	}
	j.nextSweep = now.Add(keySweepInterval)
	for name, key := range j.keys {
		if now.After(key.expiresAt) {
			j.responseBytes -= len(key.response)
			delete(j.keys, name)
		}
	}
}

// Complete records that a request with an idempotency key was completed, with its response if there is space for it.
func (j *journal) Complete(name, _ string, response []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key, known := j.keys[name]
	if !known { // its window is over
		return
	}
	key.completed = true
	if len(response) <= idempotency.MaxStoredResponse && j.responseBytes+len(response) <= maxStoredResponseBytes {
		key.response = response
		j.responseBytes += len(response)
	}
	j.keys[name] = key
	_ = j.appendKey(recordKeyCompleted, name, key) // unwritten, its duplicates count as may have run after a restart
}

// Release gives a key back: its request was handed to no replica after all.
func (j *journal) Release(name, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.keys, name)
	expired := claimedKey{expiresAt: time.Unix(1, 0)}
	_ = j.appendKey(recordKeyClaimed, name, expired) // unwritten, its duplicates count as may have run after a restart
}

// appendKey writes a key; the lock is held.
func (j *journal) appendKey(kind recordKind, name string, key claimedKey) error {
	err := j.records.append(key.record(kind, name))
	if err != nil {
		j.log.Error("journal idempotency key failed", "err", err)
	}
	return err
}
