package core

import (
	"time"

	"lupinpond/scheduler"
)

// Tenant is a tenant and its quota, in requests per second over all gateways together.
type Tenant struct {
	Name  string  `cbor:"1,keyasint"`
	Quota float64 `cbor:"2,keyasint"`
}

// WorkerKind is a kind of worker and the memory of one such worker, in the unit of scheduler.Request.Memory.
type WorkerKind struct {
	Name   string  `cbor:"1,keyasint"`
	Memory float64 `cbor:"2,keyasint"`
}

// LoadPolicy and SlowStart alias the scheduler's types. Recordings store them as part of the settings.
type (
	LoadPolicy = scheduler.LoadPolicy
	SlowStart  = scheduler.SlowStart
)

// Settings is the complete configuration of a core.
type Settings struct {
	Seed            uint64                  `cbor:"1,keyasint"`
	Index           int                     `cbor:"2,keyasint"` // index of this gateway, from 0
	Gateways        int                     `cbor:"3,keyasint"` // number of gateways, including this one
	MinTickInterval time.Duration           `cbor:"4,keyasint"` // minimum time between two ticks of the scheduler
	Types           []scheduler.RequestType `cbor:"5,keyasint"`
	Tenants         []Tenant                `cbor:"6,keyasint"`
	MaxAttempts     int                     `cbor:"7,keyasint"`  // maximum number of attempts per request
	Cancel          bool                    `cbor:"8,keyasint"`  // whether attempts at ejected workers may be cancelled
	Probe           bool                    `cbor:"9,keyasint"`  // whether workers may be probed
	MaxRetryAfter   time.Duration           `cbor:"10,keyasint"` // longest Retry-After clients honour; 0: none is sent
	LoadPolicy      LoadPolicy              `cbor:"11,keyasint"`
	SlowStart       SlowStart               `cbor:"12,keyasint"`

	// SubscribeInterval is the maximum interval between attempts to subscribe to the worker registry until one is
	// answered. 0: the core does not subscribe; the membership is delivered without a subscription.
	SubscribeInterval time.Duration `cbor:"13,keyasint"`

	// WorkerKinds lists the kinds of workers with their memory.
	WorkerKinds []WorkerKind `cbor:"15,keyasint,omitempty"`

	// Zone is the gateway's own zone, if attempts to workers in other zones have a cost. Otherwise it is empty.
	Zone string `cbor:"16,keyasint,omitempty"`

	// DrainGrace is how long new work may still be sent to a worker after the gateway is considered notified of its
	// drain. It only has an effect if SetWatchLease is used.
	DrainGrace time.Duration `cbor:"17,keyasint,omitempty"`

	// MaxFunctions is the number of functions that the scheduler keeps state of; 0: no limit.
	MaxFunctions int `cbor:"18,keyasint,omitempty"`

	// EnforceDeadlines makes the core itself time out attempts at the deadlines of their requests.
	EnforceDeadlines bool `cbor:"14,keyasint"`
}

// newScheduler returns a scheduler configured with these settings.
func (s Settings) newScheduler() *scheduler.Scheduler {
	sched := scheduler.New(s.Seed, s.Index, s.Gateways, s.MinTickInterval)
	for _, requestType := range s.Types {
		sched.AddType(requestType)
	}
	for _, tenant := range s.Tenants {
		sched.AddTenant(tenant.Name, tenant.Quota)
	}
	for _, kind := range s.WorkerKinds {
		sched.AddWorkerKind(kind.Name, kind.Memory)
	}
	sched.PreferZone(s.Zone)
	sched.SetAttemptPolicy(scheduler.AttemptPolicy{
		MaxAttempts:   s.MaxAttempts,
		Cancel:        s.Cancel,
		Probe:         s.Probe,
		MaxRetryAfter: s.MaxRetryAfter,
	})
	sched.SetLoadPolicy(s.LoadPolicy)
	sched.SetSlowStart(s.SlowStart)
	sched.SetDrainGrace(s.DrainGrace)
	sched.SetMaxFunctions(s.MaxFunctions)
	if s.SubscribeInterval > 0 {
		sched.SetSubscribeInterval(s.SubscribeInterval)
	}
	return sched
}
