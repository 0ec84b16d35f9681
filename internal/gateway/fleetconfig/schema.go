// Package fleetconfig reads the YAML file of a fleet: request types, tenants, functions, limits and the gateway
// itself. It is strict: a value that contradicts another is an error with file, line and column, before anything
// listens.
package fleetconfig

import (
	"github.com/cespare/xxhash/v2"

	"lupinpond/internal/base/config"
)

// Effects of a request type: what repeating a request of it does.
const (
	EffectRedeliverable = "redeliverable" // idempotent: it may run any number of times
	EffectKeyed         = "keyed"         // idempotent with an idempotency key
	EffectAtMostOnce    = "at-most-once"
)

// Scopes within which workers recognise an idempotency key.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
	ScopeCell = "cell"
)

// What a worker does with a request whose function is not loaded.
const (
	OnMissLoad = "load" // it loads the function, and the request waits for that
	OnMissMiss = "miss" // it returns the request
)

// What the endpoint list and load reports say of workers.
const (
	SizesCores     = "cores"   // the sizes on the list are workers' capacities
	SizesNone      = "none"    // nothing says those; also when left out
	ReportsWaiting = "waiting" // load reports have the queue depth; also when left out
	ReportsNone    = "none"    // they don't
)

// File is a complete settings file.
type File struct {
	Fleet     Fleet      `yaml:"fleet"`
	Functions []Function `yaml:"functions"`
	Gateway   Gateway    `yaml:"front"`
}

// Fleet is what all gateways share.
type Fleet struct {
	Types      []RequestType `yaml:"types"`
	Tenants    []Tenant      `yaml:"tenants"`
	LoadPolicy LoadPolicy    `yaml:"loading"`
	SlowStart  SlowStart     `yaml:"cold"`
	Workers    Workers       `yaml:"workers"`

	// CrossZoneCost says that attempts in other zones than the gateway's cost something.
	CrossZoneCost bool   `yaml:"crossing"`
	Policy        Policy `yaml:"allowed"`

	// AnswerSlack is how long after a client's deadline a final answer still counts.
	AnswerSlack config.Duration `yaml:"answer-slack"`

	// DrainGrace is how long after the notice of a drain requests may still go to the worker.
	DrainGrace config.Duration `yaml:"stop-sending-within"`

	// SubscribeInterval is how often the endpoint list is polled for without a subscription.
	SubscribeInterval config.Duration `yaml:"ask-list-within"`

	// MinTickInterval is the least time between two calls of the scheduler.
	MinTickInterval config.Duration `yaml:"quantum"`
}

// RequestType is what is known beforehand of the requests of one type.
type RequestType struct {
	Name   string `yaml:"name"`
	Effect string `yaml:"effect"`

	// DedupScope is where, and DedupWindow how long, duplicates of a keyed type are recognised.
	DedupScope  string          `yaml:"group"`
	DedupWindow config.Duration `yaml:"window"`

	Objective config.Duration `yaml:"target"` // of latency
	MaxAge    config.Duration `yaml:"max-age"`
	Weight    float64         `yaml:"benefit"` // of priority
}

// Tenant is a tenant and its quota, in requests a second at all gateways together.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"share"`
}

// LoadPolicy is how functions are loaded at workers.
type LoadPolicy struct {
	RequestLoads       bool            `yaml:"orders"`
	OnMiss             string          `yaml:"on-miss"`
	ReplicaIdleTimeout config.Duration `yaml:"keep"` // the least time that an idle replica stays
	RequestTimeout     config.Duration `yaml:"order-limit"`
	RateLimit          LoadRateLimit   `yaml:"ration"`
}

// LoadRateLimit bounds the load requests in any window: Burst, and PerRequest for each request in it.
type LoadRateLimit struct {
	Window     config.Duration `yaml:"within"`
	Burst      float64         `yaml:"free"`
	PerRequest float64         `yaml:"share"`
}

// SlowStart is what a worker that is warming up can take: at first InitialShare of its capacity, all of it after
// WarmUpTime. CrashMultiple of its present capacity, for CrashWindow, makes it crash.
type SlowStart struct {
	InitialShare  float64         `yaml:"from"`
	WarmUpTime    config.Duration `yaml:"warm-after"`
	CrashMultiple float64         `yaml:"fall-multiple"`
	CrashWindow   config.Duration `yaml:"fall"`
}

// Workers is what the endpoint list and the load reports say of workers.
type Workers struct {
	Sizes   string       `yaml:"sizes"`
	Kinds   []WorkerKind `yaml:"kinds"` // of the list; none: their memory is not known
	Reports string       `yaml:"reports"`
}

// WorkerKind is a kind of worker.
type WorkerKind struct {
	Name   string          `yaml:"name"`
	Memory config.ByteSize `yaml:"memory"`
}

// Policy is what a gateway may do.
type Policy struct {
	MaxAttempts int  `yaml:"launches"`
	Cancel      bool `yaml:"cancel"`
	Probe       bool `yaml:"probe"`

	// MaxRetryAfter is the longest Retry-After that clients honour; with 0s none is sent.
	MaxRetryAfter config.Duration `yaml:"retry-after"`

	// Hedging lets attempts of one request overlap. The scheduler starts none; rule 2 is judged by it.
	Hedging bool `yaml:"second-copies"`
}

// Function is a function that requests name.
type Function struct {
	Name        string          `yaml:"name"`
	Type        string          `yaml:"type"`
	Tenant      string          `yaml:"tenant"`
	Concurrency int             `yaml:"lanes"`
	Memory      config.ByteSize `yaml:"memory"`
	LoadTime    config.Duration `yaml:"load-time"` // usual; 0s: not known
}

// ID is the number by which the scheduler knows the function.
func (f Function) ID() uint64 { return xxhash.Sum64String(f.Name) }

// Gateway is one gateway.
type Gateway struct {
	Listen      string       `yaml:"listen"`
	RegistryURL string       `yaml:"list"`
	Zone        string       `yaml:"zone"` // its own, as on the endpoint list; only with fleet.crossing
	Limits      ClientLimits `yaml:"limits"`
	WorkerRPC   WorkerRPC    `yaml:"link"`
}

// ClientLimits bound what clients can take of a gateway.
type ClientLimits struct {
	Header      config.ByteSize `yaml:"header"`
	Body        config.ByteSize `yaml:"body"`
	Connections int             `yaml:"connections"`
	InFlight    int             `yaml:"in-hand"`
	Read        config.Duration `yaml:"read"`  // of a complete request
	Write       config.Duration `yaml:"write"` // of a complete response
	Idle        config.Duration `yaml:"idle"`  // between requests
}

// WorkerRPC bounds the connections to workers.
type WorkerRPC struct {
	Dial  config.Duration `yaml:"dial"`
	Queue config.Duration `yaml:"queue"`
	Stall config.Duration `yaml:"stall"`
	Calls int             `yaml:"calls"`
	Bytes config.ByteSize `yaml:"bytes"`
}

// RequestType finds a request type by name.
func (f File) RequestType(name string) (RequestType, bool) {
	for _, t := range f.Fleet.Types {
		if t.Name == name {
			return t, true
		}
	}
	return RequestType{}, false
}
