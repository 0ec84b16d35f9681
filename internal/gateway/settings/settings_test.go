package settings_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lupinpond/internal/gateway/settings"
	"lupinpond/scheduler"
)

// Nested JSON must be flattened to the paths from which Core reads the settings, as in the simulator's first message.
func TestFlatten(t *testing.T) {
	decoder := json.NewDecoder(strings.NewReader(`{"index":1,"instances":3,"quantum":0.001,"kinds":["fast","std"],
		"family_info":{"machine_mb":[183936.0,187136.5],"orders":true,"miss_mode":"load","keep":4.75,"order_limit":4},
		"policy_limits":{"send_cap":6,"retry_after":true,"max_retry_after":2.0},
		"weight_source":"nominal","none":null,"empty":[],
		"request_classes":[{"name":"a","effect":"pure","aim":1.47,"give_up":3.5},
		{"name":"b","effect":"side_effect","give_up":2}],
		"orgs":[{"name":"x","quota_per_s":188.0}],"rules":{"warm_after":17}}`))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		t.Fatal(err)
	}
	values := settings.Flatten(object)
	s := values.Core(9)
	if s.Seed != 9 || s.Index != 1 || s.Gateways != 3 || s.MinTickInterval != time.Millisecond || s.MaxAttempts != 6 ||
		!values.UsesWorkerSizes() {
		t.Errorf("%+v", s)
	}
	if len(s.WorkerKinds) != 2 || s.WorkerKinds[1].Name != "std" || s.WorkerKinds[1].Memory != 187136.5 ||
		s.LoadPolicy.ReplicaIdleTimeout != 4750*time.Millisecond {
		t.Errorf("%+v", s)
	}
	if len(s.Types) != 2 || s.Types[0].Effect != scheduler.Idempotent || s.Types[0].Objective != 1470*time.Millisecond ||
		s.Types[1].Effect != scheduler.AtMostOnce || s.Types[1].Objective != 2*time.Second {
		t.Errorf("%+v", s.Types)
	}
	if len(s.Tenants) != 1 || s.Tenants[0].Quota != 188 || s.MaxRetryAfter != 2*time.Second ||
		values["empty.count"] != "0" {
		t.Errorf("%+v", s)
	}
}
