package checker

import (
	"net/http"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// Effects of request types, as spelled in the settings.
const (
	effectAtMostOnce    = "at-most-once"
	effectKeyed         = "keyed"
	effectRedeliverable = "redeliverable"
)

// attemptState is the state of an attempt as far as its gateway could observe it at some time.
type attemptState int

const (
	stateInFlight attemptState = iota
	stateNeverRan
	stateMayHaveRun
)

// state returns the state of the attempt at a time. An attempt that was cancelled or whose connection closed before its
// result arrived may have run.
func (a *attempt) state(at time.Duration) attemptState {
	switch {
	case a.result != nil && a.resultAt <= at:
		if a.result.Code.NeverRan() {
			return stateNeverRan
		}
		return stateMayHaveRun
	case a.cancelledAt > 0 && a.cancelledAt <= at, a.disconnectedAt > 0 && a.disconnectedAt <= at:
		return stateMayHaveRun
	}
	return stateInFlight
}

// checkExecutions checks rule 2: no request takes effect twice, and attempts run in parallel only for redeliverable
// requests while the settings enable hedging.
func (e *evaluation) checkExecutions() {
	latest := e.latestEntries()
	for _, attempts := range e.attemptsByRequest {
		requestType := e.types[attempts[0].frame.Type]
		for i, attempt := range attempts {
			e.Checked[ruleExecutions]++
			if previous := e.firstThatMayHaveRun(requestType, attempt, attempts[:i]); previous != nil {
				e.checkRetry(requestType, attempt, previous, latest)
			}
		}
	}
	for _, request := range e.traffic.requests {
		if request.status == http.StatusServiceUnavailable && !request.notAccepted && !idempotentAnywhere(request.call.Type) {
			e.checkRejection(request)
		}
	}
}

// idempotentAnywhere reports whether a client may send a request of the type again, through any gateway, although an
// earlier attempt may have run.
func idempotentAnywhere(requestType fleetconfig.RequestType) bool {
	return requestType.Effect == effectRedeliverable ||
		requestType.Effect == effectKeyed && requestType.DedupScope == "all"
}

// firstThatMayHaveRun returns the first of the earlier attempts that may have run by the time next was sent, or nil. It
// also records a violation for each earlier attempt that was still in flight then, unless the request may be hedged.
func (e *evaluation) firstThatMayHaveRun(
	requestType fleetconfig.RequestType, next *attempt, earlier []*attempt,
) *attempt {
	var first *attempt
	hedging := requestType.Effect == effectRedeliverable && e.fleet.Policy.Hedging
	for _, attempt := range earlier {
		switch attempt.state(next.begin) {
		case stateInFlight:
			if !hedging {
				e.violated(ruleExecutions, next.place(), "attempt sent while attempt %d is in flight at %s",
					attempt.frame.Number, attempt.worker)
			}
		case stateMayHaveRun:
			if first == nil {
				first = attempt
			}
		}
	}
	return first
}

// checkRetry checks a retry that was sent after a previous attempt that may have run. A keyed request may only be
// retried within its deduplication window and scope; latest gives the zone and cell of each worker.
func (e *evaluation) checkRetry(
	requestType fleetconfig.RequestType, retry, previous *attempt, latest map[string]registry.Entry,
) {
	switch requestType.Effect {
	case effectAtMostOnce:
		e.violated(ruleExecutions, retry.place(), "retried although attempt %d may have run", previous.frame.Number)
	case effectKeyed:
		if window := requestType.DedupWindow.Std(); retry.begin > previous.begin+window {
			e.violated(ruleExecutions, retry.place(), "retried outside its deduplication window of %v", window)
		}
		to, from := latest[retry.worker], latest[previous.worker]
		otherZone := to.Zone != from.Zone
		otherCell := otherZone || to.Cell != from.Cell
		if requestType.DedupScope == "zone" && otherZone || requestType.DedupScope == "cell" && otherCell {
			e.violated(ruleExecutions, retry.place(), "retried outside the %s of %s", requestType.DedupScope, previous.worker)
		}
	}
}

// checkRejection checks that a rejected request never ran, since its client may send it again.
func (e *evaluation) checkRejection(request *clientRequest) {
	for _, attempt := range e.attemptsByRequest[request.requestID] {
		e.Checked[ruleExecutions]++
		if attempt.state(request.responseBegin) != stateNeverRan {
			at := place{request.gateway, request.responseBegin, request.requestID, attempt.worker}
			e.violated(ruleExecutions, at, "rejected although attempt %d may have run", attempt.frame.Number)
		}
	}
}

// latestEntries returns the registry entry of each worker from the newest watch event that contains the worker.
func (e *evaluation) latestEntries() map[string]registry.Entry {
	latest := map[string]registry.Entry{}
	for _, delivery := range e.input.Deliveries {
		for _, entry := range delivery.Event.Entries {
			latest[entry.Name] = entry
		}
	}
	return latest
}
