package worker

import (
	"context"
	"time"

	"lupinpond/internal/worker/idempotency"
)

const (
	// localClaim is the claim that the journal returns for every key. Claims need not be distinguished here because the
	// journal has at most one claim of a key at a time.
	localClaim = "own"
	// maxStoredResponseBytes limits the total size of the responses stored in the journal. A response that would exceed
	// it is not stored, and duplicates of its request are reported as "may have run".
	maxStoredResponseBytes = 64 << 20
	// keySweepInterval is the minimum time between two removals of expired keys.
	keySweepInterval = time.Second
)

// claimedKey is the state of a claimed idempotency key.
type claimedKey struct {
	expiresAt time.Time
	completed bool // if false, the request may or may not have run
	response  []byte
}

// record returns the journal record of a key.
func (k claimedKey) record(kind recordKind, name string) journalRecord {
	return journalRecord{Kind: kind, Key: name, ExpiresAt: k.expiresAt, Response: k.response}
}

// Claim records that a request with an idempotency key is passed to a replica, unless the key was already claimed and
// its window has not ended.
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
	j.responseBytes -= len(j.keys[name].response) // the replaced key, if any, has expired
	j.keys[name] = key
	return localClaim, idempotency.DecisionExecute, nil
}

// sweep removes expired keys, at most once per keySweepInterval. The lock must be held.
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

// Complete records that a request with an idempotency key was completed, and stores its response. It has no effect if
// the response exceeds the size limits.
func (j *journal) Complete(name, _ string, response []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key, known := j.keys[name]
	fits := len(response) <= idempotency.MaxStoredResponse && j.responseBytes+len(response) <= maxStoredResponseBytes
	if !known || !fits { // an unknown key has expired and was removed
		return
	}
	key.completed, key.response = true, response
	j.responseBytes += len(response)
	j.keys[name] = key
	// If this record is not written, duplicates are reported as "may have run" after a restart.
	_ = j.appendKey(recordKeyCompleted, name, key)
}

// Release removes the claim of a key whose request was not passed to a replica.
func (j *journal) Release(name, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.keys, name)
	expired := claimedKey{expiresAt: time.Unix(1, 0)}
	// If this record is not written, duplicates are reported as "may have run" after a restart.
	_ = j.appendKey(recordKeyClaimed, name, expired)
}

// appendKey writes the record of a key and logs a failure. The lock must be held.
func (j *journal) appendKey(kind recordKind, name string, key claimedKey) error {
	err := j.records.append(key.record(kind, name))
	if err != nil {
		j.log.Error("journal idempotency key failed", "err", err)
	}
	return err
}
