package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"lupinpond/internal/base/capture"
	"lupinpond/internal/gateway/fleetconfig"
)

const (
	configFile     = "settings.yaml"
	deliveriesFile = "news.json"
	captureExt     = ".cap"
)

// ErrNoCaptures is returned by Load for a folder without a capture file.
var ErrNoCaptures = errors.New("no capture (*" + captureExt + ")")

// manifest is the content of deliveriesFile, which is saved beside the captures and the settings.
type manifest struct {
	ClockBase  time.Time `json:"Base"`
	End        time.Duration
	Deliveries []Delivery `json:"News"`
}

// Save writes an input into a folder: the settings, the deliveries and one capture file per incarnation of a gateway.
func Save(dir string, input Input) error {
	settings, err := yaml.Marshal(input.Config)
	if err != nil {
		return fmt.Errorf("save settings: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, configFile), settings, 0o644); err != nil {
		return fmt.Errorf("save settings: %w", err)
	}
	deliveries, err := json.Marshal(manifest{input.ClockBase, input.End, input.Deliveries})
	if err != nil {
		return fmt.Errorf("save deliveries: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, deliveriesFile), deliveries, 0o644); err != nil {
		return fmt.Errorf("save deliveries: %w", err)
	}
	for _, gateway := range input.Captures {
		if err := saveCapture(filepath.Join(dir, gateway.Name+captureExt), gateway, input.ClockBase); err != nil {
			return fmt.Errorf("save capture of %s: %w", gateway.Name, err)
		}
	}
	return nil
}

func saveCapture(path string, gateway GatewayCapture, base time.Time) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	out, err := capture.NewWriter(file, capture.Header{Incarnation: gateway.Name, GatewayIndex: gateway.Index, Base: base})
	if err != nil {
		return err
	}
	for _, record := range gateway.Records {
		out.Add(record)
	}
	return out.Close()
}

// Load reads a folder written by Save, or a folder with captures that gateway processes wrote themselves.
func Load(dir string) (Input, error) {
	var input Input
	var err error
	if input.Config, err = fleetconfig.Read(filepath.Join(dir, configFile)); err != nil {
		return input, err
	}
	text, err := os.ReadFile(filepath.Join(dir, deliveriesFile))
	if err != nil {
		return input, fmt.Errorf("load deliveries: %w", err)
	}
	var saved manifest
	if err := json.Unmarshal(text, &saved); err != nil {
		return input, fmt.Errorf("load deliveries: %s: %w", deliveriesFile, err)
	}
	input.ClockBase, input.End, input.Deliveries = saved.ClockBase, saved.End, saved.Deliveries
	files, err := os.ReadDir(dir)
	if err != nil {
		return input, err
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), captureExt) {
			continue
		}
		gateway, err := loadCapture(filepath.Join(dir, file.Name()), input.ClockBase)
		if err != nil {
			return input, fmt.Errorf("load capture %s: %w", file.Name(), err)
		}
		input.Captures = append(input.Captures, gateway)
	}
	if len(input.Captures) == 0 {
		return input, fmt.Errorf("load captures: %s: %w", dir, ErrNoCaptures)
	}
	slices.SortFunc(input.Captures, func(a, b GatewayCapture) int { return strings.Compare(a.Name, b.Name) })
	return input, nil
}

func loadCapture(path string, base time.Time) (GatewayCapture, error) {
	file, err := os.Open(path)
	if err != nil {
		return GatewayCapture{}, err
	}
	defer file.Close()
	header, records, torn, err := capture.ReadAll(file)
	if err != nil {
		return GatewayCapture{}, err
	}
	for i := range records { // convert to the input's clock: each gateway process has its own zero point
		records[i].At += header.Base.Sub(base)
	}
	return GatewayCapture{Name: header.Incarnation, Index: header.GatewayIndex, Records: records, Torn: torn}, nil
}
