package worker_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lupinpond/internal/worker"
	"lupinpond/internal/workerrpc"
)

// afterLastPoint is the fail point of a worker that kills itself after it has answered, not at a step of the load.
const afterLastPoint = "after"

// runUntilFailPoint runs a worker that kills itself at a fail point of a load, while a request waits for the load.
func runUntilFailPoint(point string) {
	options, _ := newOptions(os.Getenv(envFolder), os.Getenv(envStore))
	var err error
	options.ReplicaLog, err = os.OpenFile(os.Getenv(envReplicaLog), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	options.FailPoint = func(reached string) {
		if reached == point {
			crash()
		}
	}
	w, err := worker.New(options)
	if err != nil {
		panic(err)
	}
	answered := make(chan struct{})
	attempt := &workerrpc.Attempt{
		RequestID: "waits",
		Function:  faultyFunction,
		TimeLeft:  time.Minute,
		Body:      []byte("waits"),
	}
	w.HandleAttempt("front", attempt, func(result *workerrpc.AttemptResult) {
		if result.Code != workerrpc.CodeOK {
			panic(result.Reason)
		}
		close(answered)
	})
	<-answered
	crash()
}

// crash kills this process without any cleanup.
func crash() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// A worker is killed at each step of a load. The next incarnation must report the interrupted load and its admitted
// requests, and must not report a request that ran as not run. LP_ROUNDS sets the number of rounds per step.
func TestCrashDuringLoad(t *testing.T) {
	rounds := 2
	if n, err := strconv.Atoi(os.Getenv("LP_ROUNDS")); err == nil {
		rounds = n
	}
	checked := 0
	points := []string{
		worker.PointJournaled,
		worker.PointFetched,
		worker.PointVerified,
		worker.PointStarted,
		worker.PointCompleted,
		afterLastPoint,
	}
	for _, point := range points {
		for range rounds {
			checked += crashAt(t, point)
		}
	}
	t.Logf("%d requests of interrupted loads reported", checked)
}

// crashAt runs a worker that kills itself at a fail point and checks the interrupted loads that the next incarnation
// reports. It returns the number of requests in these loads.
func crashAt(t *testing.T, point string) (checked int) {
	t.Helper()
	folder := t.TempDir()
	replicaLog := filepath.Join(folder, "effects")
	runUntilKilled(t, point, folder, replicaLog)
	loads := interruptedLoads(t, folder)
	log, err := os.ReadFile(replicaLog)
	if err != nil {
		t.Fatal(err)
	}
	ran := strings.Contains(string(log), "effect waits")
	interrupted := point != worker.PointCompleted && point != afterLastPoint
	if interrupted != (len(loads) == 1) {
		t.Errorf("killed at %s: reported interrupted loads: %+v", point, loads)
	}
	if interrupted && len(loads) == 1 {
		load := loads[0]
		if load.Function != faultyFunction || len(load.Requests) != 1 || load.Requests[0].RequestID != "waits" {
			t.Errorf("killed at %s: want one load with request \"waits\", reported %+v", point, loads)
		}
	}
	for _, load := range loads {
		for _, request := range load.Requests {
			if checked++; ran && !request.MayHaveRun {
				t.Errorf("killed at %s: request %s ran but is reported as not run", point, request.RequestID)
			}
		}
	}
	if point == afterLastPoint && !ran {
		t.Error("the request was answered but did not run")
	}
	return checked
}

// runUntilKilled runs a worker process until it has killed itself at a fail point.
func runUntilKilled(t *testing.T, point, folder, replicaLog string) {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(),
		envFailPoint+"="+point, envFolder+"="+folder, envStore+"="+storeURL, envReplicaLog+"="+replicaLog)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	err = cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Fatalf("worker to be killed at %s exited otherwise: %v: %s", point, err, stderr.String())
	}
}

// interruptedLoads starts a new incarnation of the worker in a folder and returns the interrupted loads that it
// reports.
func interruptedLoads(t *testing.T, folder string) []workerrpc.InterruptedLoad {
	t.Helper()
	options, done := newOptions(folder, storeURL)
	t.Cleanup(done)
	next, err := worker.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := next.Run(ctx, listener); err != nil {
		t.Error(err)
	}
	return next.InterruptedLoads()
}
