// Package checker judges the five rules from what crossed the sockets of front ends and from the list news that each was
// sent. It asks no front end anything and knows nothing of what one decided or why.
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
	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/gateway/invoke"
	"lupinpond/internal/registry"
	"lupinpond/internal/workerrpc"
)

// GatewayCapture is what was captured at one life of a front end.
type GatewayCapture struct {
	Name    string
	Index   int
	Records []capture.Record
	Torn    bool // the capture ends early: what is missing at its end is not judged
}

// Delivery is list news as it was sent to a front end, on the same clock as the captures.
type Delivery struct {
	Gateway string `json:"Front"`
	At      time.Duration
	Event   registry.WatchEvent `json:"News"`
}

// Input are all that is judged.
type Input struct {
	Config     fleetconfig.File
	Captures   []GatewayCapture
	Deliveries []Delivery
	End        time.Duration // of the day; 0: after the last record
	ClockBase  time.Time     // what the clock of the captures counts from
}

// stream is one direction of a connection.
type stream struct {
	data     []byte
	segments []segment
}

type segment struct {
	offset     int // offset of its first byte
	begin, end time.Duration
}

func (s *stream) add(r capture.Record) {
	s.segments = append(s.segments, segment{len(s.data), r.At, r.At + r.Duration})
	s.data = append(s.data, r.Data...)
}

// segmentAt gives when the byte at an offset passed.
func (s *stream) segmentAt(offset int) segment {
	i, found := slices.BinarySearchFunc(s.segments, offset, func(m segment, o int) int { return m.offset - o })
	if !found {
		i--
	}
	if i < 0 {
		return segment{}
	}
	return s.segments[i]
}

type conn struct {
	side     capture.Side
	peer     string
	in, out  stream
	closedAt time.Duration
	isClosed bool
	byPeer   bool
}

// clientRequest is one request of a client and its answer.
type clientRequest struct {
	gateway         *GatewayCapture
	call            invoke.Call
	receivedAt      time.Duration // the whole request was read
	status          int
	responseBegin   time.Duration // of the answer
	responseEnd     time.Duration
	requestID       string
	hasRetryAfter   bool // a time to come back is named
	disconnectedAt  time.Duration
	disconnected    bool
	closedAt        time.Duration // the front end closed the connection without an answer
	closedByGateway bool
	notAccepted     bool
}

// attempt is one launch as it left a front end.
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

// loadRequest is one load order as it left.
type loadRequest struct {
	gateway    *GatewayCapture
	worker     string
	frame      *workerrpc.LoadRequest
	begin, end time.Duration
}

// traffic is what the captures hold.
type traffic struct {
	requests           []*clientRequest
	attempts           []*attempt
	loadRequests       []*loadRequest
	killedAt           map[*GatewayCapture]time.Duration
	protocolViolations []Violation // what no rule-keeping front end puts on a socket
}

// readTraffic takes the captures apart.
func readTraffic(f Input) (*traffic, error) {
	s := &traffic{killedAt: map[*GatewayCapture]time.Duration{}}
	catalogue := invoke.NewCatalogue(f.Config)
	for i := range f.Captures {
		front := &f.Captures[i]
		conns := map[uint64]*conn{}
		var ids []uint64
		for _, r := range front.Records {
			if r.Kind == capture.Crashed {
				s.killedAt[front] = r.At
				continue
			}
			c := conns[r.ConnID]
			if c == nil {
				c = &conn{side: r.Side, peer: r.Peer}
				conns[r.ConnID] = c
				ids = append(ids, r.ConnID)
			}
			switch r.Kind {
			case capture.Read:
				c.in.add(r)
			case capture.Written:
				c.out.add(r)
			case capture.Closed:
				c.closedAt, c.isClosed, c.byPeer = r.At, true, r.ByPeer
			}
		}
		for _, id := range ids {
			var err error
			switch c := conns[id]; c.side {
			case capture.Client:
				s.readClient(front, c, catalogue)
			case capture.Worker:
				err = s.readWorker(front, c)
			}
			if err != nil {
				return nil, fmt.Errorf("capture of %s, connection %d: %w", front.Name, id, err)
			}
		}
	}
	slices.SortStableFunc(s.attempts, func(a, b *attempt) int { return int(a.begin - b.begin) })
	slices.SortStableFunc(s.loadRequests, func(a, b *loadRequest) int { return int(a.begin - b.begin) })
	slices.SortStableFunc(s.requests, func(a, b *clientRequest) int { return int(a.receivedAt - b.receivedAt) })
	return s, nil
}

