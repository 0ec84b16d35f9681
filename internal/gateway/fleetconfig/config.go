// Package fleetconfig reads the YAML file of a fleet: request types, tenants, functions, limits and the gateway itself. It is
// strict: a value that contradicts another is one error with file, line and column, before anything listens.
package fleetconfig

import (
	"bytes"
	_ "embed" // the defaults
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

//go:embed defaults.yaml
var defaultText []byte

// RequestType is what is known beforehand of the events of one type.
type RequestType struct {
	Name        string          `yaml:"name"`
	Effect      string          `yaml:"effect"` // redeliverable, keyed or at-most-once
	DedupScope  string          `yaml:"group"`  // of a keyed type: all, zone or cell
	DedupWindow config.Duration `yaml:"window"` // of a keyed type: repeats are dropped for so long
	Objective   config.Duration `yaml:"target"`
	MaxAge      config.Duration `yaml:"max-age"`
	Weight      float64         `yaml:"benefit"`
}

// Tenant is a tenant and its share, in events a second at all front ends together.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"share"`
}

// LoadRateLimit bounds load orders: in any time of Within, Free and Share for each event that came.
type LoadRateLimit struct {
	Window     config.Duration `yaml:"within"`
	Burst      float64         `yaml:"free"`
	PerRequest float64         `yaml:"share"`
}

// LoadPolicy is how functions come to workers.
type LoadPolicy struct {
	RequestLoads       bool            `yaml:"orders"`
	OnMiss             string          `yaml:"on-miss"` // load: the event waits there for the load; miss: it comes back
	ReplicaIdleTimeout config.Duration `yaml:"keep"`    // an idle copy stays at least so long
	RequestTimeout     config.Duration `yaml:"order-limit"`
	RateLimit          LoadRateLimit   `yaml:"ration"`
}

// SlowStart is what a worker that has just started stands.
type SlowStart struct {
	InitialShare  float64         `yaml:"from"`
	WarmUpTime    config.Duration `yaml:"warm-after"`
	CrashMultiple float64         `yaml:"fall-multiple"`
	CrashWindow   config.Duration `yaml:"fall"`
}

// Workers is what the list and the load reports tell of workers.
type Workers struct {
	Sizes   string       `yaml:"sizes"`   // cores: those on the list tell what a worker can do; none (also when left out): nothing does
	Kinds   []WorkerKind `yaml:"kinds"`   // of the list; none: their memory is not told
	Reports string       `yaml:"reports"` // waiting (also when left out): load reports tell events that wait; none: they don't
}

// WorkerKind is a kind of worker.
type WorkerKind struct {
	Name   string          `yaml:"name"`
	Memory config.ByteSize `yaml:"memory"`
}

// Policy is what a front end may do.
type Policy struct {
	MaxAttempts   int             `yaml:"launches"`
	Cancel        bool            `yaml:"cancel"`
	Probe         bool            `yaml:"probe"`
	MaxRetryAfter config.Duration `yaml:"retry-after"` // longest time to come back that clients honour; 0s: none is named
	// Hedging lets launches of one event overlap. The module launches none; rule 2 is judged by it.
	Hedging bool `yaml:"second-copies"`
}

// Fleet is what all front ends are told alike.
type Fleet struct {
	Types             []RequestType   `yaml:"types"`
	Tenants           []Tenant        `yaml:"tenants"`
	LoadPolicy        LoadPolicy      `yaml:"loading"`
	SlowStart         SlowStart       `yaml:"cold"`
	Workers           Workers         `yaml:"workers"`
	CrossZoneCost     bool            `yaml:"crossing"` // launches to other zones than front.zone cost something
	Policy            Policy          `yaml:"allowed"`
	AnswerSlack       config.Duration `yaml:"answer-slack"`        // after a client's time a final answer still counts
	DrainGrace        config.Duration `yaml:"stop-sending-within"` // after word of a drain
	SubscribeInterval config.Duration `yaml:"ask-list-within"`     // without a subscription the list is asked for so often
	MinTickInterval   config.Duration `yaml:"quantum"`             // least time between two calls of the module
}

// Function is an entry of the catalogue.
type Function struct {
	Name        string          `yaml:"name"`
	Type        string          `yaml:"type"`
	Tenant      string          `yaml:"tenant"`
	Concurrency int             `yaml:"lanes"`
	Memory      config.ByteSize `yaml:"memory"`
	LoadTime    config.Duration `yaml:"load-time"` // usual; 0s: not told
}

