package platform

import (
	"sync/atomic"

	"lupinpond/internal/gateway/thrift"
)

// rejection is the reason why a message of a client was refused before it reached the event loop.
type rejection int

// The reasons for a rejection.
const (
	malformedMessage rejection = iota // the arguments can't be decoded
	unknownMethod                     // the service has no such method
	badSequenceID                     // the number is not new, or too many requests are open on the connection
	invalidRequest                    // a field of the request is missing or invalid
	repeatedID                        // a request with the same ID came before
	noMemory                          // the requests in flight use the memory that is meant for them
	rejectionCount                    // number of reasons
)

// rejectionNames are the names of the reasons in logs and metrics.
var rejectionNames = [rejectionCount]string{
	malformedMessage: "malformed",
	unknownMethod:    "unknown_method",
	badSequenceID:    "bad_sequence",
	invalidRequest:   "invalid",
	repeatedID:       "repeated_id",
	noMemory:         "no_memory",
}

func (r rejection) String() string { return rejectionNames[r] }

// ofException returns the reason that an application exception states which ends its connection.
func ofException(code thrift.ExceptionCode) rejection {
	switch code {
	case thrift.UnknownMethod:
		return unknownMethod
	case thrift.BadSequenceID:
		return badSequenceID
	}
	return malformedMessage
}

// rejectionCounts counts the refused messages by reason.
type rejectionCounts [rejectionCount]atomic.Int64
