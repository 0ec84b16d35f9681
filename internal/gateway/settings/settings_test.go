package settings_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/settings"
	"lupinpond/scheduler"
)

// Nested JSON gives the paths that the simulator's first message has.
func TestFlatten(t *testing.T) {
	decode := json.NewDecoder(strings.NewReader(`{"index":1,"instances":3,"quantum":0.001,"kinds":["fast","std"],
		"family_info":{"machine_mb":[183936.0,187136.5],"orders":true,"miss_mode":"load","keep":4.75,"order_limit":4},
		"policy_limits":{"send_cap":6,"retry_after":true,"max_retry_after":2.0},"weight_source":"nominal","none":null,"empty":[],
		"request_classes":[{"name":"a","effect":"pure","aim":1.47,"give_up":3.5},{"name":"b","effect":"side_effect","give_up":2}],
		"orgs":[{"name":"x","quota_per_s":188.0}],"rules":{"warm_after":17}}`))
	decode.UseNumber()
	var object map[string]any
	if err := decode.Decode(&object); err != nil {
		t.Fatal(err)
	}
	p := settings.Flatten(object)
	f := p.Core(9)
	if f.Seed != 9 || f.Index != 1 || f.Gateways != 3 || f.MinTickInterval != time.Millisecond || f.MaxAttempts != 6 || !p.UsesWorkerSizes() {
		t.Errorf("%+v", f)
	}
	if len(f.WorkerKinds) != 2 || f.WorkerKinds[1].Name != "std" || f.WorkerKinds[1].Memory != 187136.5 || f.LoadPolicy.ReplicaIdleTimeout != 4750*time.Millisecond {
		t.Errorf("%+v", f)
	}
	if len(f.Types) != 2 || f.Types[0].Effect != scheduler.Idempotent || f.Types[0].Objective != 1470*time.Millisecond ||
		f.Types[1].Effect != scheduler.AtMostOnce || f.Types[1].Objective != 2*time.Second {
		t.Errorf("%+v", f.Types)
	}
	if len(f.Tenants) != 1 || f.Tenants[0].Quota != 188 || f.MaxRetryAfter != 2*time.Second || p["empty.count"] != "0" {
		t.Errorf("%+v", f)
	}
}
