package settings_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"lupinpond/internal/gateway/settings"
)

// goldenObject is a settings object with every key that a gateway's core reads.
const goldenObject = `{"index":1,"instances":3,"quantum":0.001,"kinds":["fast","std"],"weight_source":"nominal",
"locality":"north","registry_mode":"ask","prices":{"cross_zone":0.5},
"family_info":{"machine_mb":[1000,2000.5],"orders":true,"miss_mode":"miss","keep":4.75,"order_limit":4,
"loads_within":10,"loads_anyway":20,"load_part":0.1},
"policy_limits":{"send_cap":6,"retry_after":true,"max_retry_after":2,"cancel":true,"probing":true},
"request_classes":[{"name":"a","effect":"pure","aim":1.5,"give_up":3.5},
{"name":"b","effect":"token","dedup_scope":"all","window":5,"give_up":2},
{"name":"c","effect":"token","dedup_scope":"zone","window":6,"aim":1},
{"name":"d","effect":"token","dedup_scope":"cell","window":7,"aim":1},
{"name":"e","effect":"side_effect","aim":1}],
"orgs":[{"name":"x","quota_per_s":188}],
"rules":{"cold_from":0.2,"warm_after":17,"fall_multiple":2.5,"fall":1,"must_ask_in":12}}`

// goldenPaths are the paths of goldenObject whose values change the core's settings or UsesWorkerSizes. A number is an
// index in a list. The dedup_scope of d and the effect of e are missing because they have the default values.
const goldenPaths = `family_info.keep family_info.load_part family_info.loads_anyway family_info.loads_within
family_info.machine_mb family_info.miss_mode family_info.order_limit family_info.orders index instances kinds locality
orgs.0.name orgs.0.quota_per_s orgs.count policy_limits.cancel policy_limits.max_retry_after policy_limits.probing
policy_limits.retry_after policy_limits.send_cap prices.cross_zone quantum registry_mode request_classes.0.aim
request_classes.0.effect request_classes.0.name request_classes.1.dedup_scope request_classes.1.effect
request_classes.1.give_up request_classes.1.name request_classes.1.window request_classes.2.aim
request_classes.2.dedup_scope request_classes.2.effect request_classes.2.name request_classes.2.window
request_classes.3.aim request_classes.3.effect request_classes.3.name request_classes.3.window request_classes.4.aim
request_classes.4.name request_classes.count rules.cold_from rules.fall rules.fall_multiple rules.must_ask_in
rules.warm_after weight_source`

func golden(t *testing.T) settings.Values {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(goldenObject))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		t.Fatal(err)
	}
	return settings.Flatten(object)
}

// formatCoreSettings formats the settings of a core and UsesWorkerSizes without field names.
func formatCoreSettings(values settings.Values) string {
	return fmt.Sprintf("%v sized %v", values.Core(9), values.UsesWorkerSizes())
}

// The object with every key must result in these settings of a core.
func TestGoldenCore(t *testing.T) {
	const want = "{9 1 3 1ms [{a 0 2 0s 1.5s} {b 1 0 5s 2s} {c 1 1 6s 1s} {d 1 2 7s 1s} {e 2 2 0s 1s}] [{x 188}] 6 true " +
		"true 2s {true false 4.75s 4s 10s 20 0.1} {0.2 17s 2.5 1s} 12s [{fast 1000} {std 2000.5}] north 0s 0 false} sized true"
	if got := formatCoreSettings(golden(t)); got != want {
		t.Errorf("\n got %s\nwant %s", got, want)
	}
}

// Exactly these keys must be read: removing any of them, and no other, must change the core's settings.
func TestGoldenKeys(t *testing.T) {
	all := golden(t)
	complete := formatCoreSettings(all)
	var read []string
	for _, path := range slices.Sorted(maps.Keys(all)) {
		without := maps.Clone(all)
		delete(without, path)
		if formatCoreSettings(without) != complete {
			read = append(read, path)
		}
	}
	if got, want := strings.Join(read, " "), strings.Join(strings.Fields(goldenPaths), " "); got != want {
		t.Errorf("\n got %s\nwant %s", got, want)
	}
}
