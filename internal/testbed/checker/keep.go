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

// manifest is what is told beside the captures.
type manifest struct {
	ClockBase  time.Time `json:"Base"`
	End        time.Duration
	Deliveries []Delivery `json:"News"`
}

// Save writes what is judged into a folder: settings, list news and a capture for each life of a front end.
func Save(dir string, f Input) error {
	settings, err := yaml.Marshal(f.Config)
	if err != nil {
		return fmt.Errorf("keep settings: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, configFile), settings, 0o644); err != nil {
		return fmt.Errorf("keep settings: %w", err)
	}
	news, err := json.Marshal(manifest{f.ClockBase, f.End, f.Deliveries})
	if err != nil {
		return fmt.Errorf("keep news: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, deliveriesFile), news, 0o644); err != nil {
		return fmt.Errorf("keep news: %w", err)
	}
	for _, front := range f.Captures {
		if err := saveCapture(filepath.Join(dir, front.Name+captureExt), front, f.ClockBase); err != nil {
			return err
		}
	}
	return nil
}

func saveCapture(path string, front GatewayCapture, base time.Time) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("keep capture: %w", err)
	}
	defer func() {
		if cerr := file.Close(); err == nil && cerr != nil {
			err = fmt.Errorf("keep capture: %w", cerr)
		}
	}()
	out, err := capture.NewWriter(file, capture.Header{Incarnation: front.Name, GatewayIndex: front.Index, Base: base})
	if err != nil {
		return err
	}
	for _, r := range front.Records {
		out.Add(r)
	}
	return out.Close()
}

// Load reads a folder that Keep wrote, or that front ends with captures of their own left.
func Load(dir string) (Input, error) {
	var f Input
	var err error
	if f.Config, err = fleetconfig.Read(filepath.Join(dir, configFile)); err != nil {
		return f, err
	}
	text, err := os.ReadFile(filepath.Join(dir, deliveriesFile))
	if err != nil {
		return f, fmt.Errorf("read list news: %w", err)
	}
	var k manifest
	if err := json.Unmarshal(text, &k); err != nil {
		return f, fmt.Errorf("%s: %w", deliveriesFile, err)
	}
	f.ClockBase, f.End, f.Deliveries = k.ClockBase, k.End, k.Deliveries
	names, err := os.ReadDir(dir)
	if err != nil {
		return f, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name.Name(), captureExt) {
			continue
		}
		front, err := loadCapture(filepath.Join(dir, name.Name()), f.ClockBase)
		if err != nil {
			return f, fmt.Errorf("%s: %w", name.Name(), err)
		}
		f.Captures = append(f.Captures, front)
	}
	if len(f.Captures) == 0 {
		return f, errors.New("no capture (*" + captureExt + ") in " + dir)
	}
	slices.SortFunc(f.Captures, func(a, b GatewayCapture) int { return strings.Compare(a.Name, b.Name) })
	return f, nil
}

func loadCapture(path string, base time.Time) (GatewayCapture, error) {
	file, err := os.Open(path)
	if err != nil {
		return GatewayCapture{}, err
	}
	defer file.Close()
	h, records, torn, err := capture.ReadAll(file)
	if err != nil {
		return GatewayCapture{}, err
	}
	for i := range records { // a process of its own counts from another moment
		records[i].At += h.Base.Sub(base)
	}
	return GatewayCapture{Name: h.Incarnation, Index: h.GatewayIndex, Records: records, Torn: torn}, nil
}
