package fleetconfig

import (
	"fmt"
	"net/url"
	"strings"

	"lupinpond/internal/base/config"
)

// Limits of settings.
const (
	maxAttempts      = 100
	maxWeight        = 1e9
	maxQuota         = 1e9      // requests per second
	maxCrashMultiple = 1e6      // multiple of a worker's capacity
	minHeader        = 1 << 10  // bytes
	maxBody          = 12 << 20 // bytes
)

// violation is an invalid setting: its YAML path and the reason why it is invalid.
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
		f.validateConsistency,
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
		prefix := fmt.Sprintf("$.fleet.types[%d].", i)
		if t.Name == "" || names[t.Name] {
			return &violation{prefix + "name", "each request type needs a unique name"}
		}
		names[t.Name] = true
		if v := t.validate(prefix); v != nil {
			return v
		}
	}
	return nil
}

// validate checks all settings of a request type except its name. prefix is the prefix of their YAML paths.
func (t RequestType) validate(prefix string) *violation {
	switch keyed := t.Effect == EffectKeyed; {
	case t.Effect != EffectRedeliverable && !keyed && t.Effect != EffectAtMostOnce:
		return &violation{prefix + "effect", fmt.Sprintf("%q is not redeliverable, keyed or at-most-once", t.Effect)}
	case keyed && t.DedupScope != ScopeAll && t.DedupScope != ScopeZone && t.DedupScope != ScopeCell:
		return &violation{prefix + "group", fmt.Sprintf("a keyed type needs group all, zone or cell, got %q", t.DedupScope)}
	case !keyed && t.DedupScope != "":
		return &violation{prefix + "group", "only a keyed type may have a group"}
	case keyed && t.DedupWindow <= 0:
		return &violation{prefix + "window", "a keyed type needs a window of more than 0s"}
	case !keyed && t.DedupWindow != 0:
		return &violation{prefix + "window", "only a keyed type may have a window"}
	case t.Objective <= 0:
		return &violation{prefix + "target", "the target time must be more than 0s"}
	case t.MaxAge < t.Objective:
		return &violation{prefix + "max-age", "the max age must be at least the target time"}
	case !(t.Weight >= 0 && t.Weight < maxWeight):
		return &violation{prefix + "benefit", "the benefit must be at least 0 and less than 1e9"}
	}
	return nil
}

func (f Fleet) validateTenants() *violation {
	names := map[string]bool{}
	for i, t := range f.Tenants {
		prefix := fmt.Sprintf("$.fleet.tenants[%d].", i)
		if t.Name == "" || names[t.Name] {
			return &violation{prefix + "name", "each tenant needs a unique name"}
		}
		if !(t.Quota > 0 && t.Quota < maxQuota) {
			return &violation{prefix + "share", "the share must be more than 0 and less than 1e9 requests per second"}
		}
		names[t.Name] = true
	}
	return nil
}

func (p LoadPolicy) validate() *violation {
	switch miss := p.OnMiss == OnMissReturn; {
	case p.OnMiss != OnMissLoad && !miss:
		return &violation{"$.fleet.loading.on-miss", fmt.Sprintf("%q is not load or miss", p.OnMiss)}
	case miss && !p.RequestLoads:
		return &violation{"$.fleet.loading.on-miss", "miss requires orders: no function would ever be loaded without them"}
	case p.ReplicaIdleTimeout <= 0:
		return &violation{"$.fleet.loading.keep", "the time for which an idle replica is kept must be more than 0s"}
	case p.RequestLoads && p.RequestTimeout <= 0:
		return &violation{"$.fleet.loading.order-limit", "orders require an order limit of more than 0s"}
	case !(p.RateLimit.Burst >= 0 && p.RateLimit.PerRequest >= 0):
		return &violation{"$.fleet.loading.ration", "free and share must be at least 0"}
	case miss && p.RateLimit.Window > 0 && p.RateLimit.Burst+p.RateLimit.PerRequest == 0:
		return &violation{"$.fleet.loading.ration", "with on-miss: miss, free or share must be more than 0 to allow orders"}
	}
	return nil
}

