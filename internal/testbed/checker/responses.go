package checker

import (
	"net/http"
	"time"
)

// checkResponses checks rule 1: each request gets one final response before its deadline, and no attempt is sent after
// that response.
func (e *evaluation) checkResponses() {
	final := map[string]*clientRequest{}
	for _, request := range e.traffic.requests {
		if request.status == http.StatusOK && request.requestID == "" {
			at := place{gateway: request.gateway, at: request.responseBegin}
			e.violated(ruleResponses, at, "status 200 without a request ID")
		}
		if request.notAccepted && request.status != 0 {
			e.NotAccepted++
			continue
		}
		e.Requests++
		e.Checked[ruleResponses]++
		if request.status != 0 {
			e.checkResponse(request, final[request.requestID] != nil)
			final[request.requestID] = request
		} else {
			e.checkUnanswered(request)
		}
	}
	for id, attempts := range e.attemptsByRequest {
		response := final[id]
		if response == nil {
			continue
		}
		for _, attempt := range attempts {
			if attempt.begin > response.responseBegin {
				e.violated(ruleResponses, attempt.place(), "attempt sent %v after the final response",
					attempt.begin-response.responseBegin)
			}
		}
	}
}

// checkResponse checks a request that got a response; repeated reports whether an earlier response had the same
// request ID.
func (e *evaluation) checkResponse(request *clientRequest, repeated bool) {
	at := place{gateway: request.gateway, at: request.responseBegin, requestID: request.requestID}
	if repeated {
		e.violated(ruleResponses, at, "second response")
	}
	if late := request.responseEnd - e.deadline(request); late > 0 {
		end := at
		end.at = request.responseEnd
		e.violated(ruleResponses, end, "response %v after the client's time and slack", late)
	}
	switch request.status {
	case http.StatusOK:
		e.Completed++
	case http.StatusServiceUnavailable:
		e.Rejected++
	case http.StatusBadGateway:
		e.Failed++
	default:
		e.violated(ruleResponses, at, "status %d is no outcome of a request", request.status)
	}
}

// checkUnanswered checks a request that got no response or only part of one.
func (e *evaluation) checkUnanswered(request *clientRequest) {
	deadline := e.deadline(request)
	crashedAt, crashed := e.traffic.crashedAt[request.gateway]
	at := place{gateway: request.gateway, at: request.closedAt, requestID: request.call.ClientID}
	switch {
	case crashed && crashedAt <= deadline:
		e.Lost++
	case request.disconnected && request.closedAt <= deadline:
		e.Disconnected++
	case request.closedByGateway:
		e.violated(ruleResponses, at, "connection closed without a response")
	case deadline <= e.end && !request.gateway.Torn:
		at.at = deadline
		e.violated(ruleResponses, at, "no response within %v and %v of slack", request.call.TimeLeft,
			e.fleet.AnswerSlack.Std())
	}
}

// deadline returns the time by which the response to the request must be complete.
func (e *evaluation) deadline(request *clientRequest) time.Duration {
	return request.receivedAt + request.call.TimeLeft + e.fleet.AnswerSlack.Std()
}
