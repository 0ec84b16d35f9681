// Package fleetconfig reads the YAML settings file of a fleet: request types, tenants, functions, limits and the
// gateway itself. It validates strictly: unknown keys, invalid values and values that contradict each other are errors
// with file, line and column, reported before the program listens on any socket.
package fleetconfig

import (
	"github.com/cespare/xxhash/v2"

	"lupinpond/internal/base/config"
)

// Effects of a request type: whether a request of the type may run more than once.
const (
	EffectRedeliverable = "redeliverable" // the request is idempotent and may run any number of times
	EffectKeyed         = "keyed"         // the request is idempotent with an idempotency key
	EffectAtMostOnce    = "at-most-once"  // the request must not run more than once
)

// Scopes within which workers share idempotency keys and so recognise duplicates.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
	ScopeCell = "cell"
)

// Behaviors of a worker that receives a request whose function is not loaded.
const (
	OnMissLoad   = "load" // the worker loads the function while the request waits
	OnMissReturn = "miss" // the worker returns the request without running it
)

// Contents of the endpoint list and of load reports.
const (
	SizesCores     = "cores"   // the endpoint list states the capacity of each worker in cores
	SizesNone      = "none"    // the endpoint list does not state capacities; the default
	ReportsWaiting = "waiting" // load reports contain the queue depth; the default
	ReportsNone    = "none"    // load reports do not contain the queue depth
)

// File is a complete settings file.
type File struct {
	Fleet     Fleet      `yaml:"fleet"`
	Functions []Function `yaml:"functions"`
	Gateway   Gateway    `yaml:"front"`
}

// Fleet holds the settings that all gateways of a fleet share.
type Fleet struct {
	Types      []RequestType `yaml:"types"`
	Tenants    []Tenant      `yaml:"tenants"`
	LoadPolicy LoadPolicy    `yaml:"loading"`
	SlowStart  SlowStart     `yaml:"cold"`
	Workers    Workers       `yaml:"workers"`

	// CrossZoneCost is whether attempts in a zone other than the gateway's have a cost.
	CrossZoneCost bool   `yaml:"crossing"`
	Policy        Policy `yaml:"allowed"`

	// AnswerSlack is the time after a client's deadline within which a final response is still in time.
	AnswerSlack config.Duration `yaml:"answer-slack"`

	// DrainGrace is the time after the notice of a worker's drain within which requests may still be sent to the worker.
	DrainGrace config.Duration `yaml:"stop-sending-within"`

	// SubscribeInterval is the maximum interval at which the gateway requests the endpoint list while it has no
	// subscription.
	SubscribeInterval config.Duration `yaml:"ask-list-within"`

	// MinTickInterval is the minimum time between two ticks of the scheduler.
	MinTickInterval config.Duration `yaml:"quantum"`
}

// RequestType holds the settings of the requests of one type.
type RequestType struct {
	Name   string `yaml:"name"`
	Effect string `yaml:"effect"`

	DedupScope  string          `yaml:"group"`  // scope within which workers recognise duplicates of a keyed request
	DedupWindow config.Duration `yaml:"window"` // time for which workers recognise duplicates of a keyed request

	Objective config.Duration `yaml:"target"`  // latency objective
	MaxAge    config.Duration `yaml:"max-age"` // maximum time until the client's deadline
	Weight    float64         `yaml:"benefit"` // priority weight; the gateway does not use it
}

// Tenant is a tenant and its quota in requests per second, summed over all gateways.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"share"`
}

// LoadPolicy specifies how functions are loaded at workers.
type LoadPolicy struct {
	RequestLoads       bool            `yaml:"orders"`      // whether gateways send load requests
	OnMiss             string          `yaml:"on-miss"`     // behavior of a worker on a miss: OnMissLoad or OnMissReturn
	ReplicaIdleTimeout config.Duration `yaml:"keep"`        // minimum time for which an idle replica stays loaded
	RequestTimeout     config.Duration `yaml:"order-limit"` // timeout of a load request
	RateLimit          LoadRateLimit   `yaml:"ration"`
}

// LoadRateLimit limits the number of load requests in any interval of length Window to Burst + PerRequest * n, where n
// is the number of client requests in the interval.
type LoadRateLimit struct {
	Window     config.Duration `yaml:"within"`
	Burst      float64         `yaml:"free"`
	PerRequest float64         `yaml:"share"`
}

