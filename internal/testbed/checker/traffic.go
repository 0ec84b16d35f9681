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

// traffic is what the captures hold.
type traffic struct {
	requests           []*clientRequest
	attempts           []*attempt
	loadRequests       []*loadRequest
	crashedAt          map[*GatewayCapture]time.Duration
	protocolViolations []Violation // what no gateway that upholds the rules puts on a socket
}

// clientRequest is one request of a client and its response.
type clientRequest struct {
	gateway         *GatewayCapture
	call            invoke.Call
	receivedAt      time.Duration // of its last byte
	status          int           // of the response; 0: there is none
	responseBegin   time.Duration
	responseEnd     time.Duration
	requestID       string // that the gateway gave it
	disconnected    bool   // the client closed the connection without a response
	closedByGateway bool   // the gateway did
	closedAt        time.Duration
	notAccepted     bool
}

// attempt is one attempt as it left a gateway.
type attempt struct {
	gateway        *GatewayCapture
	worker         string
	frame          *workerrpc.Attempt
	begin, end     time.Duration
	result         *workerrpc.AttemptResult
	resultAt       time.Duration
	cancelledAt    time.Duration // 0: never
	disconnectedAt time.Duration // 0: never
}

func (a *attempt) place() place { return place{a.gateway, a.begin, a.frame.RequestID, a.worker} }

// loadRequest is one load request as it left a gateway.
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
	in, out  stream
	closedAt time.Duration
	isClosed bool
	byPeer   bool
}

// readTraffic takes the captures apart.
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

// readConns puts the records of a capture together by connection; ids has these in the order of their first records.
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

// readClient takes the requests of a client's connection and their responses.
func (t *traffic) readClient(gateway *GatewayCapture, c *conn, catalogue *invoke.Catalogue) {
	in, out := newHTTPReader(&c.in), newHTTPReader(&c.out)
	for {
		message, err := http.ReadRequest(in.buffered)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, message.Body); err != nil {
			break // never complete, so never accepted
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

// readResponse reads the next response as the one to the request; status stays 0 where there is no complete one.
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

// readUnmatchedResponse notes a response that no request asked for. A 400 may be one to what could not be read.
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

// readWorker takes the frames of a worker's connection.
func (t *traffic) readWorker(gateway *GatewayCapture, c *conn) error {
	attempts, err := t.readSent(gateway, c)
	if err != nil {
		return err
	}
	in := frameReader{stream: c.in}
	for {
		body, _, last, err := in.next()
		if err != nil || body == nil {
			return nil // what a worker sends is not checked
		}
		result, is := body.(*workerrpc.AttemptResult)
		if !is {
			continue
		}
		if sent := attempts[result.Seq]; sent != nil && sent.result == nil && sent.frame.RequestID == result.RequestID {
			sent.result, sent.resultAt = result, last.begin
		}
	}
}

// readSent takes the frames that were sent to a worker; it gives the attempts among them, by their sequence numbers.
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

// httpReader reads HTTP messages out of a stream.
type httpReader struct {
	stream   *stream
	rest     *bytes.Reader
	buffered *bufio.Reader
}

func newHTTPReader(s *stream) *httpReader {
	rest := bytes.NewReader(s.data)
	return &httpReader{stream: s, rest: rest, buffered: bufio.NewReader(rest)}
}

// offset is how much of the stream has been read.
func (r *httpReader) offset() int { return len(r.stream.data) - r.rest.Len() - r.buffered.Buffered() }
