package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/settings"
)

// Config is the configuration of a gateway, as the platform writes it.
type Config struct {
	Name           string
	Listen         string // address at which clients connect
	DiscoveryAddr  string // address of the discovery service
	Cores          float64
	Memory         int64 // memory limit in bytes
	Sockets        int   // maximum number of open file descriptors
	KnownEndpoints discovery.Batch
	Settings       settings.Values
	Core           core.Settings
}

// maxConfigBytes is the maximum size of a configuration file.
const maxConfigBytes = 16 << 20

// defaultMaxAge is the maximum age of a request whose request class sets none.
const defaultMaxAge = time.Minute

// Read reads and parses a configuration file.
func Read(path string) (Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return Config{}, fmt.Errorf("configuration %s: longer than %d bytes", path, maxConfigBytes)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	config, err := Parse(b)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// configFile is the JSON structure of a configuration file. A field without a tag is decoded from the key of its name.
type configFile struct {
	Name, Listen, Seed, Journal string
	Limits                      struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	}
	Known    json.RawMessage
	Settings map[string]any
}

// Parse parses and validates a configuration.
func Parse(b []byte) (Config, error) {
	var file configFile
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.UseNumber()
	if err := decoder.Decode(&file); err != nil {
		return Config{}, err
	}
	config := Config{
		Name:          file.Name,
		Listen:        file.Listen,
		DiscoveryAddr: file.Journal,
		Cores:         file.Limits.Cores,
		Memory:        int64(file.Limits.Memory * (1 << 20)),
		Sockets:       file.Limits.Sockets,
	}
	if err := checkAddress("listen", config.Listen); err != nil {
		return Config{}, err
	}
	if err := checkAddress("journal", config.DiscoveryAddr); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if !(config.Cores > 0) || config.Memory <= 0 || config.Sockets < minSockets {
		return Config{}, fmt.Errorf("limits: cores and memory_mb above 0 and at least %d sockets are needed", minSockets)
	}
	if len(file.Known) > 0 {
		if config.KnownEndpoints, err = discovery.Parse(file.Known); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	config.Settings = settings.Flatten(file.Settings)
	config.Core = config.Settings.Core(seed)
	config.Core.EnforceDeadlines = true
	config.Core.DrainGrace = config.drainGrace()
	if len(config.Core.Types) == 0 {
		return Config{}, errors.New("settings: request_classes: there is none")
	}
	return config, nil
}

func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// maxAges returns the maximum age of each request type, and the longest of them.
func (c Config) maxAges() (ages map[string]time.Duration, longest time.Duration) {
	ages = map[string]time.Duration{}
	for i, t := range c.Core.Types {
		ages[t.Name] = c.Settings.Duration("request_classes."+strconv.Itoa(i)+".give_up", defaultMaxAge)
		longest = max(longest, ages[t.Name])
	}
	return ages, longest
}

// core returns the settings of the core, within the memory limit.
func (c Config) core() core.Settings {
	settings := c.Core
	settings.MaxFunctions = max(1, int(c.Memory/functionMemoryDivisor/bytesPerFunction))
	return settings
}

// idRetention returns how long the ID of a request must be known after its last use: until no client may send the
// request again and no worker would recognise it.
func (c Config) idRetention(longestMaxAge time.Duration) time.Duration {
	retention := longestMaxAge
	for _, t := range c.Core.Types {
		retention = max(retention, t.DedupWindow)
	}
	return retention
}

// dialTimeout returns the timeout for connecting to a worker.
func (c Config) dialTimeout() time.Duration {
	return max(c.Settings.Duration("policy_limits.dial_timeout", defaultDialTimeout), time.Millisecond)
}

// connIdleTimeout returns how long a connection to a client or a worker stays open without a request.
func (c Config) connIdleTimeout() time.Duration {
	return c.Settings.Duration("policy_limits.conn_idle", defaultConnIdle) / connIdleDivisor
}

// drainGrace returns how long requests may still be sent to a draining worker.
func (c Config) drainGrace() time.Duration {
	return c.Settings.Duration("rules.stop_sending_within", defaultDrainGrace)
}

// maxCallsPerConn returns the maximum number of concurrent calls on one connection to a worker.
func (c Config) maxCallsPerConn() int {
	return max(1, int(c.Settings.Number("policy_limits.max_streams", defaultMaxStreams)))
}

// peerSockets returns the number of file descriptors available for connections to clients and workers.
func (c Config) peerSockets() int { return c.Sockets - reservedSockets }