// SlowStart describes the capacity of a worker that is warming up. It starts at InitialShare of the full capacity and
// reaches the full capacity after WarmUpTime. A load of CrashMultiple times the current capacity for CrashWindow makes
// the worker crash.
type SlowStart struct {
	InitialShare  float64         `yaml:"from"`
	WarmUpTime    config.Duration `yaml:"warm-after"`
	CrashMultiple float64         `yaml:"fall-multiple"`
	CrashWindow   config.Duration `yaml:"fall"`
}

// Workers specifies what the endpoint list and the load reports state about workers.
type Workers struct {
	Sizes   string       `yaml:"sizes"`   // contents of the endpoint list: SizesCores or SizesNone
	Kinds   []WorkerKind `yaml:"kinds"`   // kinds on the endpoint list; if empty, the memory of workers is unknown
	Reports string       `yaml:"reports"` // contents of load reports: ReportsWaiting or ReportsNone
}

// WorkerKind is a kind of worker and the memory of a worker of that kind.
type WorkerKind struct {
	Name   string          `yaml:"name"`
	Memory config.ByteSize `yaml:"memory"`
}

// Policy specifies which actions a gateway may take.
type Policy struct {
	MaxAttempts int  `yaml:"launches"` // maximum number of attempts of a request
	Cancel      bool `yaml:"cancel"`   // whether attempts may be cancelled
	Probe       bool `yaml:"probe"`    // whether workers may be probed

	// MaxRetryAfter is the maximum Retry-After that clients honor. If it is 0s, no Retry-After is sent.
	MaxRetryAfter config.Duration `yaml:"retry-after"`

	// Hedging allows concurrent attempts of a request of a redeliverable type. The scheduler never sends hedged requests;
	// the setting only affects the test bed's check of rule 2, that no effect happens twice.
	Hedging bool `yaml:"second-copies"`
}

// Function is a function that requests can invoke by its name.
type Function struct {
	Name        string          `yaml:"name"`
	Type        string          `yaml:"type"`
	Tenant      string          `yaml:"tenant"`
	Concurrency int             `yaml:"lanes"`     // maximum number of concurrent requests of a replica
	Memory      config.ByteSize `yaml:"memory"`    // memory of a replica
	LoadTime    config.Duration `yaml:"load-time"` // usual load time; 0s if unknown
}

// ID returns the ID of the function in the scheduler.
func (f Function) ID() uint64 { return xxhash.Sum64String(f.Name) }

// Gateway holds the settings of a single gateway.
type Gateway struct {
	Listen      string       `yaml:"listen"`
	RegistryURL string       `yaml:"list"`
	Zone        string       `yaml:"zone"` // the gateway's zone, named as on the endpoint list; only with fleet.crossing
	Limits      ClientLimits `yaml:"limits"`
	WorkerRPC   WorkerRPC    `yaml:"link"`
}

// ClientLimits limits the resources of a gateway that clients can occupy.
type ClientLimits struct {
	Header      config.ByteSize `yaml:"header"`      // maximum size of a request's headers
	Body        config.ByteSize `yaml:"body"`        // maximum size of a request's body
	Connections int             `yaml:"connections"` // maximum number of open connections
	InFlight    int             `yaml:"in-hand"`     // maximum number of requests in flight
	Read        config.Duration `yaml:"read"`        // timeout for reading a complete request
	Write       config.Duration `yaml:"write"`       // timeout for writing a complete response
	Idle        config.Duration `yaml:"idle"`        // timeout of a connection between requests
}

// WorkerRPC limits the connections to workers.
type WorkerRPC struct {
	Dial  config.Duration `yaml:"dial"`  // timeout for connecting
	Queue config.Duration `yaml:"queue"` // maximum time for which a call waits to be written
	Stall config.Duration `yaml:"stall"` // timeout of a write, after which the connection is closed
	Calls int             `yaml:"calls"` // maximum number of queued calls per worker
	Bytes config.ByteSize `yaml:"bytes"` // maximum total size of the bodies of queued calls per worker
}

// RequestType returns the request type with the given name. It returns false if there is none.
func (f File) RequestType(name string) (RequestType, bool) {
	for _, t := range f.Fleet.Types {
		if t.Name == name {
			return t, true
		}
	}
	return RequestType{}, false
}
