package simadapter

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"lupinpond/internal/simadapter/simprotocol"
	"lupinpond/scheduler"
)

// retryFlag is the bit in the flags of a request that is set if its client marked it as a retry.
const retryFlag = 2

// replicaStateMask selects the bits of the replica state in the note of an outcome.
const replicaStateMask = 7

// resultCodes are the protocol's codes for results, indexed by scheduler.Result.
var resultCodes = []string{"OK", "INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED",
	"CANCELLED", "TOO_LATE", "NOT_FOUND"}

// handleProbeResult decodes an ECHO message, the result of a probe.
func (a *Adapter) handleProbeResult(gateway *gatewayInstance, line *simprotocol.Line) {
	worker := line.Text("worker")
	roundTrip := line.OptionalDuration("time")
	result := result(line)
	report := loadReport(line)
	if line.Finish() == nil {
		gateway.ProbeCompleted(a.now, worker, result, report, roundTrip)
	}
}

// handleLoadResult decodes a LOAD_RESULT message, the result of a load request.
func (a *Adapter) handleLoadResult(gateway *gatewayInstance, line *simprotocol.Line) {
	load := scheduler.LoadRequest{Worker: line.Text("worker"), Function: line.Uint("function")}
	result := result(line)
	duration := line.OptionalDuration("time")
	load.Replicas = int(line.OptionalUint("copies"))
	if line.Finish() == nil {
		gateway.LoadCompleted(a.now, load, result, duration)
	}
}

// handleMembership decodes a MEMBERSHIP message: an update of the worker registry (patch), its complete content (whole,
// stale_copy), or a failure of the subscription (broken).
func (a *Adapter) handleMembership(gateway *gatewayInstance, line *simprotocol.Line) error {
	line.Uint("list version")
	kind := line.Text("kind of list")
	entries := uint64(0)
	if kind == "broken" {
		entries = line.OptionalUint("number of entries")
	} else {
		entries = line.Uint("number of entries")
	}
	if kind != "patch" && kind != "whole" && kind != "stale_copy" && kind != "broken" {
		line.Expected("patch, whole, stale_copy or broken, got " + strconv.Quote(kind))
	}
	if err := line.Finish(); err != nil {
		return err
	}
	var members []scheduler.Member
	for range entries {
		member, err := a.readMember(gateway)
		if err != nil {
			return err
		}
		members = append(members, member)
	}
	switch kind {
	case "broken":
		gateway.WatchFailed(a.now)
	case "patch":
		gateway.UpdateMembership(a.now, members)
	default:
		gateway.ReplaceMembership(a.now, members)
	}
	a.markDirty(gateway)
	return nil
}

// readMember decodes an ENTRY line, one worker of a membership update.
func (a *Adapter) readMember(gateway *gatewayInstance) (scheduler.Member, error) {
	line, err := a.nextLine("ENTRY")
	if err != nil {
		return scheduler.Member{}, err
	}
	if line.Text("ENTRY") != "ENTRY" {
		line.Expected("ENTRY")
	}
	var member scheduler.Member
	member.Worker = line.Text("worker")
	member.Zone = line.OptionalText("zone")
	member.Kind = line.OptionalText("kind")
	member.Cell = line.OptionalText("cell")
	member.Condition = condition(line)
	if weight := line.OptionalFloat("size"); gateway.usesWeights {
		member.Weight = weight
	}
	member.Started = line.OptionalDuration("start")
	return member, line.Finish()
}

// handleIncoming decodes an INCOMING message, a client's request.
func (a *Adapter) handleIncoming(gateway *gatewayInstance, line *simprotocol.Line) error {
	var request scheduler.Request
	request.ID = line.Text("request")
	request.Type = line.Text("class")
	request.Tenant = line.OptionalText("tenant")
	request.Function = line.Uint("function")
	request.TimeLeft = line.Duration("patience")
	line.OptionalFloat("cost")
	request.Memory = line.OptionalFloat("memory")
	request.Concurrency = int(line.OptionalFloat("lanes"))
	request.LoadTime = time.Duration(line.OptionalFloat("load time") * float64(time.Millisecond))
	request.Retry = line.OptionalUint("flags")&retryFlag != 0
	if err := line.Finish(); err != nil {
		return err
	}
	a.markDirty(gateway)
	if err := gateway.Submit(a.now, &request); err != nil {
		return fmt.Errorf("request %s: %w", request.ID, err)
	}
	return nil
}

// handleSettled decodes a SETTLED message, the outcome of an attempt.
func (a *Adapter) handleSettled(gateway *gatewayInstance, line *simprotocol.Line) error {
	var outcome scheduler.Outcome
	id := line.Text("request")
	outcome.Duration = line.OptionalDuration("time")
	note := line.OptionalUint("note")
	outcome.Worker = line.Text("worker")
	outcome.Final = line.Bool("finished")
	attempt := int(line.Uint("attempt"))
	outcome.Result = result(line)
	outcome.Report = loadReport(line)
	if err := line.Finish(); err != nil {
		return err
	}
	if state := scheduler.ReplicaState(note & replicaStateMask); state <= scheduler.ReplicaLoadFailed {
		outcome.ReplicaState = state
	}
	a.markDirty(gateway)
	gateway.CompleteAttempt(a.now, id, attempt, outcome)
	return nil
}

// loadReport decodes a worker's load report from the next value.
func loadReport(line *simprotocol.Line) scheduler.LoadReport {
	pairs := line.Pairs("load report")
	pending, reported := pairs["pending"]
	return scheduler.LoadReport{Reported: reported, QueueDepth: pending}
}

// result decodes the code of a result from the next value.
func result(line *simprotocol.Line) scheduler.Result {
	code := line.Text("outcome")
	if i := slices.Index(resultCodes, code); i >= 0 {
		return scheduler.Result(i)
	}
	line.Expected("an outcome code, got " + strconv.Quote(code))
	return scheduler.Failed
}

// condition decodes a worker's condition from the next value.
func condition(line *simprotocol.Line) scheduler.Condition {
	switch code := line.Text("condition"); code {
	case "IN":
		return scheduler.Up
	case "LAME":
		return scheduler.Draining
	case "OUT":
		return scheduler.Removed
	default:
		line.Expected("IN, LAME or OUT, got " + strconv.Quote(code))
		return scheduler.Up
	}
}
