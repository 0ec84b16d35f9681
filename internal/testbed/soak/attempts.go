package soak

import (
	"math"
	"net"
	"time"

	"lupinpond/internal/gateway/resp"
	"lupinpond/internal/testbed/faultproxy"
)

const (
	// slots is the number of requests that a worker runs concurrently.
	slots = 8
	// maxQueued is the number of requests that may wait at a worker in addition to the running ones.
	maxQueued = 32
	// meanRunTime is the mean execution time of a request, without extraRunTime.
	meanRunTime = 8 * time.Millisecond
	// extraRunTime is the mean additional execution time for the functions with long runs (see hasLongRuns).
	extraRunTime = 200 * time.Millisecond
	// loadTime is the time that it takes to load a replica.
	loadTime = 60 * time.Millisecond
	// duplicateDelay is the delay between an answer and its duplicate.
	duplicateDelay = 3 * time.Millisecond
)

// corruptAnswer is an answer that the gateway can't parse.
const corruptAnswer = "*4\r\n$16\r\nnoise\r\n$-1\r\n"

// attempt is an attempt at a request, as a worker received it.
type attempt struct {
	id             string
	class          string
	body           string
	idempotencyKey string
	statedTimeLeft time.Duration
	receivedAt     time.Time // when its last byte was read
	worker         string
	drainingSince  time.Time // when the worker's drain was published; zero: the worker isn't draining
	readLate       bool      // the worker may have accepted the connection late, so the time of the write is unknown
}

// job is an attempt that a worker runs or has queued.
type job struct {
	conn           net.Conn
	id             string
	cancelKey      string // key in worker.cancelled
	longRun        bool
	replicaState   string
	replicaReadyAt time.Time
}

func cancelKey(conn net.Conn, id string) string { return conn.RemoteAddr().String() + " " + id }

// expectedBody returns the body with which a worker answers a request.
func expectedBody(id string) string { return "done " + id }

// hasLongRuns reports whether a function's requests run long: those of functions whose last digit is 0, 4 or 8 do.
func hasLongRuns(function string) bool {
	return function != "" && (function[len(function)-1]-'0')%4 == 0
}

// checkLoadRequest counts a load request, and passes it to the checker if the worker has been draining for longer than
// drainSlack, unless the request may have been read late.
func (w *worker) checkLoadRequest(conn net.Conn, now time.Time, readLate bool) {
	w.checker.count(func(counts *Counts) { counts.LoadRequests++ })
	drainingSince := w.drainStart()
	if drainingSince.IsZero() || readLate || now.Sub(drainingSince) <= drainSlack {
		return
	}
	if gateway := w.sender(conn); gateway != nil {
		w.checker.loadRequestReceived(gateway, w.endpoint.Name, drainingSince, now)
	}
}

// handleReplicaQuery answers a replica query with the number of loaded replicas of a function. A draining worker
// rejects it unless drainingAnswersQueries is set.
func (w *worker) handleReplicaQuery(conn net.Conn, tag, function string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.drainingSince.IsZero() && !w.drainingAnswersQueries {
		w.answer(conn, tag, "refused", "n=0", "")
		return
	}
	replicas := "n=0"
	if readyAt, loaded := w.replicas[function]; loaded && !now.Before(readyAt) {
		replicas = "n=1"
	}
	w.answer(conn, tag, "ok", replicas, "")
}

// handleLoadRequest loads a replica of a function and answers once it is loaded. A draining worker rejects the request.
func (w *worker) handleLoadRequest(conn net.Conn, tag, function string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.drainingSince.IsZero() {
		w.answer(conn, tag, "refused", "n=0", "")
		return
	}
	ready, _ := w.ensureReplica(function, now)
	time.AfterFunc(ready.Sub(now), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answer(conn, tag, "ok", "n=1", "")
	})
}

// ensureReplica returns the time at which the function's replica is loaded, and the replica's state for the answer:
// "loaded" (this call starts the load), "queued" (a load is in progress) or "ready". w.mu must be held.
func (w *worker) ensureReplica(function string, now time.Time) (readyAt time.Time, state string) {
	readyAt, ok := w.replicas[function]
	switch {
	case !ok:
		readyAt, state = now.Add(loadTime), "loaded"
		w.replicas[function] = readyAt
	case now.Before(readyAt):
		state = "queued"
	default:
		state = "ready"
	}
	return readyAt, state
}

