package scale

import (
	"encoding/json"

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
	Publish     []discovery.Endpoint `json:"publish,omitempty"` // the discovery service: one change
	Unavailable *bool                `json:"away,omitempty"`    // the discovery service: it is unavailable, or no more
	Stop        []int                `json:"stop,omitempty"`    // workers, by their numbers in the child
	Silence     []int                `json:"silence,omitempty"` // workers
	Start       []int                `json:"start,omitempty"`   // workers that stopped or are silent, under new names
	Restart     int                  `json:"restart,omitempty"` // so many gateways
	WithoutList bool                 `json:"empty,omitempty"`   // with Restart: they start without an endpoint list
	Rate        *float64             `json:"rate,omitempty"`    // of each gateway
	Report      bool                 `json:"report,omitempty"`
	Final       bool                 `json:"final,omitempty"` // with Report: the digests too
}

// setup is what a child is started with.
type setup struct {
	Plan          Plan                 `json:"plan"`
	First         int                  `json:"first"` // number of its first gateway or worker
	Count         int                  `json:"count"`
	List          []discovery.Endpoint `json:"list,omitempty"`    // for the discovery service
	Config        json.RawMessage      `json:"config,omitempty"`  // for gateways, as the platform's file
	DiscoveryAddr string               `json:"journal,omitempty"` // where the discovery service listens
}

// reply is a line from a child to its parent.
type reply struct {
	Error    string               `json:"error,omitempty"`
	Addr     string               `json:"addr,omitempty"`     // of the discovery service
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
	Warm           []byte                  `json:"warm,omitempty"`    // latencies in microseconds, encoded by HdrHistogram
	Cold           []byte                  `json:"cold,omitempty"`
	Digests        map[string]int          `json:"digests,omitempty"` // of endpoint lists: how many gateways have each
}

// application is when a change was applied at a gateway, in Unix nanoseconds.
type application struct {
	At        int64 `json:"at"`
	StartedAt int64 `json:"since"` // when the gateway was started
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
	ControlBytes    int64 `json:"control_bytes"` // of load requests and probes, both ways
	RequestBytes    int64 `json:"request_bytes"` // of requests and cancels, both ways
}

// gatewayCounts are those of the hollow gateways of one process.
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
