package scale

import (
	"encoding/json"
	"errors"
	"io"
	"sync"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/discoverytest"
)

// Role is what a child process plays.
type Role string

// The roles.
const (
	RoleDiscovery Role = "list"
	RoleWorkers   Role = "workers"
	RoleGateways  Role = "front-ends"
)

// command is a line from the parent to a child. The first one sets the child up; each is answered by one reply.
type command struct {
	Setup       *setup               `json:"setup,omitempty"`
	Publish     []discovery.Endpoint `json:"publish,omitempty"` // the list service: one change
	Unavailable *bool                `json:"away,omitempty"`    // the list service
	Stop        []int                `json:"stop,omitempty"`    // workers, by their numbers in the child
	Silence     []int                `json:"silence,omitempty"` // workers
	Start       []int                `json:"start,omitempty"`   // workers that stopped or are silent, empty and cold, under new names
	Restart     int                  `json:"restart,omitempty"` // front ends
	WithoutList bool                 `json:"empty,omitempty"`   // with Restart: they start without a list
	Rate        *float64             `json:"rate,omitempty"`    // of each front end
	Report      bool                 `json:"report,omitempty"`
	Final       bool                 `json:"final,omitempty"` // with Report: the lists are told too
}

// setup is what a child is started with.
type setup struct {
	Plan          Plan                 `json:"plan"`
	First         int                  `json:"first"` // number of its first front end or worker
	Count         int                  `json:"count"`
	List          []discovery.Endpoint `json:"list,omitempty"`    // for the list service
	Config        json.RawMessage      `json:"config,omitempty"`  // for front ends, as the platform's file
	DiscoveryAddr string               `json:"journal,omitempty"` // where the list service is
}

// reply is a line from a child to its parent.
type reply struct {
	Error    string               `json:"error,omitempty"`
	Addr     string               `json:"addr,omitempty"`     // of the list service
	Workers  []discovery.Endpoint `json:"workers,omitempty"`  // that were started
	Position int64                `json:"position,omitempty"` // of the change that was published
	At       int64                `json:"at,omitempty"`       // when, in Unix nanoseconds
	Report   *childReport         `json:"report,omitempty"`
}

// childReport is what a child has counted since its start.
type childReport struct {
	ProcessorNanos int64                   `json:"processor_ns"`
	ResidentBytes  int64                   `json:"resident_bytes"`
	Descriptors    int                     `json:"descriptors"`
	Discovery      *discoverytest.Counts   `json:"list,omitempty"`
	Workers        *workerCounts           `json:"workers,omitempty"`
	Gateways       *gatewayCounts          `json:"front_ends,omitempty"`
	Applied        map[int64][]application `json:"applied,omitempty"` // by change, since the last report
	Warm           []byte                  `json:"warm,omitempty"`    // latencies in microseconds, as HdrHistogram encodes them
	Cold           []byte                  `json:"cold,omitempty"`
	Digests        map[string]int          `json:"digests,omitempty"` // of the lists that front ends have; how many have each
}

// application is a change that came into force at a front end, in Unix nanoseconds.
type application struct {
	At        int64 `json:"at"`
	StartedAt int64 `json:"since"` // when the front end was started
}

// workerCounts are those of the workers of one process.
type workerCounts struct {
	Accepted        int64 `json:"accepted"` // connections
	OpenConnections int64 `json:"open"`
	Requests        int64 `json:"requests"`
	Loads           int64 `json:"loads"`
	LoadRequests    int64 `json:"orders"`
	Probes          int64 `json:"probes"`
	Cancels         int64 `json:"kills"`
	Rejected        int64 `json:"refused"`
	ControlBytes    int64 `json:"control_bytes"` // of orders and probes, both ways
	RequestBytes    int64 `json:"request_bytes"` // of requests and kills, both ways
}

// gatewayCounts are those of the hollow front ends of one process.
type gatewayCounts struct {
	Submitted  int64 `json:"submitted"`
	Served     int64 `json:"served"`
	Cold       int64 `json:"cold"` // of those served: their replica was not loaded when they came
	Rejected   int64 `json:"rejected"`
	NoWorker   int64 `json:"found_none"` // of those rejected: no attempt was made
	Failed     int64 `json:"failed"`
	OutOfOrder int64 `json:"out_of_order"` // changes that came twice or after a gap
	Restarted  int64 `json:"restarted"`
}

// pipe carries JSON lines both ways.
type pipe struct {
	mu  sync.Mutex
	in  *json.Decoder
	out *json.Encoder
}

func newPipe(in io.Reader, out io.Writer) *pipe {
	return &pipe{in: json.NewDecoder(in), out: json.NewEncoder(out)}
}

// call sends a command and waits for its reply.
func (p *pipe) call(c command) (reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.out.Encode(c); err != nil {
		return reply{}, err
	}
	var r reply
	if err := p.in.Decode(&r); err != nil {
		return reply{}, err
	}
	if r.Error != "" {
		return r, errors.New(r.Error)
	}
	return r, nil
}

// serve has handle answer every command until the parent is gone.
func (p *pipe) serve(handle func(command) (reply, error)) error {
	for {
		var c command
		if err := p.in.Decode(&c); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		r, err := handle(c)
		if err != nil {
			r.Error = err.Error()
		}
		if err := p.out.Encode(r); err != nil {
			return err
		}
	}
}