func (s SlowStart) validate() *violation {
	switch {
	case !(s.InitialShare >= 0 && s.InitialShare <= 1):
		return &violation{"$.fleet.cold.from", "the initial share of the capacity must be between 0 and 1"}
	case !(s.CrashMultiple >= 0 && s.CrashMultiple < maxCrashMultiple):
		return &violation{"$.fleet.cold.fall-multiple", "the fall multiple must be at least 0 and less than 1e6"}
	case s.CrashMultiple > 0 && (s.CrashWindow <= 0 || s.WarmUpTime <= 0 || s.InitialShare == 0):
		return &violation{"$.fleet.cold", "a fall multiple requires from, warm-after and fall to be more than 0"}
	}
	return nil
}

func (p Policy) validate() *violation {
	if p.MaxAttempts < 1 || p.MaxAttempts > maxAttempts {
		return &violation{"$.fleet.allowed.launches", "the number of attempts per request must be between 1 and 100"}
	}
	return nil
}

func (f Fleet) validateTimes() *violation {
	switch {
	case f.MinTickInterval <= 0:
		return &violation{"$.fleet.quantum", "must be more than 0s"}
	case f.SubscribeInterval <= 0:
		return &violation{"$.fleet.ask-list-within", "must be more than 0s"}
	case f.DrainGrace <= 0:
		return &violation{"$.fleet.stop-sending-within", "must be more than 0s"}
	}
	return nil
}

func (w Workers) validate() *violation {
	names := map[string]bool{}
	for i, kind := range w.Kinds {
		prefix := fmt.Sprintf("$.fleet.workers.kinds[%d].", i)
		switch {
		case kind.Name == "" || names[kind.Name]:
			return &violation{prefix + "name", "each kind needs a unique name"}
		case kind.Memory <= 0:
			return &violation{prefix + "memory", "must be more than 0B"}
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

// validateConsistency checks settings of different sections that must be consistent with each other.
func (f File) validateConsistency() *violation {
	switch {
	case f.Fleet.LoadPolicy.OnMiss == OnMissReturn && f.Fleet.Policy.MaxAttempts < 2:
		return &violation{"$.fleet.allowed.launches", "with fleet.loading.on-miss: miss, at least 2 launches are needed"}
	case f.Fleet.CrossZoneCost && f.Gateway.Zone == "":
		return &violation{"$.front.zone", "fleet.crossing needs the gateway's own zone"}
	case !f.Fleet.CrossZoneCost && f.Gateway.Zone != "":
		return &violation{"$.front.zone", "a zone has no effect without fleet.crossing"}
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
		prefix := fmt.Sprintf("$.functions[%d].", i)
		switch {
		case function.Name == "" || names[function.Name] || strings.ContainsAny(function.Name, "/?# "):
			return &violation{prefix + "name", "each function needs a unique name without /, ?, # or spaces"}
		case !types[function.Type]:
			return &violation{prefix + "type", fmt.Sprintf("no request type %q in fleet.types", function.Type)}
		case function.Tenant != "" && !tenants[function.Tenant]:
			return &violation{prefix + "tenant", fmt.Sprintf("no tenant %q in fleet.tenants", function.Tenant)}
		case function.Concurrency < 1:
			return &violation{prefix + "lanes", "must be at least 1"}
		case function.Memory <= 0:
			return &violation{prefix + "memory", "must be more than 0B"}
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
		return &violation{"$.front.list", fmt.Sprintf("%q is not an http URL on loopback", g.RegistryURL)}
	}
	if reason := g.Limits.reason(); reason != "" {
		return &violation{"$.front.limits", reason}
	}
	switch rpc := g.WorkerRPC; {
	case rpc.Dial <= 0 || rpc.Queue <= 0 || rpc.Stall <= 0:
		return &violation{"$.front.link", "dial, queue and stall must be more than 0s"}
	case rpc.Calls < 1 || rpc.Bytes < g.Limits.Body:
		return &violation{"$.front.link", "calls must be at least 1, and bytes at least front.limits.body"}
	}
	return nil
}

// reason returns the reason why the limits are invalid, or an empty string if they are valid.
func (l ClientLimits) reason() string {
	switch {
	case l.Header < minHeader || l.Body < 1 || l.Body > maxBody:
		return "header must be at least 1KiB, and body between 1B and 12MiB"
	case l.Connections < 1 || l.InFlight < 1:
		return "connections and in-hand must be at least 1"
	case l.Read <= 0 || l.Write <= 0 || l.Idle <= 0:
		return "read, write and idle must be more than 0s"
	}
	return ""
}
