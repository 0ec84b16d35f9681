package scale

import (
	"encoding/json"
	"strconv"
)

// A run has one request class and one tenant.
const (
	className  = "call"
	tenantName = "tenant"
	replicaMB  = 256 // memory of a replica in MB
)

// object is a JSON object in the gateway's configuration file, see internal/gateway/platform.
type object map[string]any

// platformConfig returns the configuration file of a gateway of the run.
func (p Plan) platformConfig(name, listen, discoveryAddr string, index int, known json.RawMessage) ([]byte, error) {
	return json.Marshal(object{
		"name":     name,
		"listen":   listen,
		"seed":     strconv.FormatUint(p.Seed+uint64(index), 16),
		"journal":  discoveryAddr,
		"limits":   object{"cores": 1.0, "memory_mb": p.Gateways.Memory >> 20, "sockets": p.Gateways.Sockets},
		"known":    known,
		"settings": p.platformSettings(index),
	})
}

func (p Plan) platformSettings(index int) object {
	gateways := p.Gateways.Hollow + p.Gateways.Real
	wait := p.Gateways.Wait.Std().Seconds()
	return object{
		"index":         index,
		"instances":     gateways,
		"quantum":       0.002,
		"weight_source": "nominal",
		"kinds":         []string{"std"},
		"family_info": object{
			"keep":        p.Workers.ReplicaIdleTimeout.Std().Seconds(),
			"orders":      true,
			"miss_mode":   "load",
			"order_limit": 4,
			"machine_mb":  []int{64 << 10},
		},
		"policy_limits": object{
			"cancel":          true,
			"conn_idle":       15,
			"dial_timeout":    0.25,
			"max_streams":     32,
			"send_cap":        6,
			"probing":         true,
			"retry_after":     true,
			"max_retry_after": 2,
		},
		"report": object{"source": "inline", "fields": []string{"inflight", "pending"}},
		"rules": object{
			"stop_sending_within": 0.5,
			"cold_from":           0.3,
			"warm_after":          12,
			"fall_multiple":       2.5,
			"fall":                1,
		},
		"orgs":            []object{{"name": tenantName, "quota_per_s": 2 * p.Gateways.Rate * float64(gateways)}},
		"request_classes": []object{{"name": className, "effect": "pure", "aim": wait / 3, "give_up": wait}},
	}
}
