package checker

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/workerrpc"
)

// traffic holds the requests, attempts and load requests decoded from the captures.
type traffic struct {
	requests           []*clientRequest
	attempts           []*attempt
	loadRequests       []*loadRequest
	crashedAt          map[*GatewayCapture]time.Duration // gateways that crashed, with the time
	protocolViolations []Violation                       // responses to clients that match no request
}

// clientRequest is one request of a client and its response.
type clientRequest struct {
	gateway         *GatewayCapture
	call            invoke.Call
	receivedAt      time.Duration // time of the request's last byte
	status          int           // HTTP status of the response; 0 if there is no complete response
	responseBegin   time.Duration
	responseEnd     time.Duration
	requestID       string // ID assigned by the gateway, from the response
	disconnected    bool   // the client closed the connection before a response
	closedByGateway bool   // the gateway closed the connection without a response
	closedAt        time.Duration
	notAccepted     bool // the gateway had to reject the request, or rejected it before it was in flight
}

// attempt is one attempt that a gateway sent to a worker, and its result.
type attempt struct {
	gateway        *GatewayCapture
	worker         string
	frame          *workerrpc.Attempt
	begin, end     time.Duration
	result         *workerrpc.AttemptResult // nil if none was received
	resultAt       time.Duration
	cancelledAt    time.Duration // when the gateway sent a cancellation; 0 if it sent none
	disconnectedAt time.Duration // when the connection closed; 0 if it didn't
}

func (a *attempt) place() place { return place{a.gateway, a.begin, a.frame.RequestID, a.worker} }

// loadRequest is one load request that a gateway sent to a worker.
type loadRequest struct {
	gateway    *GatewayCapture
	worker     string
	frame      *workerrpc.LoadRequest
	begin, end time.Duration
}

func (l *loadRequest) place() place { return place{gateway: l.gateway, at: l.begin, worker: l.worker} }

// conn is a captured connection.
type conn struct {
	side     capture.Side
	peer     string
	in, out  stream // in and out as seen from the gateway
	closedAt time.Duration
	isClosed bool
	byPeer   bool // the peer closed the connection, not the gateway
}

// readTraffic decodes the captures. It returns requests, attempts and load requests in the order of their times.
func readTraffic(input Input) (*traffic, error) {
	t := &traffic{crashedAt: map[*GatewayCapture]time.Duration{}}
	catalogue := invoke.NewCatalogue(input.Config)
	for i := range input.Captures {
		gateway := &input.Captures[i]
		conns, ids := t.readConns(gateway)
		for _, id := range ids {
			var err error
			switch c := conns[id]; c.side {
			case capture.Client:
				t.readClient(gateway, c, catalogue)
			case capture.Worker:
				err = t.readWorker(gateway, c)
			}
			if err != nil {
				return nil, fmt.Errorf("read capture of %s, connection %d: %w", gateway.Name, id, err)
			}
		}
	}
	slices.SortStableFunc(t.attempts, func(a, b *attempt) int { return int(a.begin - b.begin) })
	slices.SortStableFunc(t.loadRequests, func(a, b *loadRequest) int { return int(a.begin - b.begin) })
	slices.SortStableFunc(t.requests, func(a, b *clientRequest) int { return int(a.receivedAt - b.receivedAt) })
	return t, nil
}

// readConns groups the records of a capture by connection; ids lists the connections in the order of their first
// records.
func (t *traffic) readConns(gateway *GatewayCapture) (conns map[uint64]*conn, ids []uint64) {
	conns = map[uint64]*conn{}
	for _, record := range gateway.Records {
		if record.Kind == capture.Crashed {
			t.crashedAt[gateway] = record.At
			continue
		}
		c := conns[record.ConnID]
		if c == nil {
			c = &conn{side: record.Side, peer: record.Peer}
			conns[record.ConnID] = c
			ids = append(ids, record.ConnID)
		}
		switch record.Kind {
		case capture.Read:
			c.in.add(record)
		case capture.Written:
			c.out.add(record)
		case capture.Closed:
			c.closedAt, c.isClosed, c.byPeer = record.At, true, record.ByPeer
		}
	}
	return conns, ids
}

// readClient decodes the requests on a client's connection and their responses.
func (t *traffic) readClient(gateway *GatewayCapture, c *conn, catalogue *invoke.Catalogue) {
	in, out := newHTTPReader(&c.in), newHTTPReader(&c.out)
	for {
		message, err := http.ReadRequest(in.buffered)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, message.Body); err != nil {
			break // an incomplete request is never accepted
		}
		request := newClientRequest(gateway, message, catalogue)
		request.receivedAt = c.in.segmentAt(in.offset() - 1).begin
		request.readResponse(message, out)
		if request.status == 0 && c.isClosed {
			request.closedAt, request.disconnected, request.closedByGateway = c.closedAt, c.byPeer, !c.byPeer
		}
		t.requests = append(t.requests, request)
		if request.status == 0 {
			break
		}
	}
	if len(c.in.data) > 0 {
		t.readUnmatchedResponse(gateway, out)
	}
}