// ID is the number by which the module knows a function.
func (f Function) ID() uint64 { return xxhash.Sum64String(f.Name) }

// ClientLimits bound what clients can take of a front end.
type ClientLimits struct {
	Header      config.ByteSize `yaml:"header"`
	Body        config.ByteSize `yaml:"body"`
	Connections int             `yaml:"connections"`
	InFlight    int             `yaml:"in-hand"`
	Read        config.Duration `yaml:"read"`  // for a whole request
	Write       config.Duration `yaml:"write"` // for a whole answer
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

// Gateway is one front end.
type Gateway struct {
	Listen      string       `yaml:"listen"`
	RegistryURL string       `yaml:"list"` // where the registry answers
	Zone        string       `yaml:"zone"` // its own, as the list spells it; only with fleet.crossing
	Limits      ClientLimits `yaml:"limits"`
	WorkerRPC   WorkerRPC    `yaml:"link"`
}

// File is a whole file of settings.
type File struct {
	Fleet     Fleet      `yaml:"fleet"`
	Functions []Function `yaml:"functions"`
	Gateway   Gateway    `yaml:"front"`
}

// Default is the embedded file.
func Default() (File, error) { return Parse("built-in defaults", defaultText) }

// DefaultText is the embedded file as it is written.
func DefaultText() []byte { return bytes.Clone(defaultText) }

// Read reads a file.
func Read(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, b)
}

// Parse reads settings from b, named name in messages. What a file leaves out of front is as in the defaults; fleet and
// functions must be whole.
func Parse(name string, b []byte) (File, error) {
	var f File
	if name != "built-in defaults" {
		d, err := Default()
		if err != nil {
			return f, err
		}
		f.Gateway = d.Gateway
	}
	if err := config.DecodeStrict(name, b, &f); err != nil {
		return File{}, err
	}
	if at, reason := f.firstInvalid(); reason != "" {
		return File{}, config.ErrorAt(name, b, at, reason)
	}
	return f, nil
}

// firstInvalid finds the first value that can't be, with its path.
func (f File) firstInvalid() (path, reason string) {
	for _, find := range []func() (path, reason string){f.Fleet.invalidType, f.Fleet.invalidTenant, f.Fleet.invalidSetting, f.inconsistent,
		f.invalidFunction, f.Gateway.invalidSetting} {
		if path, reason := find(); reason != "" {
			return path, reason
		}
	}
	return "", ""
}

func (f Fleet) invalidType() (path, reason string) {
	types := map[string]bool{}
	if len(f.Types) == 0 {
		return "$.fleet.types", "at least one event type is needed"
	}
	for i, t := range f.Types {
		at := fmt.Sprintf("$.fleet.types[%d].", i)
		twice := types[t.Name]
		types[t.Name] = true
		switch keyed := t.Effect == "keyed"; {
		case t.Name == "" || twice:
			return at + "name", "each event type needs a name of its own"
		case t.Effect != "redeliverable" && !keyed && t.Effect != "at-most-once":
			return at + "effect", fmt.Sprintf("%q is not redeliverable, keyed or at-most-once", t.Effect)
		case keyed && t.DedupScope != "all" && t.DedupScope != "zone" && t.DedupScope != "cell":
			return at + "group", fmt.Sprintf("a keyed type needs the group all, zone or cell, not %q", t.DedupScope)
		case !keyed && t.DedupScope != "":
			return at + "group", "only keyed types have a group"
		case keyed && t.DedupWindow <= 0:
			return at + "window", "a keyed type needs a window"
		case !keyed && t.DedupWindow != 0:
			return at + "window", "only keyed types have a window"
		case t.Objective <= 0:
			return at + "target", "a target time is more than 0s"
		case t.MaxAge < t.Objective:
			return at + "max-age", "the max age is at least the target time"
		case !(t.Weight >= 0 && t.Weight < 1e9):
			return at + "benefit", "a benefit is 0 or more"
		}
	}
	return "", ""
}

func (f Fleet) invalidTenant() (path, reason string) {
	tenants := map[string]bool{}
	for i, t := range f.Tenants {
		at := fmt.Sprintf("$.fleet.tenants[%d].", i)
		if t.Name == "" || tenants[t.Name] {
			return at + "name", "each tenant needs a name of its own"
		}
		if !(t.Quota > 0 && t.Quota < 1e9) {
			return at + "share", "a share is more than 0 events a second"
		}
		tenants[t.Name] = true
	}
	return "", ""
}

