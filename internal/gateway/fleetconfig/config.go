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
var defaults []byte

// EventType is what is known beforehand of the events of one type.
type EventType struct {
	Name    string      `yaml:"name"`
	Effect  string      `yaml:"effect"` // redeliverable, keyed or at-most-once
	Group   string      `yaml:"group"`  // of a keyed type: all, zone or cell
	Window  config.Time `yaml:"window"` // of a keyed type: repeats are dropped for so long
	Target  config.Time `yaml:"target"`
	MaxAge  config.Time `yaml:"max-age"`
	Benefit float64     `yaml:"benefit"`
}

// Tenant is a tenant and its share, in events a second at all front ends together.
type Tenant struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
}

// Ration bounds load orders: in any time of Within, Free and Share for each event that came.
type Ration struct {
	Within config.Time `yaml:"within"`
	Free   float64     `yaml:"free"`
	Share  float64     `yaml:"share"`
}

// Loading is how functions come to workers.
type Loading struct {
	Orders     bool        `yaml:"orders"`
	OnMiss     string      `yaml:"on-miss"` // load: the event waits there for the load; miss: it comes back
	Keep       config.Time `yaml:"keep"`    // an idle copy stays at least so long
	OrderLimit config.Time `yaml:"order-limit"`
	Ration     Ration      `yaml:"ration"`
}

// Cold is what a worker that has just started stands.
type Cold struct {
	From         float64     `yaml:"from"`
	WarmAfter    config.Time `yaml:"warm-after"`
	FallMultiple float64     `yaml:"fall-multiple"`
	Fall         config.Time `yaml:"fall"`
}

// Workers is what the list and the load reports tell of workers.
type Workers struct {
	Sizes   string `yaml:"sizes"`   // cores: those on the list tell what a worker can do; none (also when left out): nothing does
	Kinds   []Kind `yaml:"kinds"`   // of the list; none: their memory is not told
	Reports string `yaml:"reports"` // waiting (also when left out): load reports tell events that wait; none: they don't
}

// Kind is a kind of worker.
type Kind struct {
	Name   string      `yaml:"name"`
	Memory config.Size `yaml:"memory"`
}

// Allowed is what a front end may do.
type Allowed struct {
	Launches   int         `yaml:"launches"`
	Cancel     bool        `yaml:"cancel"`
	Probe      bool        `yaml:"probe"`
	RetryAfter config.Time `yaml:"retry-after"` // longest time to come back that clients honour; 0s: none is named
	// SecondCopies lets launches of one event overlap. The module launches none; rule 2 is judged by it.
	SecondCopies bool `yaml:"second-copies"`
}

// Fleet is what all front ends are told alike.
type Fleet struct {
	Types             []EventType `yaml:"types"`
	Tenants           []Tenant    `yaml:"tenants"`
	Loading           Loading     `yaml:"loading"`
	Cold              Cold        `yaml:"cold"`
	Workers           Workers     `yaml:"workers"`
	Crossing          bool        `yaml:"crossing"` // launches to other zones than front.zone cost something
	Allowed           Allowed     `yaml:"allowed"`
	AnswerSlack       config.Time `yaml:"answer-slack"`        // after a client's time a final answer still counts
	StopSendingWithin config.Time `yaml:"stop-sending-within"` // after word of a drain
	AskListWithin     config.Time `yaml:"ask-list-within"`     // without a subscription the list is asked for so often
	Quantum           config.Time `yaml:"quantum"`             // least time between two calls of the module
}

// Function is an entry of the catalogue.
type Function struct {
	Name     string      `yaml:"name"`
	Type     string      `yaml:"type"`
	Tenant   string      `yaml:"tenant"`
	Lanes    int         `yaml:"lanes"`
	Memory   config.Size `yaml:"memory"`
	LoadTime config.Time `yaml:"load-time"` // usual; 0s: not told
}

// ID is the number by which the module knows a function.
func (f Function) ID() uint64 { return xxhash.Sum64String(f.Name) }

// FrontLimits bound what clients can take of a front end.
type FrontLimits struct {
	Header      config.Size `yaml:"header"`
	Body        config.Size `yaml:"body"`
	Connections int         `yaml:"connections"`
	InHand      int         `yaml:"in-hand"`
	Read        config.Time `yaml:"read"`  // for a whole request
	Write       config.Time `yaml:"write"` // for a whole answer
	Idle        config.Time `yaml:"idle"`  // between requests
}

// Link bounds the connections to workers.
type Link struct {
	Dial  config.Time `yaml:"dial"`
	Queue config.Time `yaml:"queue"`
	Stall config.Time `yaml:"stall"`
	Calls int         `yaml:"calls"`
	Bytes config.Size `yaml:"bytes"`
}

