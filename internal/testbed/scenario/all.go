package scenario

import (
	"fmt"
	"io/fs"
	"path"
	"strings"

	"lupinpond/internal/base/config"
	"lupinpond/internal/gateway/fleetconfig"
)

// LoadAll reads every day in files, in the order of their names.
func LoadAll(files fs.FS, f fleetconfig.File) ([]Scenario, error) {
	names, err := fs.Glob(files, "*.yaml")
	if err != nil {
		return nil, err
	}
	var days []Scenario
	for _, name := range names {
		b, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, fmt.Errorf("read day: %w", err)
		}
		d, err := Parse(name, b, f)
		if err != nil {
			return nil, err
		}
		if want := strings.TrimSuffix(path.Base(name), ".yaml"); d.Name != want {
			return nil, config.ErrorAt(name, b, "$.name", "the day's name and its file's differ")
		}
		days = append(days, d)
	}
	return days, nil
}
