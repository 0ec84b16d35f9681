package settings

import (
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/scheduler"
)

// minSubscribeInterval is the subscribe interval if the gateway must poll for the endpoint list but the settings state
// no interval. It is not 0, because 0 means that the list is sent without polling.
const minSubscribeInterval time.Duration = 1

// Core returns the settings of a gateway's core. seed seeds its random numbers.
func (v Values) Core(seed uint64) core.Settings {
	s := core.Settings{
		Seed:            seed,
		Index:           int(v.Number("index", 0)),
		Gateways:        int(v.Number("instances", 1)),
		MinTickInterval: v.Duration("quantum", 0),
		Types:           v.requestTypes(),
		Tenants:         v.tenants(),
		MaxAttempts:     int(v.Number("policy_limits.send_cap", 1)),
		Cancel:          v.Bool("policy_limits.cancel", false),
		Probe:           v.Bool("policy_limits.probing", false),
		LoadPolicy: core.LoadPolicy{
			RequestLoads:       v.Bool("family_info.orders", false),
			LoadOnMiss:         v["family_info.miss_mode"] != "miss",
			ReplicaIdleTimeout: v.Duration("family_info.keep", 0),
			RequestTimeout:     v.Duration("family_info.order_limit", 0),
			RateWindow:         v.Duration("family_info.loads_within", 0),
			RateBurst:          v.Number("family_info.loads_anyway", 0),
			RatePerRequest:     v.Number("family_info.load_part", 0),
		},
		SlowStart: core.SlowStart{
			InitialShare:  v.Number("rules.cold_from", 0),
			WarmUpTime:    v.Duration("rules.warm_after", 0),
			CrashMultiple: v.Number("rules.fall_multiple", 0),
			CrashWindow:   v.Duration("rules.fall", 0),
		},
		WorkerKinds: v.workerKinds(),
	}
	if v.Bool("policy_limits.retry_after", false) {
		s.MaxRetryAfter = v.Duration("policy_limits.max_retry_after", 0)
	}
	if v.Number("prices.cross_zone", 0) > 0 {
		s.Zone = v["locality"]
	}
	if v["registry_mode"] == "ask" {
		s.SubscribeInterval = max(v.Duration("rules.must_ask_in", 0), minSubscribeInterval)
	}
	return s
}

// UsesWorkerSizes reports whether the sizes of workers on the endpoint list are used as their capacities.
func (v Values) UsesWorkerSizes() bool {
	return v["weight_source"] == "nominal" || v["weight_source"] == "rough"
}

func (v Values) requestTypes() (types []scheduler.RequestType) {
	for i := range int(v.Number("request_classes.count", 0)) {
		prefix := "request_classes." + strconv.Itoa(i) + "."
		maxAge := v.Duration(prefix+"give_up", 0)
		types = append(types, scheduler.RequestType{
			Name:        v[prefix+"name"],
			Effect:      parseEffect(v[prefix+"effect"]),
			DedupScope:  parseDedupScope(v[prefix+"dedup_scope"]),
			DedupWindow: v.Duration(prefix+"window", 0),
			Objective:   v.Duration(prefix+"aim", maxAge),
		})
	}
	return types
}

func (v Values) tenants() (tenants []core.Tenant) {
	for i := range int(v.Number("orgs.count", 0)) {
		prefix := "orgs." + strconv.Itoa(i) + "."
		tenants = append(tenants, core.Tenant{Name: v[prefix+"name"], Quota: v.Number(prefix+"quota_per_s", 0)})
	}
	return tenants
}

func (v Values) workerKinds() (kinds []core.WorkerKind) {
	names, memory := strings.Split(v["kinds"], ","), strings.Split(v["family_info.machine_mb"], ",")
	for i := range min(len(names), len(memory)) {
		mb, _ := strconv.ParseFloat(memory[i], 64) // an invalid number counts as 0
		kinds = append(kinds, core.WorkerKind{Name: names[i], Memory: mb})
	}
	return kinds
}

func parseEffect(text string) scheduler.Effect {
	switch text {
	case "pure":
		return scheduler.Idempotent
	case "token":
		return scheduler.IdempotencyKey
	}
	return scheduler.AtMostOnce
}

func parseDedupScope(text string) scheduler.DedupScope {
	switch text {
	case "all":
		return scheduler.ScopeAll
	case "zone":
		return scheduler.ScopeZone
	}
	return scheduler.ScopeCell
}
