package fleetconfig

import (
	"fmt"
	"net/url"
	"strings"

	"lupinpond/internal/base/config"
)

// Bounds of settings.
const (
	maxAttempts      = 100
	maxWeight        = 1e9
	maxQuota         = 1e9      // requests a second
	maxCrashMultiple = 1e6      // of a worker's capacity
	minHeader        = 1 << 10  // bytes
	maxBody          = 12 << 20 // bytes
)

// violation is a setting that is not valid, at a YAML path.
type violation struct{ path, reason string }

// validate returns the first violation, or nil.
func (f File) validate() *violation {
	for _, check := range []func() *violation{
		f.Fleet.validateTypes,
		f.Fleet.validateTenants,
		f.Fleet.LoadPolicy.validate,
		f.Fleet.SlowStart.validate,
		f.Fleet.Policy.validate,
		f.Fleet.validateTimes,
		f.Fleet.Workers.validate,
		f.validateShape,
		f.validateFunctions,
		f.Gateway.validate,
	} {
		if v := check(); v != nil {
			return v
		}
	}
	return nil
}

func (f Fleet) validateTypes() *violation {
	if len(f.Types) == 0 {
		return &violation{"$.fleet.types", "at least one request type is needed"}
	}
	names := map[string]bool{}
	for i, t := range f.Types {
		at := fmt.Sprintf("$.fleet.types[%d].", i)
		if t.Name == "" || names[t.Name] {
			return &violation{at + "name", "each request type needs a name of its own"}
		}
		names[t.Name] = true
		if v := t.validate(at); v != nil {
			return v
		}
	}
	return nil
}

// validate checks all of a request type but its name; at is the beginning of its path.
func (t RequestType) validate(at string) *violation {
	switch keyed := t.Effect == EffectKeyed; {
	case t.Effect != EffectRedeliverable && !keyed && t.Effect != EffectAtMostOnce:
		return &violation{at + "effect", fmt.Sprintf("%q is not redeliverable, keyed or at-most-once", t.Effect)}
	case keyed && t.DedupScope != ScopeAll && t.DedupScope != ScopeZone && t.DedupScope != ScopeCell:
		return &violation{at + "group", fmt.Sprintf("a keyed type needs the group all, zone or cell, not %q", t.DedupScope)}
	case !keyed && t.DedupScope != "":
		return &violation{at + "group", "only keyed types have a group"}
	case keyed && t.DedupWindow <= 0:
		return &violation{at + "window", "a keyed type needs a window"}
	case !keyed && t.DedupWindow != 0:
		return &violation{at + "window", "only keyed types have a window"}
	case t.Objective <= 0:
		return &violation{at + "target", "a target time is more than 0s"}
	case t.MaxAge < t.Objective:
		return &violation{at + "max-age", "the max age is at least the target time"}
	case !(t.Weight >= 0 && t.Weight < maxWeight):
		return &violation{at + "benefit", "a benefit is 0 or more"}
	}
	return nil
}

func (f Fleet) validateTenants() *violation {
	names := map[string]bool{}
	for i, t := range f.Tenants {
		at := fmt.Sprintf("$.fleet.tenants[%d].", i)
		if t.Name == "" || names[t.Name] {
			return &violation{at + "name", "each tenant needs a name of its own"}
		}
		if !(t.Quota > 0 && t.Quota < maxQuota) {
			return &violation{at + "share", "a share is more than 0 requests a second"}
		}
		names[t.Name] = true
	}
	return nil
}

func (p LoadPolicy) validate() *violation {
	switch miss := p.OnMiss == OnMissMiss; {
	case p.OnMiss != OnMissLoad && !miss:
		return &violation{"$.fleet.loading.on-miss", fmt.Sprintf("%q is not load or miss", p.OnMiss)}
	case miss && !p.RequestLoads:
		return &violation{"$.fleet.loading.on-miss", "miss without orders: nothing would ever load"}
	case p.ReplicaIdleTimeout <= 0:
		return &violation{"$.fleet.loading.keep", "an idle replica stays longer than 0s"}
	case p.RequestLoads && p.RequestTimeout <= 0:
		return &violation{"$.fleet.loading.order-limit", "orders need a limit of more than 0s"}
	case !(p.RateLimit.Burst >= 0 && p.RateLimit.PerRequest >= 0):
		return &violation{"$.fleet.loading.ration", "free and share are 0 or more"}
	case miss && p.RateLimit.Window > 0 && p.RateLimit.Burst+p.RateLimit.PerRequest == 0:
		return &violation{"$.fleet.loading.ration", "no order would ever be allowed, and nothing loads on a miss"}
	}
	return nil
}

func (s SlowStart) validate() *violation {
	switch {
	case !(s.InitialShare >= 0 && s.InitialShare <= 1):
		return &violation{"$.fleet.cold.from", "a part of the capacity is between 0 and 1"}
	case !(s.CrashMultiple >= 0 && s.CrashMultiple < maxCrashMultiple):
		return &violation{"$.fleet.cold.fall-multiple", "a multiple is 0 or more"}
	case s.CrashMultiple > 0 && (s.CrashWindow <= 0 || s.WarmUpTime <= 0 || s.InitialShare == 0):
		return &violation{"$.fleet.cold", "a fall multiple needs from, warm-after and fall"}
	}
	return nil
}

