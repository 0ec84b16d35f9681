package platform

import (
	"errors"
	"fmt"
	"time"

	"lupinpond/internal/gateway"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/thrift"
	"lupinpond/scheduler"
)

// handle handles one message from a client.
func (g *Gateway) handle(conn *thrift.Conn, message thrift.Message) {
	args, err := thrift.ReadArgs(message.Args)
	reject := func(code thrift.ExceptionCode, reason string) {
		g.countRejection(conn, ofException(code))
		conn.Send(thrift.EncodeException(message.Name, message.SeqID, code, reason))
		conn.Close()
	}
	switch {
	case err != nil:
		reject(thrift.ProtocolError, err.Error())
	case message.Name == methodDispatch && message.Type == thrift.Call:
		g.dispatch(conn, message, args, reject)
	case message.Name == methodCancel && (message.Type == thrift.Oneway || message.Type == thrift.Call):
		conn.CancelCall(args.Ints[1])
	case message.Name == methodAlive && message.Type == thrift.Call:
		conn.Send(encodeReply(methodAlive, message.SeqID, nil, !g.draining.Load()))
	default:
		reject(thrift.UnknownMethod, fmt.Sprintf("no method %q", message.Name))
	}
}

// dispatch submits a client's request to the event loop. It answers the request immediately if it is invalid or if there
// is no memory for it.
func (g *Gateway) dispatch(conn *thrift.Conn, message thrift.Message, args thrift.Args,
	reject func(thrift.ExceptionCode, string)) {
	seqID := message.SeqID
	decoded, err := g.decoder.decode(args)
	if err != nil {
		decoded = clientRequest{scheduled: &scheduler.Request{}}
	}
	request := &gateway.Request{
		Scheduled: decoded.scheduled,
		Body:      decoded.body,
		Call:      invoke.Call{IdempotencyKey: decoded.idempotencyKey},
		Reply:     func(response invoke.Response) { conn.Reply(seqID, encodeResponse(seqID, response)) },
	}
	// The sequence ID is checked before all else: the client would take an answer that carries the ID of another open
	// request as the answer to that request.
	if !conn.BeginCall(seqID, func() { g.ClientDisconnected(request) }) {
		reject(thrift.BadSequenceID, "a number that is not new, or too many requests at a time")
		return
	}
	size := memoryPerRequest + len(message.Args) // the body refers to the message
	if err == nil {
		err = g.reserve(conn, decoded.numericID, size)
	}
	if err != nil {
		conn.Reply(seqID, g.encodeRejection(conn, seqID, err))
		return
	}
	g.submitLater(conn, seqID, request, decoded.numericID, size)
}

// Errors of requests that are valid.
var (
	errRepeatedID = errors.New("an event of this id came before")
	errNoMemory   = errors.New("no memory for the request")
)

// reserve reserves memory for a request and adds its ID to the recent ones: each request has a unique ID, even a
// client's retry.
func (g *Gateway) reserve(conn *thrift.Conn, id uint64, size int) error {
	switch g.recentIDs.add(id, time.Now()) {
	case idKnown:
		return errRepeatedID
	case idsFull:
		return errNoMemory
	}
	if !conn.ReserveMemory(size) {
		g.recentIDs.remove(id)
		return errNoMemory
	}
	return nil
}

// encodeRejection counts a request that is not submitted, and encodes the answer to it.
func (g *Gateway) encodeRejection(conn *thrift.Conn, seqID int32, err error) []byte {
	reason := invalidRequest
	switch {
	case errors.Is(err, errNoMemory):
		g.countRejection(conn, noMemory)
		return encodeException(seqID, resultThrottled)
	case errors.Is(err, errRepeatedID):
		reason = repeatedID
	}
	g.countRejection(conn, reason)
	return thrift.EncodeException(methodDispatch, seqID, thrift.InternalError, err.Error())
}

// submitLater submits a request once what its client has sent after it is read. When the request is done, its memory is
// released, and its ID is forgotten if it can't have run.
func (g *Gateway) submitLater(conn *thrift.Conn, seqID int32, request *gateway.Request, id uint64, size int) {
	discard := func() {
		conn.ReleaseMemory(size)
		g.recentIDs.remove(id)
	}
	request.Done = func() {
		if request.WasSent() {
			conn.ReleaseMemory(size)
			g.recentIDs.add(id, time.Now()) // its retention time begins again
		} else {
			discard()
		}
		conn.Release()
	}
	request.ReadDelay = conn.Delay()
	readAt := time.Now()
	conn.SubmitLater(seqID, func() {
		request.ReadDelay += time.Since(readAt)
		g.Submit(request)
	}, discard)
}

// countRejection counts a refused message, also to the account of its connection.
func (g *Gateway) countRejection(conn *thrift.Conn, reason rejection) {
	g.rejectionCounts[reason].Add(1)
	conn.CountRejection()
}
