package main

import (
	"testing"

	"github.com/alecthomas/kong"
)

// Names that flags and environment variables had in earlier versions must still work.
func TestFormerFlagNames(t *testing.T) {
	type names struct {
		gatewayCount  int
		endpointCache string
		metricsAddr   string
	}
	for _, c := range []struct {
		name string
		args []string
		env  map[string]string
		want names
	}{
		{"none", nil, nil, names{gatewayCount: 1}},
		{"present", []string{"--gateways", "3", "--endpoint-cache", "/c", "--metrics", "a"}, nil, names{3, "/c", "a"}},
		{"former", []string{"--peers", "3", "--keep-list", "/c"}, map[string]string{"LPGATE_METRICS": "a"},
			names{3, "/c", "a"}},
		{"present environment", nil, map[string]string{"GATEWAY_METRICS": "a"}, names{1, "", "a"}},
		{"flag over environment", []string{"--metrics", "a"}, map[string]string{"LPGATE_METRICS": "b"}, names{1, "", "a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for name, value := range c.env {
				t.Setenv(name, value)
			}
			var f flags
			parser, err := kong.New(&f, helpTexts)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := parser.Parse(c.args); err != nil {
				t.Fatal(err)
			}
			if got := (names{f.GatewayCount, f.EndpointCache, f.MetricsAddr}); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