func newClientRequest(gateway *GatewayCapture, message *http.Request, catalogue *invoke.Catalogue) *clientRequest {
	name, hasPrefix := strings.CutPrefix(message.URL.Path, "/v1/functions/")
	name, hasSuffix := strings.CutSuffix(name, "/invocations")
	call, problem := catalogue.ReadHeader(name, message.Header)
	return &clientRequest{
		gateway:     gateway,
		call:        call,
		notAccepted: !hasPrefix || !hasSuffix || message.Method != http.MethodPost || problem != nil,
	}
}

// readResponse reads the next response as the response to this request. If there is no complete response, status stays
// 0.
func (r *clientRequest) readResponse(message *http.Request, out *httpReader) {
	begin := out.offset()
	response, err := http.ReadResponse(out.buffered, message)
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	r.status = response.StatusCode
	r.responseBegin = out.stream.segmentAt(begin).begin
	r.responseEnd = out.stream.segmentAt(out.offset() - 1).end
	r.requestID = response.Header.Get(invoke.HeaderRequestID)
	r.notAccepted = r.notAccepted || r.requestID == "" || bytes.Contains(body, []byte(invoke.ProblemNotAccepted))
}

// readUnmatchedResponse records a violation if a response is left that matches no request. Status 400 is allowed: it
// may be the response to a malformed request.
func (t *traffic) readUnmatchedResponse(gateway *GatewayCapture, out *httpReader) {
	if out.offset() == len(out.stream.data) {
		return
	}
	head, err := out.buffered.Peek(len("HTTP/1.1 400"))
	if err == nil && bytes.HasPrefix(head, []byte("HTTP/1.1 ")) && !bytes.Contains(head, []byte(" 400")) {
		t.protocolViolations = append(t.protocolViolations, Violation{
			Rule:    ruleResponses,
			Gateway: gateway.Name,
			At:      out.stream.segmentAt(out.offset()).begin,
			Message: "response that matches no request, or a second one",
		})
	}
}

// readWorker decodes the attempts, results and load requests on a worker's connection.
func (t *traffic) readWorker(gateway *GatewayCapture, c *conn) error {
	attempts, err := t.readSent(gateway, c)
	if err != nil {
		return err
	}
	in := frameReader{stream: c.in}
	for {
		body, _, last, err := in.next()
		if err != nil || body == nil {
			return nil // frames of workers are not checked, so an invalid one is no error
		}
		result, ok := body.(*workerrpc.AttemptResult)
		if !ok {
			continue
		}
		if sent := attempts[result.Seq]; sent != nil && sent.result == nil && sent.frame.RequestID == result.RequestID {
			sent.result, sent.resultAt = result, last.begin
		}
	}
}

// readSent decodes the frames that were sent to a worker and returns the attempts among them by sequence number.
func (t *traffic) readSent(gateway *GatewayCapture, c *conn) (map[uint64]*attempt, error) {
	attempts, cancelledAt := map[uint64]*attempt{}, map[uint64]time.Duration{}
	out := frameReader{stream: c.out}
	for {
		body, first, last, err := out.next()
		if err != nil {
			return nil, err
		}
		if body == nil {
			break
		}
		switch frame := body.(type) {
		case *workerrpc.Attempt:
			sent := &attempt{gateway: gateway, worker: c.peer, frame: frame, begin: first.begin, end: last.end}
			if c.isClosed {
				sent.disconnectedAt = c.closedAt
			}
			attempts[frame.Seq] = sent
			t.attempts = append(t.attempts, sent)
		case *workerrpc.LoadRequest:
			t.loadRequests = append(t.loadRequests, &loadRequest{gateway, c.peer, frame, first.begin, last.end})
		case *workerrpc.Cancel:
			cancelledAt[frame.Seq] = first.begin
		}
	}
	for seq, at := range cancelledAt {
		if sent := attempts[seq]; sent != nil {
			sent.cancelledAt = at
		}
	}
	return attempts, nil
}

// httpReader reads HTTP messages from a stream.
type httpReader struct {
	stream   *stream
	rest     *bytes.Reader
	buffered *bufio.Reader
}

func newHTTPReader(s *stream) *httpReader {
	rest := bytes.NewReader(s.data)
	return &httpReader{stream: s, rest: rest, buffered: bufio.NewReader(rest)}
}

// offset returns the number of bytes of the stream that have been read.
func (r *httpReader) offset() int { return len(r.stream.data) - r.rest.Len() - r.buffered.Buffered() }
