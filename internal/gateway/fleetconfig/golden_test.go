package fleetconfig_test

import (
	_ "embed" // the golden file
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

//go:embed testdata/golden/every.yaml
var everyKey []byte

// goldenKeys are the paths of all keys of a settings file.
const goldenKeys = `fleet.allowed.cancel fleet.allowed.launches fleet.allowed.probe fleet.allowed.retry-after
fleet.allowed.second-copies fleet.answer-slack fleet.ask-list-within fleet.cold.fall fleet.cold.fall-multiple
fleet.cold.from fleet.cold.warm-after fleet.crossing fleet.loading.keep fleet.loading.on-miss
fleet.loading.order-limit fleet.loading.orders fleet.loading.ration.free fleet.loading.ration.share
fleet.loading.ration.within fleet.quantum fleet.stop-sending-within fleet.tenants[].name fleet.tenants[].share
fleet.types[].benefit fleet.types[].effect fleet.types[].group fleet.types[].max-age fleet.types[].name
fleet.types[].target fleet.types[].window fleet.workers.kinds[].memory fleet.workers.kinds[].name
fleet.workers.reports fleet.workers.sizes front.limits.body front.limits.connections front.limits.header
front.limits.idle front.limits.in-hand front.limits.read front.limits.write front.link.bytes front.link.calls
front.link.dial front.link.queue front.link.stall front.list front.listen front.zone functions[].lanes
functions[].load-time functions[].memory functions[].name functions[].tenant functions[].type`

// goldenValues are the values of every.yaml in the order in which the schema declares the keys.
const goldenValues = "{{[{once at-most-once  0 1500000000 6000000000 5} {zonal keyed zone 5000000000 1000000000 " +
	"4000000000 2} {pure redeliverable  0 1000000000 3000000000 0.5}] [{acme 40}] {true miss 8000000000 10000000000 " +
	"{11000000000 20 0.1}} {0.2 9000000000 2.5 1000000000} {cores [{box 2147483648}] waiting} true {6 true true " +
	"1000000000 true} 250000000 500000000 12000000000 2000000} [{pay once acme 2 268435456 300000000}] {127.0.0.1:8711 " +
	"http://127.0.0.1:8710 north {16384 1000 4001 4002 5000000000 6000000000 60000000000} {1000000000 2000000000 " +
	"3000000000 512 33554432}}}"

// collectKeys adds the paths of all keys of type t to set. The value of a path in set is whether the key has a value in
// v.
func collectKeys(set map[string]bool, at string, t reflect.Type, v reflect.Value) {
	switch t.Kind() {
	case reflect.Slice:
		for i := range v.Len() {
			collectKeys(set, at+"[]", t.Elem(), v.Index(i))
		}
		collectKeys(set, at+"[]", t.Elem(), reflect.Zero(t.Elem()))
	case reflect.Struct:
		for i := range t.NumField() {
			tag, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
			if tag == "" {
				tag = "(" + t.Field(i).Name + " without a key)"
			}
			collectKeys(set, strings.TrimPrefix(at+"."+tag, "."), t.Field(i).Type, v.Field(i))
		}
	default:
		set[at] = set[at] || !v.IsZero()
	}
}

// The schema must have exactly these keys, and a file with all of them must be read with all of its values.
func TestGoldenKeys(t *testing.T) {
	f, err := fleetconfig.Parse("every.yaml", everyKey)
	if err != nil {
		t.Fatal(err)
	}
	set := map[string]bool{}
	collectKeys(set, "", reflect.TypeFor[fleetconfig.File](), reflect.ValueOf(f))
	got, want := strings.Join(slices.Sorted(maps.Keys(set)), " "), strings.Join(strings.Fields(goldenKeys), " ")
	if got != want {
		t.Errorf("\n got %s\nwant %s", got, want)
	}
	for key, hasValue := range set {
		if !hasValue {
			t.Errorf("%s: got no value, want the one in every.yaml", key)
		}
	}
	if got := fmt.Sprint(f); got != goldenValues {
		t.Errorf("\n got %s\nwant %s", got, goldenValues)
	}
}

// Durations and sizes must be written with these units and must be read again with the same values.
func TestGoldenUnits(t *testing.T) {
	b, err := yaml.Marshal(fleetconfig.Function{
		Name: "pay", Type: "once", Tenant: "acme", Concurrency: 2, Memory: 256 << 20, LoadTime: 1500e6,
	})
	want := "name: pay\ntype: once\ntenant: acme\nlanes: 2\nmemory: 268435456B\nload-time: 1.5s\n"
	if err != nil || string(b) != want {
		t.Errorf("\n got %q, %v\nwant %q", b, err, want)
	}
	var f fleetconfig.Function
	if err := config.DecodeStrict("f", b, &f); err != nil || f.Memory != 256<<20 || f.LoadTime != 1500e6 {
		t.Errorf("got %v, %v", f, err)
	}
}
