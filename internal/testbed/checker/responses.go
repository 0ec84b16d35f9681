package checker

import (
	"net/http"
	"time"
)

// checkResponses checks rule 1: one final response to each request, in time, and no attempt after it.
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
	for id, attempts := range e.sent {
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

// checkResponse checks a request that got a response; repeated says that it had one before.
func (e *evaluation) checkResponse(request *clientRequest, repeated bool) {
	at := place{gateway: request.gateway, at: request.responseBegin, requestID: request.requestID}
	if repeated {
		e.violated(ruleResponses, at, "second response")
	}
	if late := request.responseEnd - e.due(request); late > 0 {
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

// checkUnanswered checks a request that got no response, or not all of one.
func (e *evaluation) checkUnanswered(request *clientRequest) {
	due := e.due(request)
	crashedAt, crashed := e.traffic.crashedAt[request.gateway]
	at := place{gateway: request.gateway, at: request.closedAt, requestID: request.call.ClientID}
	switch {
	case crashed && crashedAt <= due:
		e.Lost++
	case request.disconnected && request.closedAt <= due:
		e.Disconnected++
	case request.closedByGateway:
		e.violated(ruleResponses, at, "connection closed without a response")
	case due <= e.end && !request.gateway.Torn:
		at.at = due
		e.violated(ruleResponses, at, "no response within %v and %v of slack", request.call.TimeLeft,
			e.fleet.AnswerSlack.Std())
	}
}

// due is when a request has to have its response.
func (e *evaluation) due(request *clientRequest) time.Duration {
	return request.receivedAt + request.call.TimeLeft + e.fleet.AnswerSlack.Std()
}