// invalidSetting finds the first value of the fleet's other settings that can't be.
func (f Fleet) invalidSetting() (path, reason string) {
	l, c := f.LoadPolicy, f.SlowStart
	switch {
	case l.OnMiss != "load" && l.OnMiss != "miss":
		return "$.fleet.loading.on-miss", fmt.Sprintf("%q is not load or miss", l.OnMiss)
	case l.OnMiss == "miss" && !l.RequestLoads:
		return "$.fleet.loading.on-miss", "miss without orders: nothing would ever load"
	case l.ReplicaIdleTimeout <= 0:
		return "$.fleet.loading.keep", "an idle copy stays longer than 0s"
	case l.RequestLoads && l.RequestTimeout <= 0:
		return "$.fleet.loading.order-limit", "orders need a limit of more than 0s"
	case !(l.RateLimit.Burst >= 0 && l.RateLimit.PerRequest >= 0):
		return "$.fleet.loading.ration", "free and share are 0 or more"
	case l.OnMiss == "miss" && l.RateLimit.Window > 0 && l.RateLimit.Burst+l.RateLimit.PerRequest == 0:
		return "$.fleet.loading.ration", "no order would ever be allowed, and nothing loads on a miss"
	case !(c.InitialShare >= 0 && c.InitialShare <= 1):
		return "$.fleet.cold.from", "a part of the capacity is between 0 and 1"
	case !(c.CrashMultiple >= 0 && c.CrashMultiple < 1e6):
		return "$.fleet.cold.fall-multiple", "a multiple is 0 or more"
	case c.CrashMultiple > 0 && (c.CrashWindow <= 0 || c.WarmUpTime <= 0 || c.InitialShare == 0):
		return "$.fleet.cold", "a fall multiple needs from, warm-after and fall"
	case f.Policy.MaxAttempts < 1 || f.Policy.MaxAttempts > 100:
		return "$.fleet.allowed.launches", "between 1 and 100 launches an event"
	case f.MinTickInterval <= 0:
		return "$.fleet.quantum", "more than 0s"
	case f.SubscribeInterval <= 0:
		return "$.fleet.ask-list-within", "more than 0s"
	case f.DrainGrace <= 0:
		return "$.fleet.stop-sending-within", "more than 0s"
	}
	return "", ""
}

func (f File) invalidFunction() (path, reason string) {
	types, tenants, functions := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, t := range f.Fleet.Types {
		types[t.Name] = true
	}
	for _, t := range f.Fleet.Tenants {
		tenants[t.Name] = true
	}
	if len(f.Functions) == 0 {
		return "$.functions", "at least one function is needed"
	}
	for i, fn := range f.Functions {
		at := fmt.Sprintf("$.functions[%d].", i)
		switch {
		case fn.Name == "" || functions[fn.Name] || strings.ContainsAny(fn.Name, "/?# "):
			return at + "name", "each function needs a name of its own without /, ?, # or a space"
		case !types[fn.Type]:
			return at + "type", fmt.Sprintf("no event type %q in fleet.types", fn.Type)
		case fn.Tenant != "" && !tenants[fn.Tenant]:
			return at + "tenant", fmt.Sprintf("no tenant %q in fleet.tenants", fn.Tenant)
		case fn.Concurrency < 1:
			return at + "lanes", "at least one lane"
		case fn.Memory <= 0:
			return at + "memory", "more than 0B"
		}
		functions[fn.Name] = true
	}
	return "", ""
}

// invalidSetting finds the first value of a front end's settings that can't be.
func (f Gateway) invalidSetting() (path, reason string) {
	lim, link := f.Limits, f.WorkerRPC
	if err := config.CheckLoopback(f.Listen); err != nil {
		return "$.front.listen", err.Error()
	}
	if u, err := url.Parse(f.RegistryURL); err != nil || u.Scheme != "http" || config.CheckLoopback(u.Host) != nil {
		return "$.front.list", fmt.Sprintf("%q is no http address on loopback", f.RegistryURL)
	}
	switch {
	case lim.Header < 1024 || lim.Body < 1 || lim.Body > 12<<20:
		return "$.front.limits", "header at least 1KiB, body from 1B to 12MiB"
	case lim.Connections < 1 || lim.InFlight < 1:
		return "$.front.limits", "connections and in-hand are at least 1"
	case lim.Read <= 0 || lim.Write <= 0 || lim.Idle <= 0:
		return "$.front.limits", "read, write and idle are more than 0s"
	case link.Dial <= 0 || link.Queue <= 0 || link.Stall <= 0:
		return "$.front.link", "dial, queue and stall are more than 0s"
	case link.Calls < 1 || link.Bytes < config.ByteSize(lim.Body):
		return "$.front.link", "at least 1 call, and bytes for at least one whole body"
	}
	return "", ""
}