// Front is one front end.
type Front struct {
	Listen string      `yaml:"listen"`
	List   string      `yaml:"list"` // where the registry answers
	Zone   string      `yaml:"zone"` // its own, as the list spells it; only with fleet.crossing
	Limits FrontLimits `yaml:"limits"`
	Link   Link        `yaml:"link"`
}

// File is a whole file of settings.
type File struct {
	Fleet     Fleet      `yaml:"fleet"`
	Functions []Function `yaml:"functions"`
	Front     Front      `yaml:"front"`
}

// Default is the embedded file.
func Default() (File, error) { return Parse("built-in defaults", defaults) }

// DefaultText is the embedded file as it is written.
func DefaultText() []byte { return bytes.Clone(defaults) }

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
		f.Front = d.Front
	}
	if err := config.Strict(name, b, &f); err != nil {
		return File{}, err
	}
	if at, reason := f.contradiction(); reason != "" {
		return File{}, config.At(name, b, at, reason)
	}
	return f, nil
}

// contradiction finds the first value that can't be, with its path.
func (f File) contradiction() (path, reason string) {
	for _, find := range []func() (path, reason string){f.Fleet.mistakenType, f.Fleet.mistakenTenant, f.Fleet.mistake, f.mixed,
		f.mistakenFunction, f.Front.mistake} {
		if path, reason := find(); reason != "" {
			return path, reason
		}
	}
	return "", ""
}

func (f Fleet) mistakenType() (path, reason string) {
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
		case keyed && t.Group != "all" && t.Group != "zone" && t.Group != "cell":
			return at + "group", fmt.Sprintf("a keyed type needs the group all, zone or cell, not %q", t.Group)
		case !keyed && t.Group != "":
			return at + "group", "only keyed types have a group"
		case keyed && t.Window <= 0:
			return at + "window", "a keyed type needs a window"
		case !keyed && t.Window != 0:
			return at + "window", "only keyed types have a window"
		case t.Target <= 0:
			return at + "target", "a target time is more than 0s"
		case t.MaxAge < t.Target:
			return at + "max-age", "the max age is at least the target time"
		case !(t.Benefit >= 0 && t.Benefit < 1e9):
			return at + "benefit", "a benefit is 0 or more"
		}
	}
	return "", ""
}

func (f Fleet) mistakenTenant() (path, reason string) {
	tenants := map[string]bool{}
	for i, t := range f.Tenants {
		at := fmt.Sprintf("$.fleet.tenants[%d].", i)
		if t.Name == "" || tenants[t.Name] {
			return at + "name", "each tenant needs a name of its own"
		}
		if !(t.Share > 0 && t.Share < 1e9) {
			return at + "share", "a share is more than 0 events a second"
		}
		tenants[t.Name] = true
	}
	return "", ""
}

// mistake finds the first value of the fleet's other settings that can't be.
func (f Fleet) mistake() (path, reason string) {
	l, c := f.Loading, f.Cold
	switch {
	case l.OnMiss != "load" && l.OnMiss != "miss":
		return "$.fleet.loading.on-miss", fmt.Sprintf("%q is not load or miss", l.OnMiss)
	case l.OnMiss == "miss" && !l.Orders:
		return "$.fleet.loading.on-miss", "miss without orders: nothing would ever load"
	case l.Keep <= 0:
		return "$.fleet.loading.keep", "an idle copy stays longer than 0s"
	case l.Orders && l.OrderLimit <= 0:
		return "$.fleet.loading.order-limit", "orders need a limit of more than 0s"
	case !(l.Ration.Free >= 0 && l.Ration.Share >= 0):
		return "$.fleet.loading.ration", "free and share are 0 or more"
	case l.OnMiss == "miss" && l.Ration.Within > 0 && l.Ration.Free+l.Ration.Share == 0:
		return "$.fleet.loading.ration", "no order would ever be allowed, and nothing loads on a miss"
	case !(c.From >= 0 && c.From <= 1):
		return "$.fleet.cold.from", "a part of the capacity is between 0 and 1"
	case !(c.FallMultiple >= 0 && c.FallMultiple < 1e6):
		return "$.fleet.cold.fall-multiple", "a multiple is 0 or more"
	case c.FallMultiple > 0 && (c.Fall <= 0 || c.WarmAfter <= 0 || c.From == 0):
		return "$.fleet.cold", "a fall multiple needs from, warm-after and fall"
	case f.Allowed.Launches < 1 || f.Allowed.Launches > 100:
		return "$.fleet.allowed.launches", "between 1 and 100 launches an event"
	case f.Quantum <= 0:
		return "$.fleet.quantum", "more than 0s"
	case f.AskListWithin <= 0:
		return "$.fleet.ask-list-within", "more than 0s"
	case f.StopSendingWithin <= 0:
		return "$.fleet.stop-sending-within", "more than 0s"
	}
	return "", ""
}

