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

// afterLastPoint has a worker killed after it has answered, not at a step of the load.
const afterLastPoint = "after"

// runUntilFailPoint is a worker that kills itself at a point of a load, while a request waits for it.
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

// crash ends this process as a crash would.
func crash() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// Killed at every step of a load: the next incarnation reports that the load failed and which requests it had
// admitted, and never that one did not run which did. LP_ROUNDS sets the rounds for each step.
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

// crashAt has a worker killed at a point and checks what the next incarnation reports. It returns how many requests
// that did.
func crashAt(t *testing.T, point string) (checked int) {
	t.Helper()
	folder := t.TempDir()
	replicaLog := filepath.Join(folder, "effects")
	runKilled(t, point, folder, replicaLog)
	loads := interruptedLoads(t, folder)
	log, err := os.ReadFile(replicaLog)
	if err != nil {
		t.Fatal(err)
	}
	ran := strings.Contains(string(log), "effect waits")
	interrupted := point != worker.PointCompleted && point != afterLastPoint
	if interrupted != (len(loads) == 1) {
		t.Errorf("%s: reported %+v", point, loads)
	}
	if interrupted && len(loads) == 1 {
		load := loads[0]
		if load.Function != faultyFunction || len(load.Requests) != 1 || load.Requests[0].RequestID != "waits" {
			t.Errorf("%s: reported %+v", point, loads)
		}
	}
	for _, load := range loads {
		for _, request := range load.Requests {
			if checked++; ran && !request.MayHaveRun {
				t.Errorf("%s: %s ran, and is reported not to have", point, request.RequestID)
			}
		}
	}
	if point == afterLastPoint && !ran {
		t.Error("the request did not run where it was answered")
	}
	return checked
}

// runKilled runs a worker until it has killed itself.
func runKilled(t *testing.T, point, folder, replicaLog string) {
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
		t.Fatalf("%s: %v: %s", point, err, stderr.String())
	}
}

// interruptedLoads is what the next incarnation in a folder reports.
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