// inconsistent finds settings that each stand for another shape of deployment.
func (f File) inconsistent() (path, reason string) {
	w, kinds := f.Fleet.Workers, map[string]bool{}
	for i, k := range w.Kinds {
		at := fmt.Sprintf("$.fleet.workers.kinds[%d].", i)
		switch {
		case k.Name == "" || kinds[k.Name]:
			return at + "name", "each kind needs a name of its own"
		case k.Memory <= 0:
			return at + "memory", "more than 0B"
		}
		kinds[k.Name] = true
	}
	switch {
	case w.Sizes != "" && w.Sizes != "none" && w.Sizes != "cores":
		return "$.fleet.workers.sizes", fmt.Sprintf("%q is not cores or none", w.Sizes)
	case w.Reports != "" && w.Reports != "none" && w.Reports != "waiting":
		return "$.fleet.workers.reports", fmt.Sprintf("%q is not waiting or none", w.Reports)
	case f.Fleet.LoadPolicy.OnMiss == "miss" && f.Fleet.Policy.MaxAttempts < 2:
		return "$.fleet.allowed.launches", "with fleet.loading.on-miss miss a miss spends a launch: at least 2"
	case f.Fleet.CrossZoneCost && f.Gateway.Zone == "":
		return "$.front.zone", "fleet.crossing needs the front end's own zone"
	case !f.Fleet.CrossZoneCost && f.Gateway.Zone != "":
		return "$.front.zone", "a zone has no meaning without fleet.crossing"
	}
	return "", ""
}

// Core is what the core of front end self of peers is started with.
func (f File) Core(seed uint64, self, peers int) core.Settings {
	front := core.Settings{Seed: seed, Index: self, Gateways: peers, MinTickInterval: f.Fleet.MinTickInterval.Std(), EnforceDeadlines: true,
		SubscribeInterval: f.Fleet.SubscribeInterval.Std()}
	for _, t := range f.Fleet.Types {
		front.Types = append(front.Types, t.SchedulerType())
	}
	for _, t := range f.Fleet.Tenants {
		front.Tenants = append(front.Tenants, core.Tenant{Name: t.Name, Quota: t.Quota})
	}
	a, l, c := f.Fleet.Policy, f.Fleet.LoadPolicy, f.Fleet.SlowStart
	front.MaxAttempts, front.Cancel, front.Probe, front.MaxRetryAfter = a.MaxAttempts, a.Cancel, a.Probe, a.MaxRetryAfter.Std()
	front.LoadPolicy = core.LoadPolicy{RequestLoads: l.RequestLoads, LoadOnMiss: l.OnMiss == "load", ReplicaIdleTimeout: l.ReplicaIdleTimeout.Std(),
		RequestTimeout: l.RequestTimeout.Std(), RateWindow: l.RateLimit.Window.Std(), RateBurst: l.RateLimit.Burst, RatePerRequest: l.RateLimit.PerRequest}
	for _, k := range f.Fleet.Workers.Kinds {
		front.WorkerKinds = append(front.WorkerKinds, core.WorkerKind{Name: k.Name, Memory: float64(k.Memory)})
	}
	front.Zone = f.Gateway.Zone
	front.SlowStart = core.SlowStart{InitialShare: c.InitialShare, WarmUpTime: c.WarmUpTime.Std(), CrashMultiple: c.CrashMultiple,
		CrashWindow: c.CrashWindow.Std()}
	return front
}

// SchedulerType is the event type as the module takes it.
func (t RequestType) SchedulerType() scheduler.RequestType {
	e := scheduler.RequestType{Name: t.Name, DedupWindow: t.DedupWindow.Std(), Objective: t.Objective.Std()}
	switch t.Effect {
	case "keyed":
		e.Effect = scheduler.IdempotencyKey
	case "at-most-once":
		e.Effect = scheduler.AtMostOnce
	}
	switch t.DedupScope {
	case "zone":
		e.DedupScope = scheduler.ScopeZone
	case "cell":
		e.DedupScope = scheduler.ScopeCell
	}
	return e
}

// RequestType finds an event type by name.
func (f File) RequestType(name string) (RequestType, bool) {
	for _, t := range f.Fleet.Types {
		if t.Name == name {
			return t, true
		}
	}
	return RequestType{}, false
}
