// Package soak plays a fleet of real front ends on loopback through overlapping troubles, and judges from the sockets of clients and
// workers whether a rule was broken. It does not ask the front ends.
package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// Options are what a run is made from.
type Options struct {
	Seed                uint64
	Gateways            int           // front ends
	Workers             int           // emulated in this process
	Rate                float64       // requests a second at each front end
	Duration            time.Duration // troubles are begun for so long
	WarmUp              time.Duration // before the first trouble
	Program             string        // of a front end
	Dir                 string        // of configurations and logs; it must exist
	InjectSyscallErrors bool          // some front ends run under strace, which makes system calls fail
	Out                 io.Writer     // gets a line for each trouble; nil: nowhere
}

// What the rules allow, with what loopback and the machine add.
const (
	responseSlack   = 500*time.Millisecond + checkerSlack
	disconnectSlack = 100*time.Millisecond + checkerSlack
	deadlineSlack   = 150 * time.Millisecond
	drainSlack      = drainGrace + checkerSlack
	checkerSlack    = 50 * time.Millisecond
	crossingWindow  = 50 * time.Millisecond
	readyTimeout    = 10 * time.Second
)

// Figures of the settings that front ends are given.
const (
	drainGrace      = 500 * time.Millisecond
	maxWait         = 2 * time.Second
	maxOpenRequests = 32
	maxSockets      = 192

	classCall       = "call" // may run again
	classAtMostOnce = "once" // at most once
	classKeyed      = "keyed"
	keyWindow       = 5 * time.Second

	crashWindow   = time.Second
	crashMultiple = 2.5
	initialShare  = 0.3
	warmUpTime    = 6 * time.Second

	maxNotificationDelay  = 7 * time.Second // what a list service that is in trouble would tell
	moveNotificationDelay = 4 * time.Second // what a list service tells that the configuration has moved
)

// expectedBody is what a worker answers to a request.
func expectedBody(id string) string { return "done " + id }

// gatewayConfig is the file of a front end.
func gatewayConfig(o Options, f *gatewayProcess, known []discovery.Endpoint, position int64) ([]byte, error) {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim": 0.5, "give_up": maxWait.Seconds(), "dedup_scope": "all",
			"window": keyWindow.Seconds()}
	}
	return json.Marshal(map[string]any{
		"name": f.name, "listen": f.listen, "seed": fmt.Sprintf("%x", o.Seed+uint64(f.index)+1), "journal": f.discoveryProxy.Addr(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": maxSockets},
		"known":  discovery.Batch{Position: position, Events: []discovery.Event{{Position: position, Update: &discovery.Update{Complete: true, Endpoints: known}}}},
		"settings": map[string]any{"index": f.index, "instances": o.Gateways, "quantum": 0.002, "weight_source": "nominal", "kinds": []string{"std"},
			"family_info": map[string]any{"keep": 10, "orders": true, "miss_mode": "load", "order_limit": 4, "machine_mb": []int{64 << 10},
				"loads_within": 5, "loads_anyway": 30, "load_part": 0.5},
			"policy_limits": map[string]any{"cancel": true, "conn_idle": 4, "dial_timeout": 0.25, "max_streams": 32, "send_cap": 6,
				"probing": true, "retry_after": true, "max_retry_after": 2},
			"report": map[string]any{"source": "inline", "fields": []string{"inflight", "pending"}},
			"rules": map[string]any{"stop_sending_within": drainGrace.Seconds(), "cold_from": initialShare, "warm_after": warmUpTime.Seconds(),
				"fall_multiple": crashMultiple, "fall": crashWindow.Seconds()},
			"request_classes": []any{class(classCall, "pure"), class(classAtMostOnce, "side_effect"), class(classKeyed, "token")}}})
}

// writeFile writes a file whole, or in two parts with something in between, as a careless tool does.
func writeFile(path string, b []byte, between func()) error {
	if between == nil {
		return os.WriteFile(path, b, 0o600)
	}
	if err := os.WriteFile(path, b[:len(b)/2], 0o600); err != nil {
		return err
	}
	between()
	return os.WriteFile(path, b, 0o600)
}

func (o Options) path(name string) string { return filepath.Join(o.Dir, name) }
