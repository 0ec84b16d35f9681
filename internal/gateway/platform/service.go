package platform

import (
	"strconv"
	"time"

	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/gateway/thrift"
)

// Methods of the Thrift service for clients.
const (
	methodDispatch = "dispatch"
	methodCancel   = "cancelRequest"
	methodAlive    = "alive"
)

// Field IDs of the result of dispatch: the answer, or one of the declared exceptions.
const (
	resultSuccess   = 0
	resultThrottled = 1
	resultFailed    = 2
)

// encodeResponse encodes the final answer to a request.
func encodeResponse(seqID int32, response invoke.Response) []byte {
	switch response.Outcome {
	case invoke.Completed:
		return encodeReply(methodDispatch, seqID, response.Body, true)
	case invoke.Rejected:
		if response.RetryAfter <= 0 {
			return encodeException(seqID, resultThrottled)
		}
		ms := (response.RetryAfter + time.Millisecond - 1) / time.Millisecond
		return encodeException(seqID, resultThrottled, "after", strconv.FormatInt(int64(ms), 10))
	case invoke.Failed:
		return encodeException(seqID, resultFailed)
	}
	return thrift.EncodeException(methodDispatch, seqID, thrift.InternalError, response.Reason)
}

// encodeReply encodes a result of dispatch or alive that is not an exception.
func encodeReply(method string, seqID int32, body []byte, success bool) []byte {
	w := thrift.NewWriter(method, thrift.Reply, seqID)
	w.Struct(resultSuccess)
	w.Binary(1, body)
	w.StringMap(2)
	w.Bool(3, success)
	w.End()
	return w.Frame()
}

// encodeException encodes one of the declared exceptions of dispatch. Its pairs are alternating names and values.
func encodeException(seqID int32, result int16, pairs ...string) []byte {
	w := thrift.NewWriter(methodDispatch, thrift.Reply, seqID)
	w.Struct(result)
	w.StringMap(1, pairs...)
	w.End()
	return w.Frame()
}
