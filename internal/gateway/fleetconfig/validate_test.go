package fleetconfig_test

import (
	"errors"
	"strings"
	"testing"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

// Every invalid setting must result in an error with file, line and column of the invalid value.
func TestValidationErrorsHavePosition(t *testing.T) {
	text := string(fleetconfig.DefaultText())
	const last = "  quantum: 2ms\n" // setting of the fleet
	for _, c := range []struct{ old, new, want string }{
		{"effect: at-most-once", "effect: twice", `f.yaml:4:38: fleet.types[0].effect: "twice" is not`},
		{"target: 1500ms", "target: 1500", `f.yaml:4:60: "1500" is no time with a unit`},
		{"target: 1500ms", "target: -2s", "a time is at least 0"},
		{"max-age: 6s", "max-age: 1s", "f.yaml:4:77: fleet.types[0].max-age: the max age must be at least"},
		{"benefit: 5", "worth: 5", "f.yaml:4:81: unknown field \"worth\""},
		{"group: zone, ", "", "fleet.types[1].group: a keyed type needs group"},
		{"on-miss: load", "on-miss: wait", `f.yaml:14:14: fleet.loading.on-miss: "wait" is not load or miss`},
		{"type: tax-check", "type: tax", `functions[3].type: no request type "tax"`},
		{"memory: 192MiB", "memory: 192", `"192" is no size with a unit`},
		{"listen: 127.0.0.1", "listen: 0.0.0.0", `front.listen: "0.0.0.0:8711" is not on loopback`},
		{last, last + "  quantum: 3ms\n", "f.yaml:24:3: mapping key"},
		{"launches: 6", "launches: [6]", "f.yaml:19:"},
		{"keep: 8s", "keep: 8s\n    by: all", "unknown field"},
		{last, last + "  workers: {sizes: big}\n", `fleet.workers.sizes: "big" is not cores or none`},
		{last, last + "  workers: {kinds: [{name: a, memory: 0B}]}\n", "fleet.workers.kinds[0].memory: must be more"},
		{last, last + "  workers: {reports: held}\n", `fleet.workers.reports: "held" is not waiting or none`},
		{last, last + "  crossing: true\n", "front.zone: fleet.crossing needs"},
		{"  listen:", "  zone: a\n  listen:", "f.yaml:32:9: front.zone: a zone has no effect"},
		{text, "", "f.yaml:1:1: the file is empty"},
		{text, "fleet: [", "f.yaml:1:"},
	} {
		broken := strings.Replace(text, c.old, c.new, 1)
		_, err := fleetconfig.Parse("f.yaml", []byte(broken))
		var position *config.Error
		if !errors.As(err, &position) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: got %v, want %s", c.new, c.old, err, c.want)
		}
	}
	if _, err := fleetconfig.Default(); err != nil {
		t.Error(err)
	}
	miss := strings.NewReplacer("on-miss: load", "on-miss: miss", "launches: 6", "launches: 1").Replace(text)
	_, err := fleetconfig.Parse("f.yaml", []byte(miss))
	if err == nil || !strings.Contains(err.Error(), "fleet.allowed.launches: with") {
		t.Errorf("on-miss: miss with a single attempt: got %v, want an error at fleet.allowed.launches", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(fleetconfig.DefaultText())
	f.Add([]byte("fleet: {types: [{name: a, effect: keyed}]}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, err := fleetconfig.Parse("f", b)
		var position *config.Error
		if err != nil && (!errors.As(err, &position) || position.Line < 1) {
			t.Errorf("error without a position: %v", err)
		}
		if err == nil && (len(file.Functions) == 0 || len(file.Core(1, 0, 1).Types) == 0) {
			t.Error("settings without functions or request types were accepted")
		}
	})
}
