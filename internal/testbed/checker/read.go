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

// Front is what was captured at one life of a front end.
type Front struct {
	Name    string
	Index   int
	Records []capture.Record
	Torn    bool // the capture ends early: what is missing at its end is not judged
}

// Told is list news as it was sent to a front end, on the same clock as the captures.
type Told struct {
	Front string
	At    time.Duration
	News  registry.WatchEvent
}

// Facts are all that is judged.
type Facts struct {
	File   fleetconfig.File
	Fronts []Front
	News   []Told
	End    time.Duration // of the day; 0: after the last record
	Base   time.Time     // what the clock of the captures counts from
}

// stream is one direction of a connection.
type stream struct {
	data  []byte
	marks []mark
}

type mark struct {
	from       int // offset of its first byte
	begin, end time.Duration
}

func (s *stream) add(r capture.Record) {
	s.marks = append(s.marks, mark{len(s.data), r.At, r.At + r.Duration})
	s.data = append(s.data, r.Data...)
}

// at gives when the byte at an offset passed.
func (s *stream) at(offset int) mark {
	i, found := slices.BinarySearchFunc(s.marks, offset, func(m mark, o int) int { return m.from - o })
	if !found {
		i--
	}
	if i < 0 {
		return mark{}
	}
	return s.marks[i]
}

type conn struct {
	side     capture.Side
	peer     string
	in, out  stream
	closed   time.Duration
	isClosed bool
	far      bool
}

// try is one request of a client and its answer.
type try struct {
	front    *Front
	call     invoke.Call
	at       time.Duration // the whole request was read
	status   int
	begin    time.Duration // of the answer
	end      time.Duration
	event    string
	back     bool // a time to come back is named
	gone     time.Duration
	isGone   bool
	cut      time.Duration // the front end closed the connection without an answer
	isCut    bool
	notTaken bool
}

// launch is one launch as it left a front end.
type launch struct {
	front      *Front
	worker     string
	frame      *workerrpc.Attempt
	begin, end time.Duration
	answer     *workerrpc.AttemptResult
	answered   time.Duration
	cancelled  time.Duration // 0: never
	broken     time.Duration // 0: never
}

// order is one load order as it left.
type order struct {
	front      *Front
	worker     string
	frame      *workerrpc.LoadRequest
	begin, end time.Duration
}

// seen is what the captures hold.
type seen struct {
	tries    []*try
	launches []*launch
	orders   []*order
	killed   map[*Front]time.Duration
	strange  []Breach // what no rule-keeping front end puts on a socket
}

// read takes the captures apart.
func read(f Facts) (*seen, error) {
	s := &seen{killed: map[*Front]time.Duration{}}
	catalogue := invoke.NewCatalogue(f.File)
	for i := range f.Fronts {
		front := &f.Fronts[i]
		conns := map[uint64]*conn{}
		var ids []uint64
		for _, r := range front.Records {
			if r.Kind == capture.Crashed {
				s.killed[front] = r.At
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
				c.closed, c.isClosed, c.far = r.At, true, r.ByPeer
			}
		}
		for _, id := range ids {
			var err error
			switch c := conns[id]; c.side {
			case capture.Client:
				s.client(front, c, catalogue)
			case capture.Worker:
				err = s.worker(front, c)
			}
			if err != nil {
				return nil, fmt.Errorf("capture of %s, connection %d: %w", front.Name, id, err)
			}
		}
	}
	slices.SortStableFunc(s.launches, func(a, b *launch) int { return int(a.begin - b.begin) })
	slices.SortStableFunc(s.orders, func(a, b *order) int { return int(a.begin - b.begin) })
	slices.SortStableFunc(s.tries, func(a, b *try) int { return int(a.at - b.at) })
	return s, nil
}

// client takes the requests of a client's connection and their answers.
func (s *seen) client(front *Front, c *conn, catalogue *invoke.Catalogue) {
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
		t := &try{front: front, at: c.in.at(used - 1).begin}
		name, isInvoke := strings.CutPrefix(r.URL.Path, "/v1/functions/")
		name, isInvocation := strings.CutSuffix(name, "/invocations")
		var problem *invoke.Problem
		t.call, problem = catalogue.ReadHeader(name, r.Header)
		t.notTaken = !isInvoke || !isInvocation || r.Method != http.MethodPost || problem != nil
		from := len(c.out.data) - out.Len() - answers.Buffered()
		a, err := http.ReadResponse(answers, r)
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(a.Body); err == nil {
				used := len(c.out.data) - out.Len() - answers.Buffered()
				t.status, t.begin, t.end = a.StatusCode, c.out.at(from).begin, c.out.at(used-1).end
				t.event, t.back = a.Header.Get(invoke.HeaderRequestID), a.Header.Get("Retry-After") != ""
				t.notTaken = t.notTaken || t.event == "" || bytes.Contains(body, []byte(invoke.ProblemNotAccepted))
			}
		}
		if t.status == 0 && c.isClosed {
			t.gone, t.isGone, t.cut, t.isCut = c.closed, c.far, c.closed, !c.far
		}
		s.tries = append(s.tries, t)
		if t.status == 0 {
			break
		}
	}
	if left := out.Len() + answers.Buffered(); left > 0 && len(c.in.data) > 0 {
		if b, err := answers.Peek(12); err == nil && bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && !bytes.Contains(b, []byte(" 400")) {
			at := c.out.at(len(c.out.data) - left)
			s.strange = append(s.strange, Breach{Rule: 1, Front: front.Name, At: at.begin,
				What: "an answer that no request asked for, or a second one"})
		}
	}
}

// worker takes the frames of a worker's connection.
func (s *seen) worker(front *Front, c *conn) error {
	calls := map[uint64]*launch{}
	out, in := frames{c.out, 0}, frames{c.in, 0}
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
			l := &launch{front: front, worker: c.peer, frame: b, begin: first.begin, end: last.end}
			if c.isClosed {
				l.broken = c.closed
			}
			calls[b.Seq] = l
			s.launches = append(s.launches, l)
		case *workerrpc.LoadRequest:
			s.orders = append(s.orders, &order{front, c.peer, b, first.begin, last.end})
		case *workerrpc.Cancel:
			cancels = append(cancels, cancel{b.Seq, first.begin})
		}
	}
	for _, x := range cancels {
		if l := calls[x.seq]; l != nil {
			l.cancelled = x.at
		}
	}
	for {
		body, _, last, err := in.next()
		if err != nil || body == nil {
			return nil // what a worker sends is not judged
		}
		if b, is := body.(*workerrpc.AttemptResult); is {
			if l := calls[b.Seq]; l != nil && l.answer == nil && l.frame.RequestID == b.RequestID {
				l.answer, l.answered = b, last.begin
			}
		}
	}
}

// frames reads frames out of a stream, with when their first and last bytes passed.
type frames struct {
	stream
	used int
}

func (f *frames) next() (body any, first, last mark, err error) {
	rest := f.data[f.used:]
	if len(rest) < 4 {
		return nil, mark{}, mark{}, nil
	}
	n := int(rest[0])<<24 | int(rest[1])<<16 | int(rest[2])<<8 | int(rest[3])
	if n > workerrpc.MaxFrame {
		return nil, mark{}, mark{}, fmt.Errorf("%w: a frame of %d bytes", workerrpc.ErrProtocol, n)
	}
	if len(rest) < 4+n {
		return nil, mark{}, mark{}, nil
	}
	body, err = workerrpc.ParseFrame(rest[4 : 4+n])
	first, last = f.at(f.used), f.at(f.used+3+n)
	f.used += 4 + n
	return body, first, last, err
}
