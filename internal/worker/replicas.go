package worker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/worker/admission"
	"lupinpond/internal/worker/runner"
)

// Steps of a load that are passed to Options.FailPoint.
const (
	PointJournaled = "noted"    // the start of the load is journaled, and the load has not begun
	PointFetched   = "fetched"  // the package's content is installed
	PointVerified  = "verified" // the content matches its manifest
	PointStarted   = "started"  // the replica polls for requests
	PointCompleted = "warm"     // the end of the load is journaled
)

// maxLoadTimings is the maximum number of loads that Worker.LoadTimings returns.
const maxLoadTimings = 100

// LoadTimings holds the durations of the steps of a load.
type LoadTimings struct{ Fetch, Verify, Compile, Start time.Duration }

// errLoadFault is the error of a load that fails because the FailLoads fault is injected.
var errLoadFault = errors.New(reasonFault)

// replica is a replica that is loading or loaded on the worker.
type replica struct {
	process   *runner.Replica // nil while the replica is loading
	unloading bool            // whether admission decided to unload the replica
}

// runningReplica returns the replica with the given ID, or nil if it is still loading or has exited. The lock must be
// held.
func (w *Worker) runningReplica(id uint64) *replica {
	if r := w.replicas[id]; r != nil && r.process != nil {
		return r
	}
	return nil
}

// LoadTimings returns the timings of the last successful loads of this incarnation, oldest first.
func (w *Worker) LoadTimings() []LoadTimings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]LoadTimings(nil), w.loadTimings...)
}

// startLoad starts to load a replica in the background. The lock must be held.
func (w *Worker) startLoad(load admission.Load) {
	release := w.releases.active[load.Function.Name]
	w.replicas[load.ReplicaID] = &replica{}
	var fault error
	if w.faults.FailLoads {
		fault = errLoadFault
	}
	w.background.Go(func() { w.loadReplica(load.ReplicaID, release, fault) })
}

// loadReplica loads a replica and reports its success or failure to admission. If fault is not nil, the load fails with
// this injected error.
func (w *Worker) loadReplica(id uint64, release manifest.Manifest, fault error) {
	timings, process, err := w.startReplica(id, release, fault)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.options.Log.Warn("replica load failed", "package", release.Name, "version", release.Version, "err", err)
		delete(w.replicas, id)
		w.admission.LoadFailed(id)
		w.advance()
		return
	}
	w.options.Log.Info("replica loaded", "package", release.Name, "version", release.Version,
		"fetch", timings.Fetch, "verify", timings.Verify, "compile", timings.Compile, "start", timings.Start)
	w.loadTimings = append(w.loadTimings[max(0, len(w.loadTimings)-maxLoadTimings+1):], timings)
	w.replicas[id].process = process
	w.admission.LoadSucceeded(w.now(), id)
	w.background.Go(func() { w.watchReplica(id, process) })
	if w.state == closed {
		process.Stop(nil)
	}
	w.advance()
}

// startReplica starts a replica and journals the start and the end of its load. The start is synced to disk before the
// load begins, and the end is journaled whether the load succeeds or fails: only a crash or a failed write to the
// journal leaves a load without an end.
func (w *Worker) startReplica(
	id uint64, release manifest.Manifest, fault error,
) (timings LoadTimings, process *runner.Replica, err error) {
	start := journalRecord{Kind: recordLoadStarted, LoadID: id, Function: release.Name, Version: release.Version}
	if err := w.journal.appendSynced(start); err != nil {
		return timings, nil, err
	}
	defer func() {
		err = errors.Join(err, w.journal.append(journalRecord{Kind: recordLoadEnded, LoadID: id}))
		if err != nil && process != nil {
			process.Stop(nil)
		} else if err == nil {
			w.options.FailPoint(PointCompleted)
		}
	}()
	w.options.FailPoint(PointJournaled)
	if fault != nil {
		return timings, nil, fault
	}
	return w.installAndStart(id, release)
}

// installAndStart fetches a package into a folder used by this replica only, verifies it and starts the replica there.
func (w *Worker) installAndStart(
	id uint64, release manifest.Manifest,
) (timings LoadTimings, process *runner.Replica, err error) {
	name := fmt.Sprintf("%s-%s-%d", release.Name, release.Version, id)
	folder := filepath.Join(w.options.Folder, packagesFolder, name)
	fetchStart := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), w.options.StartTimeout)
	installed, err := w.options.Artifacts.Install(ctx, release.Name, release.Version, folder)
	cancel()
	if err != nil {
		return timings, nil, err
	}
	timings.Fetch = time.Since(fetchStart)
	w.options.FailPoint(PointFetched)
	verifyStart := time.Now()
	if err := installed.Verify(); err != nil {
		return timings, nil, errors.Join(err, os.RemoveAll(folder))
	}
	timings.Verify = time.Since(verifyStart)
	w.options.FailPoint(PointVerified)
	processStart := time.Now()
	process, err = w.replicaHost.Start(context.Background(), installed) // the host applies StartTimeout
	if err != nil {
		return timings, nil, errors.Join(err, os.RemoveAll(folder))
	}
	timings.Compile = process.CompileTime()
	timings.Start = max(0, time.Since(processStart)-timings.Compile)
	w.options.FailPoint(PointStarted)
	return timings, process, nil
}

// removeReplica removes a replica and reports its exit to admission. It is called when the replica has exited and when
// a call's error shows that it is exiting; only the first call has an effect. The lock must be held.
func (w *Worker) removeReplica(id uint64) {
	removed := w.replicas[id]
	if removed == nil {
		return
	}
	delete(w.replicas, id)
	if removed.unloading {
		w.admission.ReplicaUnloaded(id)
	} else {
		w.admission.ReplicaExited(w.now(), id)
	}
}

// watchReplica waits until a replica exits, whether it was stopped or exited by itself, and removes it. The runner
// completes the calls of the replica.
func (w *Worker) watchReplica(id uint64, process *runner.Replica) {
	<-process.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeReplica(id)
	_ = os.RemoveAll(process.Folder()) // if this fails, the next incarnation removes the folder at start
	w.advance()
}