// handleAttempt runs, queues or rejects an attempt.
func (w *worker) handleAttempt(conn net.Conn, id, function string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkSlowStart(now)
	switch {
	case w.misbehavior.silent:
		return
	case !w.drainingSince.IsZero() || w.misbehavior.rejects || len(w.queue) >= maxQueued:
		w.answer(conn, id, "refused", "stats="+w.stats(), "")
		return
	case w.misbehavior.fails:
		w.checker.executionStarted(id, w.endpoint.Name)
		w.answer(conn, id, "error", "stats="+w.stats(), "")
		return
	}
	readyAt, state := w.ensureReplica(function, now)
	j := &job{
		conn:           conn,
		id:             id,
		cancelKey:      cancelKey(conn, id),
		longRun:        hasLongRuns(function),
		replicaState:   state,
		replicaReadyAt: readyAt,
	}
	if w.running < slots {
		w.run(j, now)
	} else {
		w.queue = append(w.queue, j)
	}
}

// checkSlowStart records a violation when a worker receives more requests within crashWindow than it can handle in slow
// start. With mean, crashMultiple times the number of requests that its current capacity can run in crashWindow, the
// limit is mean + 2*sqrt(mean) + 2: two standard deviations and two requests more. w.mu must be held.
func (w *worker) checkSlowStart(now time.Time) {
	w.recentRequests = append(w.recentRequests, now)
	for len(w.recentRequests) > 0 && now.Sub(w.recentRequests[0]) > crashWindow {
		w.recentRequests = w.recentRequests[1:]
	}
	age := now.Sub(w.startedAt)
	if w.startedAt.IsZero() || age >= warmUpTime {
		return
	}
	capacityShare := initialShare + (1-initialShare)*float64(age)/float64(warmUpTime)
	mean := crashMultiple * capacityShare * slots * float64(crashWindow) / float64(meanRunTime+loadTime/4)
	limit := mean + 2*math.Sqrt(mean) + 2
	if count := float64(len(w.recentRequests)); count > limit {
		w.checker.recordViolation(SlowStartOverrun, "", "", "worker %s, started %v ago, received %v requests, limit %.0f",
			w.endpoint.Name, age, count, limit)
		w.recentRequests = nil
	}
}

// run starts the execution of a request; w.mu must be held.
func (w *worker) run(j *job, now time.Time) {
	w.running++
	loading := max(0, j.replicaReadyAt.Sub(now))
	duration := loading + meanRunTime/2 + time.Duration(w.random.ExpFloat64()*float64(meanRunTime/2)) +
		w.misbehavior.extraDelay
	if j.longRun {
		duration += extraRunTime/2 + time.Duration(w.random.Int64N(int64(extraRunTime)))
	}
	time.AfterFunc(loading, func() {
		w.mu.Lock()
		cancelled := w.cancelled[j.cancelKey]
		w.mu.Unlock()
		if !cancelled {
			w.checker.executionStarted(j.id, w.endpoint.Name)
		}
	})
	time.AfterFunc(duration, func() { w.finish(j) })
}

// finish answers a request that has been executed, unless it was cancelled, and runs queued requests in the free slots.
func (w *worker) finish(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if !w.cancelled[j.cancelKey] {
		w.reply(j)
	}
	delete(w.cancelled, j.cancelKey)
	for len(w.queue) > 0 && w.running < slots {
		next := w.queue[0]
		w.queue = w.queue[1:]
		if !w.cancelled[next.cancelKey] {
			w.run(next, time.Now())
		}
		delete(w.cancelled, next.cancelKey)
	}
}

// reply answers a request, or misbehaves instead as the worker's misbehavior says; w.mu must be held.
func (w *worker) reply(j *job) {
	elements := []string{j.id, "ok", "how=" + j.replicaState + ",stats=" + w.stats(), expectedBody(j.id)}
	switch {
	case w.misbehavior.silent:
	case w.misbehavior.resets:
		faultproxy.ResetConn(j.conn)
	case w.misbehavior.corrupts:
		writeAnswer(j.conn, []byte(corruptAnswer))
	case w.misbehavior.duplicates:
		w.answer(j.conn, elements...)
		time.AfterFunc(duplicateDelay, func() { writeAnswer(j.conn, resp.AppendArray(nil, elements...)) })
	default:
		w.answer(j.conn, elements...)
	}
}
