package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"lupinpond/internal/gateway/discovery"
)

// object is a JSON object in the platform's configuration file.
type object map[string]any

// gatewayConfig returns the configuration file of a gateway, with the endpoint list that the gateway starts with and
// the list's position.
func gatewayConfig(g *gatewayProcess, endpoints []discovery.Endpoint, position int64) ([]byte, error) {
	update := &discovery.Update{Complete: true, Endpoints: endpoints}
	return json.Marshal(object{
		"name":     g.name,
		"listen":   g.listen,
		"seed":     fmt.Sprintf("%x", g.options.Seed+uint64(g.index)+1),
		"journal":  g.discoveryProxy.Addr(),
		"limits":   object{"cores": g.limits.cores, "memory_mb": g.limits.memoryMB, "sockets": maxSockets},
		"known":    discovery.Batch{Position: position, Events: []discovery.Event{{Position: position, Update: update}}},
		"settings": gatewaySettings(g),
	})
}

func gatewaySettings(g *gatewayProcess) object {
	return object{
		"index":         g.index,
		"instances":     g.options.Gateways,
		"quantum":       0.002,
		"weight_source": "nominal",
		"kinds":         []string{"std"},
		"family_info": object{
			"keep":         10,
			"orders":       true,
			"miss_mode":    "load",
			"order_limit":  4,
			"machine_mb":   []int{64 << 10},
			"loads_within": 5,
			"loads_anyway": 30,
			"load_part":    0.5,
		},
		"policy_limits": object{
			"cancel":          true,
			"conn_idle":       4,
			"dial_timeout":    0.25,
			"max_streams":     32,
			"send_cap":        6,
			"probing":         true,
			"retry_after":     true,
			"max_retry_after": 2,
		},
		"report": object{"source": "inline", "fields": []string{"inflight", "pending"}},
		"rules": object{
			"stop_sending_within": drainGrace.Seconds(),
			"cold_from":           initialShare,
			"warm_after":          warmUpTime.Seconds(),
			"fall_multiple":       crashMultiple,
			"fall":                crashWindow.Seconds(),
		},
		"request_classes": []object{
			requestClass(classCall, "pure", g.options.maxWait()),
			requestClass(classAtMostOnce, "side_effect", g.options.maxWait()),
			requestClass(classKeyed, "token", g.options.maxWait()),
		},
	}
}

func requestClass(name, effect string, wait time.Duration) object {
	return object{
		"name":        name,
		"effect":      effect,
		"aim":         0.5,
		"give_up":     wait.Seconds(),
		"dedup_scope": "all",
		"window":      keyWindow.Seconds(),
	}
}

// writeConfig writes a file. If interrupt is given, it first writes the first half, calls interrupt, and then writes
// the whole file, like a tool that doesn't replace files atomically.
func writeConfig(path string, config []byte, interrupt func()) error {
	if interrupt == nil {
		return os.WriteFile(path, config, 0o600)
	}
	if err := os.WriteFile(path, config[:len(config)/2], 0o600); err != nil {
		return err
	}
	interrupt()
	return os.WriteFile(path, config, 0o600)
}