// readClient takes the requests of a client's connection and their answers.
func (s *traffic) readClient(front *GatewayCapture, c *conn, catalogue *invoke.Catalogue) {
	in, out := bytes.NewReader(c.in.data), bytes.NewReader(c.out.data)
	requests, answers := bufio.NewReader(in), bufio.NewReader(out)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			break // never whole: never taken
		}
		used := len(c.in.data) - in.Len() - requests.Buffered()
		t := &clientRequest{gateway: front, receivedAt: c.in.segmentAt(used - 1).begin}
		name, isInvoke := strings.CutPrefix(r.URL.Path, "/v1/functions/")
		name, isInvocation := strings.CutSuffix(name, "/invocations")
		var problem *invoke.Problem
		t.call, problem = catalogue.ReadHeader(name, r.Header)
		t.notAccepted = !isInvoke || !isInvocation || r.Method != http.MethodPost || problem != nil
		from := len(c.out.data) - out.Len() - answers.Buffered()
		a, err := http.ReadResponse(answers, r)
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(a.Body); err == nil {
				used := len(c.out.data) - out.Len() - answers.Buffered()
				t.status, t.responseBegin, t.responseEnd = a.StatusCode, c.out.segmentAt(from).begin, c.out.segmentAt(used-1).end
				t.requestID, t.hasRetryAfter = a.Header.Get(invoke.HeaderRequestID), a.Header.Get("Retry-After") != ""
				t.notAccepted = t.notAccepted || t.requestID == "" || bytes.Contains(body, []byte(invoke.ProblemNotAccepted))
			}
		}
		if t.status == 0 && c.isClosed {
			t.disconnectedAt, t.disconnected, t.closedAt, t.closedByGateway = c.closedAt, c.byPeer, c.closedAt, !c.byPeer
		}
		s.requests = append(s.requests, t)
		if t.status == 0 {
			break
		}
	}
	if left := out.Len() + answers.Buffered(); left > 0 && len(c.in.data) > 0 {
		if b, err := answers.Peek(12); err == nil && bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && !bytes.Contains(b, []byte(" 400")) {
			at := c.out.segmentAt(len(c.out.data) - left)
			s.protocolViolations = append(s.protocolViolations, Violation{Rule: 1, Gateway: front.Name, At: at.begin,
				Message: "an answer that no request asked for, or a second one"})
		}
	}
}

// readWorker takes the frames of a worker's connection.
func (s *traffic) readWorker(front *GatewayCapture, c *conn) error {
	calls := map[uint64]*attempt{}
	out, in := frameReader{c.out, 0}, frameReader{c.in, 0}
	type cancel struct {
		seq uint64
		at  time.Duration
	}
	var cancels []cancel
	for {
		body, first, last, err := out.next()
		if err != nil {
			return err
		}
		if body == nil {
			break
		}
		switch b := body.(type) {
		case *workerrpc.Attempt:
			l := &attempt{gateway: front, worker: c.peer, frame: b, begin: first.begin, end: last.end}
			if c.isClosed {
				l.disconnectedAt = c.closedAt
			}
			calls[b.Seq] = l
			s.attempts = append(s.attempts, l)
		case *workerrpc.LoadRequest:
			s.loadRequests = append(s.loadRequests, &loadRequest{front, c.peer, b, first.begin, last.end})
		case *workerrpc.Cancel:
			cancels = append(cancels, cancel{b.Seq, first.begin})
		}
	}
	for _, x := range cancels {
		if l := calls[x.seq]; l != nil {
			l.cancelledAt = x.at
		}
	}
	for {
		body, _, last, err := in.next()
		if err != nil || body == nil {
			return nil // what a worker sends is not judged
		}
		if b, is := body.(*workerrpc.AttemptResult); is {
			if l := calls[b.Seq]; l != nil && l.result == nil && l.frame.RequestID == b.RequestID {
				l.result, l.resultAt = b, last.begin
			}
		}
	}
}

// frameReader reads frames out of a stream, with when their first and last bytes passed.
type frameReader struct {
	stream
	offset int
}

func (f *frameReader) next() (body any, first, last segment, err error) {
	rest := f.data[f.offset:]
	if len(rest) < 4 {
		return nil, segment{}, segment{}, nil
	}
	n := int(rest[0])<<24 | int(rest[1])<<16 | int(rest[2])<<8 | int(rest[3])
	if n > workerrpc.MaxFrame {
		return nil, segment{}, segment{}, fmt.Errorf("%w: a frame of %d bytes", workerrpc.ErrProtocol, n)
	}
	if len(rest) < 4+n {
		return nil, segment{}, segment{}, nil
	}
	body, err = workerrpc.ParseFrame(rest[4 : 4+n])
	first, last = f.segmentAt(f.offset), f.segmentAt(f.offset+3+n)
	f.offset += 4 + n
	return body, first, last, err
}