func (p Policy) validate() *violation {
	if p.MaxAttempts < 1 || p.MaxAttempts > maxAttempts {
		return &violation{"$.fleet.allowed.launches", "between 1 and 100 attempts a request"}
	}
	return nil
}

func (f Fleet) validateTimes() *violation {
	switch {
	case f.MinTickInterval <= 0:
		return &violation{"$.fleet.quantum", "more than 0s"}
	case f.SubscribeInterval <= 0:
		return &violation{"$.fleet.ask-list-within", "more than 0s"}
	case f.DrainGrace <= 0:
		return &violation{"$.fleet.stop-sending-within", "more than 0s"}
	}
	return nil
}

func (w Workers) validate() *violation {
	names := map[string]bool{}
	for i, kind := range w.Kinds {
		at := fmt.Sprintf("$.fleet.workers.kinds[%d].", i)
		switch {
		case kind.Name == "" || names[kind.Name]:
			return &violation{at + "name", "each kind needs a name of its own"}
		case kind.Memory <= 0:
			return &violation{at + "memory", "more than 0B"}
		}
		names[kind.Name] = true
	}
	switch {
	case w.Sizes != "" && w.Sizes != SizesNone && w.Sizes != SizesCores:
		return &violation{"$.fleet.workers.sizes", fmt.Sprintf("%q is not cores or none", w.Sizes)}
	case w.Reports != "" && w.Reports != ReportsNone && w.Reports != ReportsWaiting:
		return &violation{"$.fleet.workers.reports", fmt.Sprintf("%q is not waiting or none", w.Reports)}
	}
	return nil
}

// validateShape finds settings that stand for different shapes of deployment.
func (f File) validateShape() *violation {
	switch {
	case f.Fleet.LoadPolicy.OnMiss == OnMissMiss && f.Fleet.Policy.MaxAttempts < 2:
		return &violation{"$.fleet.allowed.launches", "with fleet.loading.on-miss miss a miss spends an attempt: at least 2"}
	case f.Fleet.CrossZoneCost && f.Gateway.Zone == "":
		return &violation{"$.front.zone", "fleet.crossing needs the gateway's own zone"}
	case !f.Fleet.CrossZoneCost && f.Gateway.Zone != "":
		return &violation{"$.front.zone", "a zone has no meaning without fleet.crossing"}
	}
	return nil
}

func (f File) validateFunctions() *violation {
	if len(f.Functions) == 0 {
		return &violation{"$.functions", "at least one function is needed"}
	}
	types, tenants, names := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, t := range f.Fleet.Types {
		types[t.Name] = true
	}
	for _, t := range f.Fleet.Tenants {
		tenants[t.Name] = true
	}
	for i, function := range f.Functions {
		at := fmt.Sprintf("$.functions[%d].", i)
		switch {
		case function.Name == "" || names[function.Name] || strings.ContainsAny(function.Name, "/?# "):
			return &violation{at + "name", "each function needs a name of its own without /, ?, # or a space"}
		case !types[function.Type]:
			return &violation{at + "type", fmt.Sprintf("no request type %q in fleet.types", function.Type)}
		case function.Tenant != "" && !tenants[function.Tenant]:
			return &violation{at + "tenant", fmt.Sprintf("no tenant %q in fleet.tenants", function.Tenant)}
		case function.Concurrency < 1:
			return &violation{at + "lanes", "at least one lane"}
		case function.Memory <= 0:
			return &violation{at + "memory", "more than 0B"}
		}
		names[function.Name] = true
	}
	return nil
}

func (g Gateway) validate() *violation {
	if err := config.CheckLoopback(g.Listen); err != nil {
		return &violation{"$.front.listen", err.Error()}
	}
	registry, err := url.Parse(g.RegistryURL)
	if err != nil || registry.Scheme != "http" || config.CheckLoopback(registry.Host) != nil {
		return &violation{"$.front.list", fmt.Sprintf("%q is no http address on loopback", g.RegistryURL)}
	}
	if reason := g.Limits.reason(); reason != "" {
		return &violation{"$.front.limits", reason}
	}
	switch rpc := g.WorkerRPC; {
	case rpc.Dial <= 0 || rpc.Queue <= 0 || rpc.Stall <= 0:
		return &violation{"$.front.link", "dial, queue and stall are more than 0s"}
	case rpc.Calls < 1 || rpc.Bytes < g.Limits.Body:
		return &violation{"$.front.link", "at least 1 call, and bytes for at least one whole body"}
	}
	return nil
}

// reason is why limits are not valid; empty: they are.
func (l ClientLimits) reason() string {
	switch {
	case l.Header < minHeader || l.Body < 1 || l.Body > maxBody:
		return "header at least 1KiB, body from 1B to 12MiB"
	case l.Connections < 1 || l.InFlight < 1:
		return "connections and in-hand are at least 1"
	case l.Read <= 0 || l.Write <= 0 || l.Idle <= 0:
		return "read, write and idle are more than 0s"
	}
	return ""
}
