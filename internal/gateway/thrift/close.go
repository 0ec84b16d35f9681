package thrift

import (
	"errors"
	"os"
	"time"
)

// CloseReason is the reason why a connection was closed.
type CloseReason int

// The reasons for closing a connection.
const (
	ClientDisconnected CloseReason = iota // the client closed or reset the connection
	IdleTimedOut                          // the connection was idle for too long, or no first message arrived in time
	Evicted                               // the connection was idle, and the limit was reached when a new one came
	Drained                               // the connection was idle, and the server was draining
	Malformed                             // a message was malformed or not allowed
	IncompleteMessage                     // the rest of a message did not arrive in time
	ClientNotReading                      // the client did not read its answers
	ServerStopped                         // the server stopped without draining the connection
	NoCapacity                            // the connection was new, and no idle one could be evicted for it
	CloseReasonCount                      // number of reasons
)

// closeReasonNames are the names of the reasons in logs and metrics.
var closeReasonNames = [CloseReasonCount]string{
	ClientDisconnected: "client_left",
	IdleTimedOut:       "idle",
	Evicted:            "gave_way",
	Drained:            "drained",
	Malformed:          "malformed",
	IncompleteMessage:  "unfinished",
	ClientNotReading:   "not_reading",
	ServerStopped:      "stopped",
	NoCapacity:         "no_place",
}

// String returns the name of the reason in logs and metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// ByServer reports whether the server closed the connection although the client had not violated the protocol.
func (r CloseReason) ByServer() bool {
	return r == IdleTimedOut || r == Evicted || r == Drained || r == IncompleteMessage || r == ServerStopped
}

// CloseEvent describes a connection that was closed.
type CloseEvent struct {
	Reason         CloseReason
	ClientAddr     string
	OpenCalls      int           // number of calls without an answer
	UnwrittenBytes int           // size of the answers that were not written
	Duration       time.Duration // time since the connection was accepted
}

// Errors with which readFrame ends the reading of an idle connection.
var (
	errEvicted       = errors.New("thrift: connection evicted for a new one")
	errPartialMemory = errors.New("thrift: too many incomplete messages")
	errIdleTimeout   = errors.New("thrift: idle timeout")
	errDrained       = errors.New("thrift: the server is draining")
	errShutdown      = errors.New("thrift: the server closes its idle connections")
)

// closeReasonOf returns the close reason for an error of reading from a connection.
func closeReasonOf(err error) CloseReason {
	switch {
	case errors.Is(err, errEvicted):
		return Evicted
	case errors.Is(err, errIdleTimeout):
		return IdleTimedOut
	case errors.Is(err, errDrained), errors.Is(err, errShutdown):
		return Drained
	case errors.Is(err, ErrMalformed):
		return Malformed
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errPartialMemory):
		return IncompleteMessage
	}
	return ClientDisconnected
}
