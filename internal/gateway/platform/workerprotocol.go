package platform

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/resp"
	"lupinpond/scheduler"
)

// Commands of the platform's worker protocol.
const (
	commandRequest = "FN"
	commandCancel  = "KILL"
	commandLoad    = "SPAWN"
	commandProbe   = "TOP"
)

// Indexes of the elements of a response, after the ID.
const (
	responseStatus = iota
	responseFields
	responseBody
	responseElements
)

// reportedQueueDepth is the field of a load report that holds the number of waiting requests.
const reportedQueueDepth = "pending"

// requestOverhead is the capacity in bytes that is allocated for an encoded request without its body.
const requestOverhead = 160

// encodeRequest encodes an attempt with the time left until the client's deadline.
func encodeRequest(request *gateway.Request, timeLeft time.Duration) []byte {
	fields := "class=" + request.Scheduled.Type + ",key=" + formatFunction(request.Scheduled.Function) +
		",wait=" + strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10)
	if request.Call.IdempotencyKey != "" {
		fields += ",once=" + request.Call.IdempotencyKey
	}
	b := make([]byte, 0, requestOverhead+len(request.Body))
	return resp.AppendArray(b, commandRequest, request.Scheduled.ID, fields, string(request.Body))
}

func encodeLoadRequest(tag string, request scheduler.LoadRequest) []byte {
	fields := "key=" + formatFunction(request.Function) + ",n=" + strconv.Itoa(request.Replicas)
	return resp.AppendArray(nil, commandLoad, tag, fields)
}

func formatFunction(function uint64) string { return fmt.Sprintf("%016x", function) }

// parseOutcome returns the outcome of an attempt and the body of its answer.
func (t *workerTransport) parseOutcome(result resp.Result) (outcome scheduler.Outcome, body []byte) {
	switch result.Outcome {
	case resp.NotSent:
		return scheduler.Outcome{Result: scheduler.Unreachable}, nil
	case resp.Withheld:
		return scheduler.Outcome{Result: scheduler.Withheld}, nil
	case resp.ConnectionLost:
		return scheduler.Outcome{Result: scheduler.ConnectionLost}, nil
	case resp.Cancelled:
		return scheduler.Outcome{Result: scheduler.Cancelled}, nil
	}
	if len(result.Elements) != responseElements { // the request has run, but its result is unknown
		return scheduler.Outcome{Result: scheduler.ConnectionLost}, nil
	}
	fields := resp.ParsePairs(string(result.Elements[responseFields]))
	outcome.Report = t.parseLoad(fields["stats"])
	outcome.ReplicaState = parseReplicaState(fields["how"])
	switch string(result.Elements[responseStatus]) {
	case "ok":
		outcome.Result, body = scheduler.Completed, bytes.Clone(result.Elements[responseBody])
	case "nothing":
		outcome.Result = scheduler.NotFound
	case "refused":
		outcome.Result = scheduler.Rejected
	case "stale":
		outcome.Result = scheduler.Withheld
	case "error":
		outcome.Result = scheduler.Failed
	default:
		outcome.Result = scheduler.ConnectionLost
	}
	return outcome, body
}

// parseReplicaState parses the state in which an attempt found the replica.
func parseReplicaState(text string) (state scheduler.ReplicaState) {
	switch text {
	case "ready":
		state = scheduler.ReplicaWarm
	case "loaded":
		state = scheduler.ReplicaLoadStarted
	case "queued":
		state = scheduler.ReplicaLoadJoined
	case "no_image":
		state = scheduler.ReplicaLoadFailed
	}
	return state
}

// controlFailure returns the result of a load request or a probe that got no response, or one of fewer than the given
// number of elements. ok is true if the response is long enough.
func controlFailure(result resp.Result, elements int) (failure scheduler.Result, ok bool) {
	switch {
	case result.Outcome == resp.NotSent:
		return scheduler.Unreachable, false
	case result.Outcome == resp.Withheld:
		return scheduler.Withheld, false
	case result.Outcome != resp.Answered || len(result.Elements) < elements:
		return scheduler.ConnectionLost, false
	}
	return 0, true
}

// parseLoadResult returns the number of replicas in the response to a load request, and the result. Without a response
// the number is the one that was requested.
func parseLoadResult(request scheduler.LoadRequest, result resp.Result) (replicas int, outcome scheduler.Result) {
	if failure, ok := controlFailure(result, responseFields+1); !ok {
		return request.Replicas, failure
	}
	replicas, err := strconv.Atoi(resp.ParsePairs(string(result.Elements[responseFields]))["n"])
	outcome = scheduler.ConnectionLost
	switch string(result.Elements[responseStatus]) {
	case "ok":
		outcome = scheduler.Completed
		if err != nil {
			replicas = request.Replicas
		}
	case "refused":
		outcome = scheduler.Rejected
	case "error":
		outcome = scheduler.Failed
	}
	return max(0, replicas), outcome
}

// parseProbeResult returns the result of a probe and the load that the worker reports.
func (t *workerTransport) parseProbeResult(result resp.Result) (scheduler.Result, scheduler.LoadReport) {
	if failure, ok := controlFailure(result, responseStatus+1); !ok {
		return failure, scheduler.LoadReport{}
	}
	switch string(result.Elements[responseStatus]) {
	case "yes":
		load := scheduler.LoadReport{}
		if len(result.Elements) > responseFields {
			load = t.parseLoad(resp.ParsePairs(string(result.Elements[responseFields]))["stats"])
		}
		return scheduler.Completed, load
	case "no":
		return scheduler.Rejected, scheduler.LoadReport{}
	}
	return scheduler.Failed, scheduler.LoadReport{}
}

// parseLoad parses a load report, a list of name:value pairs separated by semicolons.
func (t *workerTransport) parseLoad(text string) scheduler.LoadReport {
	if text == "" || t.reportField == "" {
		return scheduler.LoadReport{}
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if name != t.reportField {
			continue
		}
		depth, err := strconv.ParseFloat(value, 64)
		return scheduler.LoadReport{Reported: err == nil, QueueDepth: depth}
	}
	return scheduler.LoadReport{}
}
