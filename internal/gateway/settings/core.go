package settings

import (
	"strconv"
	"strings"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// Core is what a core is started with.
func (p Values) Core(seed uint64) core.Settings {
	f := core.Settings{Seed: seed, Index: int(p.Number("index", 0)), Gateways: int(p.Number("instances", 1)),
		MinTickInterval: p.Duration("quantum", 0)}
	for i := range int(p.Number("request_classes.count", 0)) {
		at := "request_classes." + strconv.Itoa(i) + "."
		age := p.Duration(at+"give_up", 0)
		f.Types = append(f.Types, scheduler.RequestType{Name: p[at+"name"], Effect: parseEffect(p[at+"effect"]),
			DedupScope: parseGroup(p[at+"dedup_scope"]), DedupWindow: p.Duration(at+"window", 0),
			Objective: p.Duration(at+"aim", age)})
	}
	for i := range int(p.Number("orgs.count", 0)) {
		at := "orgs." + strconv.Itoa(i) + "."
		f.Tenants = append(f.Tenants, core.Tenant{Name: p[at+"name"], Quota: p.Number(at+"quota_per_s", 0)})
	}
	if p.Number("prices.cross_zone", 0) > 0 {
		f.Zone = p["locality"]
	}
	kinds, memory := strings.Split(p["kinds"], ","), strings.Split(p["family_info.machine_mb"], ",")
	for i := range min(len(kinds), len(memory)) {
		mb, _ := strconv.ParseFloat(memory[i], 64) // what is no number is not believed
		f.WorkerKinds = append(f.WorkerKinds, core.WorkerKind{Name: kinds[i], Memory: mb})
	}
	if p.Bool("policy_limits.retry_after", false) {
		f.MaxRetryAfter = p.Duration("policy_limits.max_retry_after", 0)
	}
	f.MaxAttempts = int(p.Number("policy_limits.send_cap", 1))
	f.Cancel, f.Probe = p.Bool("policy_limits.cancel", false), p.Bool("policy_limits.probing", false)
	f.LoadPolicy = core.LoadPolicy{RequestLoads: p.Bool("family_info.orders", false),
		LoadOnMiss: p["family_info.miss_mode"] != "miss", ReplicaIdleTimeout: p.Duration("family_info.keep", 0),
		RequestTimeout: p.Duration("family_info.order_limit", 0), RateWindow: p.Duration("family_info.loads_within", 0),
		RateBurst: p.Number("family_info.loads_anyway", 0), RatePerRequest: p.Number("family_info.load_part", 0)}
	f.SlowStart = core.SlowStart{InitialShare: p.Number("rules.cold_from", 0),
		WarmUpTime: p.Duration("rules.warm_after", 0), CrashMultiple: p.Number("rules.fall_multiple", 0),
		CrashWindow: p.Duration("rules.fall", 0)}
	if p["registry_mode"] == "ask" {
		f.SubscribeInterval = max(p.Duration("rules.must_ask_in", 0), 1)
	}
	return f
}

// UsesWorkerSizes tells whether the list of workers tells sizes that count.
func (p Values) UsesWorkerSizes() bool {
	return p["weight_source"] == "nominal" || p["weight_source"] == "rough"
}

func parseEffect(word string) scheduler.Effect {
	switch word {
	case "pure":
		return scheduler.Idempotent
	case "token":
		return scheduler.IdempotencyKey
	}
	return scheduler.AtMostOnce
}

func parseGroup(word string) scheduler.DedupScope {
	switch word {
	case "all":
		return scheduler.ScopeAll
	case "zone":
		return scheduler.ScopeZone
	}
	return scheduler.ScopeCell
}