func (f File) mistakenFunction() (path, reason string) {
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
		case fn.Lanes < 1:
			return at + "lanes", "at least one lane"
		case fn.Memory <= 0:
			return at + "memory", "more than 0B"
		}
		functions[fn.Name] = true
	}
	return "", ""
}

// mistake finds the first value of a front end's settings that can't be.
func (f Front) mistake() (path, reason string) {
	lim, link := f.Limits, f.Link
	if err := config.Loopback(f.Listen); err != nil {
		return "$.front.listen", err.Error()
	}
	if u, err := url.Parse(f.List); err != nil || u.Scheme != "http" || config.Loopback(u.Host) != nil {
		return "$.front.list", fmt.Sprintf("%q is no http address on loopback", f.List)
	}
	switch {
	case lim.Header < 1024 || lim.Body < 1 || lim.Body > 12<<20:
		return "$.front.limits", "header at least 1KiB, body from 1B to 12MiB"
	case lim.Connections < 1 || lim.InHand < 1:
		return "$.front.limits", "connections and in-hand are at least 1"
	case lim.Read <= 0 || lim.Write <= 0 || lim.Idle <= 0:
		return "$.front.limits", "read, write and idle are more than 0s"
	case link.Dial <= 0 || link.Queue <= 0 || link.Stall <= 0:
		return "$.front.link", "dial, queue and stall are more than 0s"
	case link.Calls < 1 || link.Bytes < config.Size(lim.Body):
		return "$.front.link", "at least 1 call, and bytes for at least one whole body"
	}
	return "", ""
}

// mixed finds settings that each stand for another shape of deployment.
func (f File) mixed() (path, reason string) {
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
	case f.Fleet.Loading.OnMiss == "miss" && f.Fleet.Allowed.Launches < 2:
		return "$.fleet.allowed.launches", "with fleet.loading.on-miss miss a miss spends a launch: at least 2"
	case f.Fleet.Crossing && f.Front.Zone == "":
		return "$.front.zone", "fleet.crossing needs the front end's own zone"
	case !f.Fleet.Crossing && f.Front.Zone != "":
		return "$.front.zone", "a zone has no meaning without fleet.crossing"
	}
	return "", ""
}

// Core is what the core of front end self of peers is started with.
func (f File) Core(seed uint64, self, peers int) core.Settings {
	front := core.Settings{Seed: seed, Index: self, Gateways: peers, MinTickInterval: f.Fleet.Quantum.D(), EnforceDeadlines: true,
		SubscribeInterval: f.Fleet.AskListWithin.D()}
	for _, t := range f.Fleet.Types {
		front.Types = append(front.Types, t.Choice())
	}
	for _, t := range f.Fleet.Tenants {
		front.Tenants = append(front.Tenants, core.Tenant{Name: t.Name, Quota: t.Share})
	}
	a, l, c := f.Fleet.Allowed, f.Fleet.Loading, f.Fleet.Cold
	front.MaxAttempts, front.Cancel, front.Probe, front.MaxRetryAfter = a.Launches, a.Cancel, a.Probe, a.RetryAfter.D()
	front.LoadPolicy = core.LoadPolicy{RequestLoads: l.Orders, LoadOnMiss: l.OnMiss == "load", ReplicaIdleTimeout: l.Keep.D(),
		RequestTimeout: l.OrderLimit.D(), RateWindow: l.Ration.Within.D(), RateBurst: l.Ration.Free, RatePerRequest: l.Ration.Share}
	for _, k := range f.Fleet.Workers.Kinds {
		front.WorkerKinds = append(front.WorkerKinds, core.WorkerKind{Name: k.Name, Memory: float64(k.Memory)})
	}
	front.Zone = f.Front.Zone
	front.SlowStart = core.SlowStart{InitialShare: c.From, WarmUpTime: c.WarmAfter.D(), CrashMultiple: c.FallMultiple,
		CrashWindow: c.Fall.D()}
	return front
}

// Choice is the event type as the module takes it.
func (t EventType) Choice() scheduler.RequestType {
	e := scheduler.RequestType{Name: t.Name, DedupWindow: t.Window.D(), Objective: t.Target.D()}
	switch t.Effect {
	case "keyed":
		e.Effect = scheduler.IdempotencyKey
	case "at-most-once":
		e.Effect = scheduler.AtMostOnce
	}
	switch t.Group {
	case "zone":
		e.DedupScope = scheduler.ScopeZone
	case "cell":
		e.DedupScope = scheduler.ScopeCell
	}
	return e
}

// Type finds an event type by name.
func (f File) Type(name string) (EventType, bool) {
	for _, t := range f.Fleet.Types {
		if t.Name == name {
			return t, true
		}
	}
	return EventType{}, false
}
