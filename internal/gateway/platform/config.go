// Package platform is a front end on the operators' platform: its configuration, readiness and signals, and the ways in
// and out that its protocol asks for, around the owner of the core that all front ends have. Clients speak Thrift,
// workers RESP, and a journal service tells the list. It decides nothing about events, launches or loads.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"lupinpond/internal/gateway/core"
	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/gateway/settings"
)

// Config is what the platform tells a front end.
type Config struct {
	Name, Listen, DiscoveryAddr string
	Cores                       float64
	Memory                      int64 // bytes
	Sockets                     int
	KnownEndpoints              discovery.Batch
	Settings                    settings.Values
	Core                        core.Settings
}

const maxConfigBytes = 16 << 20

// Read reads a configuration file.
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
	c, err := Parse(b)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration.
func Parse(b []byte) (Config, error) {
	var file struct {
		Name, Listen, Seed, Journal string
		Limits                      struct {
			Cores   float64 `json:"cores"`
			Memory  float64 `json:"memory_mb"`
			Sockets int     `json:"sockets"`
		}
		Known    json.RawMessage
		Settings map[string]any
	}
	decode := json.NewDecoder(bytes.NewReader(b))
	decode.UseNumber()
	if err := decode.Decode(&file); err != nil {
		return Config{}, err
	}
	c := Config{Name: file.Name, Listen: file.Listen, DiscoveryAddr: file.Journal, Cores: file.Limits.Cores,
		Memory: int64(file.Limits.Memory * (1 << 20)), Sockets: file.Limits.Sockets}
	for key, addr := range map[string]string{"listen": c.Listen, "journal": c.DiscoveryAddr} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return Config{}, fmt.Errorf("%s: %w", key, err)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if !(c.Cores > 0) || c.Memory <= 0 || c.Sockets < minSockets {
		return Config{}, fmt.Errorf("limits: cores and memory_mb above 0 and at least %d sockets are needed", minSockets)
	}
	if len(file.Known) > 0 {
		if c.KnownEndpoints, err = discovery.Parse(file.Known); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	c.Settings = settings.Flatten(file.Settings)
	c.Core = c.Settings.Core(seed)
	c.Core.EnforceDeadlines = true
	if len(c.Core.Types) == 0 {
		return Config{}, fmt.Errorf("settings: request_classes: there is none")
	}
	return c, nil
}

const minSockets = 3 * reservedSockets

// maxAges tells the max age of each event type, and the longest.
func (c Config) maxAges() (ages map[string]time.Duration, longest time.Duration) {
	ages = map[string]time.Duration{}
	for i, t := range c.Core.Types {
		ages[t.Name] = c.Settings.Duration("request_classes."+strconv.Itoa(i)+".give_up", time.Minute)
		longest = max(longest, ages[t.Name])
	}
	return ages, longest
}
