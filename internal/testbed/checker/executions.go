package checker

import (
	"net/http"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/registry"
)

// The effects of request types, as settings spell them.
const (
	effectAtMostOnce    = "at-most-once"
	effectKeyed         = "keyed"
	effectRedeliverable = "redeliverable"
)

// attemptState is what a gateway could know of an attempt at a moment.
type attemptState int

const (
	stateInFlight attemptState = iota
	stateNeverRan
	stateMayHaveRun
)

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

// checkExecutions checks rule 2: no effect twice, and hedged requests only where they are redeliverable and settings
// allow it.
func (e *evaluation) checkExecutions() {
	placements := e.placements()
	for _, attempts := range e.sent {
		requestType := e.types[attempts[0].frame.Type]
		for i, attempt := range attempts {
			e.Checked[ruleExecutions]++
			if risk := e.earlierRisk(requestType, attempt, attempts[:i]); risk != nil {
				e.checkRetry(requestType, attempt, risk, placements)
			}
		}
	}
	for _, request := range e.traffic.requests {
		if request.status == http.StatusServiceUnavailable && !request.notAccepted && !idempotentAnywhere(request.call.Type) {
			e.checkRejection(request)
		}
	}
}

// idempotentAnywhere reports whether a client may repeat a request of the type although it may have run.
func idempotentAnywhere(requestType fleetconfig.RequestType) bool {
	return requestType.Effect == effectRedeliverable ||
		requestType.Effect == effectKeyed && requestType.DedupScope == "all"
}

// earlierRisk is the first of earlier attempts that may have run when another was sent; nil: none. It also checks that
// none was still in flight.
func (e *evaluation) earlierRisk(requestType fleetconfig.RequestType, next *attempt, earlier []*attempt) *attempt {
	var risk *attempt
	hedging := requestType.Effect == effectRedeliverable && e.fleet.Policy.Hedging
	for _, attempt := range earlier {
		switch attempt.state(next.begin) {
		case stateInFlight:
			if !hedging {
				e.violated(ruleExecutions, next.place(), "attempt sent while attempt %d is in flight at %s",
					attempt.frame.Number, attempt.worker)
			}
		case stateMayHaveRun:
			if risk == nil {
				risk = attempt
			}
		}
	}
	return risk
}

// checkRetry checks an attempt after one that may have run. Placements say where each worker stands.
func (e *evaluation) checkRetry(
	requestType fleetconfig.RequestType, retry, risk *attempt, placements map[string]registry.Entry,
) {
	switch requestType.Effect {
	case effectAtMostOnce:
		e.violated(ruleExecutions, retry.place(), "retried although attempt %d may have run", risk.frame.Number)
	case effectKeyed:
		if window := requestType.DedupWindow.Std(); retry.begin > risk.begin+window {
			e.violated(ruleExecutions, retry.place(), "retried outside its deduplication window of %v", window)
		}
		to, from := placements[retry.worker], placements[risk.worker]
		otherZone := to.Zone != from.Zone
		otherCell := otherZone || to.Cell != from.Cell
		if requestType.DedupScope == "zone" && otherZone || requestType.DedupScope == "cell" && otherCell {
			e.violated(ruleExecutions, retry.place(), "retried outside the %s of %s", requestType.DedupScope, risk.worker)
		}
	}
}

// checkRejection checks that a rejected request, which its client may repeat, never ran.
func (e *evaluation) checkRejection(request *clientRequest) {
	for _, attempt := range e.sent[request.requestID] {
		e.Checked[ruleExecutions]++
		if attempt.state(request.responseBegin) != stateNeverRan {
			at := place{request.gateway, request.responseBegin, request.requestID, attempt.worker}
			e.violated(ruleExecutions, at, "rejected although attempt %d may have run", attempt.frame.Number)
		}
	}
}

// placements is where each worker stands, by the newest watch event that has it.
func (e *evaluation) placements() map[string]registry.Entry {
	placements := map[string]registry.Entry{}
	for _, delivery := range e.input.Deliveries {
		for _, entry := range delivery.Event.Entries {
			placements[entry.Name] = entry
		}
	}
	return placements
}
