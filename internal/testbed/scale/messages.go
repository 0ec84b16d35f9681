package scale

import (
	"encoding/json"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/discoverytest"
)

// Role is the role of a child process.
type Role string

// The roles of child processes.
const (
	RoleDiscovery Role = "list"
	RoleWorkers   Role = "workers"
	RoleGateways  Role = "front-ends"
)

// command is a message from the parent to a child, one JSON value per line. The first command is Setup. The child sends
// one reply to each command.
type command struct {
	Setup       *setup               `json:"setup,omitempty"`
	Publish     []discovery.Endpoint `json:"publish,omitempty"` // discovery service: publish these endpoints as one change
	Unavailable *bool                `json:"away,omitempty"`    // discovery service: stop (true) or resume (false)
	Stop        []int                `json:"stop,omitempty"`    // numbers of workers to stop
	Silence     []int                `json:"silence,omitempty"` // numbers of workers that stop responding
	Start       []int                `json:"start,omitempty"`   // numbers of workers to start again under new names
	Restart     int                  `json:"restart,omitempty"` // number of hollow gateways to restart
	WithoutList bool                 `json:"empty,omitempty"`   // with Restart: start without an endpoint list
	Rate        *float64             `json:"rate,omitempty"`    // new request rate of each hollow gateway
	Report      bool                 `json:"report,omitempty"`  // reply with a childReport
	Final       bool                 `json:"final,omitempty"`   // with Report: include the digests of the endpoint lists
}

// setup is the initial configuration of a child.
type setup struct {
	Plan          Plan                 `json:"plan"`
	First         int                  `json:"first"`             // number of the child's first gateway or worker
	Count         int                  `json:"count"`             // number of the child's gateways or workers
	List          []discovery.Endpoint `json:"list,omitempty"`    // discovery service: initial endpoint list
	Config        json.RawMessage      `json:"config,omitempty"`  // hollow gateways: contents of the configuration file
	DiscoveryAddr string               `json:"journal,omitempty"` // address of the discovery service
}

// reply is a message from a child to its parent, one JSON value per line.
type reply struct {
	Error    string               `json:"error,omitempty"`
	Addr     string               `json:"addr,omitempty"`     // address of the discovery service
	Workers  []discovery.Endpoint `json:"workers,omitempty"`  // endpoints of the workers that were started
	Position int64                `json:"position,omitempty"` // position of the published change
	At       int64                `json:"at,omitempty"`       // time of the publication, in Unix nanoseconds
	Report   *childReport         `json:"report,omitempty"`
}

// childReport contains the resource usage of a child and its counters since its start.
type childReport struct {
	ProcessorNanos int64                 `json:"processor_ns"`
	ResidentBytes  int64                 `json:"resident_bytes"`
	Descriptors    int                   `json:"descriptors"`
	Discovery      *discoverytest.Counts `json:"list,omitempty"`
	Workers        *workerCounts         `json:"workers,omitempty"`
	Gateways       *gatewayCounts        `json:"front_ends,omitempty"`
	Applied        map[int64][]applyTime `json:"applied,omitempty"` // by change: since the last report
	Warm           []byte                `json:"warm,omitempty"`    // encoded HdrHistogram of latencies in microseconds
	Cold           []byte                `json:"cold,omitempty"`    // encoded like Warm
	Digests        map[string]int        `json:"digests,omitempty"` // number of gateways by digest of their list
}

// applyTime records when a gateway applied a change of the endpoint list. Times are in Unix nanoseconds.
type applyTime struct {
	At        int64 `json:"at"`
	StartedAt int64 `json:"since"` // start time of the gateway
}

// workerCounts are the counters of all workers of one process.
type workerCounts struct {
	Accepted        int64 `json:"accepted"` // accepted connections
	OpenConnections int64 `json:"open"`
	Requests        int64 `json:"requests"`
	Loads           int64 `json:"loads"`
	LoadRequests    int64 `json:"orders"`
	Probes          int64 `json:"probes"`
	Cancels         int64 `json:"kills"`
	Rejected        int64 `json:"refused"`
	ControlBytes    int64 `json:"control_bytes"` // bytes of load requests and probes, in both directions
	RequestBytes    int64 `json:"request_bytes"` // bytes of requests and cancels, in both directions
}

// gatewayCounts are the counters of all hollow gateways of one process, or of the clients of one real gateway.
type gatewayCounts struct {
	Submitted  int64 `json:"submitted"`
	Served     int64 `json:"served"`
	Cold       int64 `json:"cold"` // served requests whose replica was not loaded when they were submitted
	Rejected   int64 `json:"rejected"`
	NoWorker   int64 `json:"found_none"` // rejected requests without an attempt
	Failed     int64 `json:"failed"`
	OutOfOrder int64 `json:"out_of_order"` // list changes that were received twice or after a gap
	Restarted  int64 `json:"restarted"`
}
