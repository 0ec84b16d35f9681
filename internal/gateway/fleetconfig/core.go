package fleetconfig

import (
	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Core returns the settings of a gateway's core. index is the gateway's index, starting at 0, and gateways is the
// number of gateways in the fleet.
func (f File) Core(seed uint64, index, gateways int) core.Settings {
	policy := f.Fleet.Policy
	return core.Settings{
		Seed:              seed,
		Index:             index,
		Gateways:          gateways,
		MinTickInterval:   f.Fleet.MinTickInterval.Std(),
		SubscribeInterval: f.Fleet.SubscribeInterval.Std(),
		EnforceDeadlines:  true,
		Types:             f.Fleet.schedulerTypes(),
		Tenants:           f.Fleet.coreTenants(),
		MaxAttempts:       policy.MaxAttempts,
		Cancel:            policy.Cancel,
		Probe:             policy.Probe,
		MaxRetryAfter:     policy.MaxRetryAfter.Std(),
		LoadPolicy:        f.Fleet.LoadPolicy.core(),
		SlowStart:         f.Fleet.SlowStart.core(),
		WorkerKinds:       f.Fleet.Workers.coreKinds(),
		Zone:              f.Gateway.Zone,
	}
}

func (f Fleet) schedulerTypes() (types []scheduler.RequestType) {
	for _, t := range f.Types {
		types = append(types, t.SchedulerType())
	}
	return types
}

func (f Fleet) coreTenants() (tenants []core.Tenant) {
	for _, t := range f.Tenants {
		tenants = append(tenants, core.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return tenants
}

func (p LoadPolicy) core() core.LoadPolicy {
	return core.LoadPolicy{
		RequestLoads:       p.RequestLoads,
		LoadOnMiss:         p.OnMiss == OnMissLoad,
		ReplicaIdleTimeout: p.ReplicaIdleTimeout.Std(),
		RequestTimeout:     p.RequestTimeout.Std(),
		RateWindow:         p.RateLimit.Window.Std(),
		RateBurst:          p.RateLimit.Burst,
		RatePerRequest:     p.RateLimit.PerRequest,
	}
}

func (s SlowStart) core() core.SlowStart {
	return core.SlowStart{
		InitialShare:  s.InitialShare,
		WarmUpTime:    s.WarmUpTime.Std(),
		CrashMultiple: s.CrashMultiple,
		CrashWindow:   s.CrashWindow.Std(),
	}
}

func (w Workers) coreKinds() (kinds []core.WorkerKind) {
	for _, k := range w.Kinds {
		kinds = append(kinds, core.WorkerKind{Name: k.Name, Memory: float64(k.Memory)})
	}
	return kinds
}

// SchedulerType returns the request type in the form that the scheduler uses.
func (t RequestType) SchedulerType() scheduler.RequestType {
	requestType := scheduler.RequestType{
		Name:        t.Name,
		DedupWindow: t.DedupWindow.Std(),
		Objective:   t.Objective.Std(),
	}
	switch t.Effect {
	case EffectKeyed:
		requestType.Effect = scheduler.IdempotencyKey
	case EffectAtMostOnce:
		requestType.Effect = scheduler.AtMostOnce
	}
	switch t.DedupScope {
	case ScopeZone:
		requestType.DedupScope = scheduler.ScopeZone
	case ScopeCell:
		requestType.DedupScope = scheduler.ScopeCell
	}
	return requestType
}
