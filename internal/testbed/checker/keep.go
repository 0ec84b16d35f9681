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
	settingsFile = "settings.yaml"
	newsFile     = "news.json"
	captureEnd   = ".cap"
)

// kept is what is told beside the captures.
type kept struct {
	Base time.Time
	End  time.Duration
	News []Told
}

// Keep writes what is judged into a folder: settings, list news and a capture for each life of a front end.
func Keep(dir string, f Facts) error {
	settings, err := yaml.Marshal(f.File)
	if err != nil {
		return fmt.Errorf("keep settings: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, settingsFile), settings, 0o644); err != nil {
		return fmt.Errorf("keep settings: %w", err)
	}
	news, err := json.Marshal(kept{f.Base, f.End, f.News})
	if err != nil {
		return fmt.Errorf("keep news: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, newsFile), news, 0o644); err != nil {
		return fmt.Errorf("keep news: %w", err)
	}
	for _, front := range f.Fronts {
		if err := keep(filepath.Join(dir, front.Name+captureEnd), front, f.Base); err != nil {
			return err
		}
	}
	return nil
}

func keep(path string, front Front, base time.Time) (err error) {
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
func Load(dir string) (Facts, error) {
	var f Facts
	var err error
	if f.File, err = fleetconfig.Read(filepath.Join(dir, settingsFile)); err != nil {
		return f, err
	}
	text, err := os.ReadFile(filepath.Join(dir, newsFile))
	if err != nil {
		return f, fmt.Errorf("read list news: %w", err)
	}
	var k kept
	if err := json.Unmarshal(text, &k); err != nil {
		return f, fmt.Errorf("%s: %w", newsFile, err)
	}
	f.Base, f.End, f.News = k.Base, k.End, k.News
	names, err := os.ReadDir(dir)
	if err != nil {
		return f, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name.Name(), captureEnd) {
			continue
		}
		front, err := load(filepath.Join(dir, name.Name()), f.Base)
		if err != nil {
			return f, fmt.Errorf("%s: %w", name.Name(), err)
		}
		f.Fronts = append(f.Fronts, front)
	}
	if len(f.Fronts) == 0 {
		return f, errors.New("no capture (*" + captureEnd + ") in " + dir)
	}
	slices.SortFunc(f.Fronts, func(a, b Front) int { return strings.Compare(a.Name, b.Name) })
	return f, nil
}

func load(path string, base time.Time) (Front, error) {
	file, err := os.Open(path)
	if err != nil {
		return Front{}, err
	}
	defer file.Close()
	h, records, torn, err := capture.ReadAll(file)
	if err != nil {
		return Front{}, err
	}
	for i := range records { // a process of its own counts from another moment
		records[i].At += h.Base.Sub(base)
	}
	return Front{Name: h.Incarnation, Index: h.GatewayIndex, Records: records, Torn: torn}, nil
}
