package platform

import (
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
		g.countRefusal(conn, ofException(code))
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

// dispatch submits a client's request to the event loop. It answers the request immediately if it is invalid or if its
// body would exceed the memory for the bodies of requests in flight.
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
	invalid := func(refusal refusal, reason string) {
		g.countRefusal(conn, refusal)
		conn.Reply(seqID, thrift.EncodeException(methodDispatch, seqID, thrift.InternalError, reason))
	}
	if err != nil {
		invalid(invalidRequest, err.Error())
		return
	}
	throttle := func() {
		g.countRefusal(conn, noMemory)
		conn.Reply(seqID, encodeException(seqID, resultThrottled))
	}
	readAt := time.Now()
	switch g.recentIDs.add(decoded.numericID, readAt) { // each request has a unique ID, even a client's retry
	case idKnown:
		invalid(repeatedID, "an event of this id came before")
		return
	case idsFull:
		throttle()
		return
	}
	size := memoryPerRequest + len(message.Args) // the body refers to the message
	if !conn.HoldMemory(size) {
		g.recentIDs.remove(decoded.numericID)
		throttle()
		return
	}
	discard := func() {
		conn.ReleaseMemory(size)
		g.recentIDs.remove(decoded.numericID)
	}
	request.Done = func() {
		if request.WasSent() {
			conn.ReleaseMemory(size)
			g.recentIDs.add(decoded.numericID, time.Now()) // its retention time begins again
		} else {
			discard()
		}
		conn.Release()
	}
	request.ReadDelay = conn.Delay()
	conn.Stage(seqID, func() {
		request.ReadDelay += time.Since(readAt)
		g.Submit(request)
	}, discard)
}

// countRefusal counts a refused message, also to the account of its connection.
func (g *Gateway) countRefusal(conn *thrift.Conn, reason refusal) {
	g.refusalCounts[reason].Add(1)
	conn.CountRefusal()
}
