package fleetconfig

import (
	"bytes"
	_ "embed" // embeds defaults.yaml
	"fmt"
	"os"

	"lupinpond/internal/base/config"
)

//go:embed defaults.yaml
var defaultText []byte

// defaultName is the name of the default settings in error messages.
const defaultName = "built-in defaults"

// Default returns the built-in default settings.
func Default() (File, error) {
	var file File
	if err := file.decode(defaultName, defaultText); err != nil {
		return File{}, err
	}
	return file, nil
}

// DefaultText returns the built-in default settings as YAML text.
func DefaultText() []byte { return bytes.Clone(defaultText) }

// Read reads and parses a settings file.
func Read(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, b)
}

// Parse parses and validates settings. name identifies them in error messages. Settings that are missing in the section
// front have their default values; the sections fleet and functions have no defaults.
func Parse(name string, b []byte) (File, error) {
	defaults, err := Default()
	if err != nil {
		return File{}, err
	}
	file := File{Gateway: defaults.Gateway}
	if err := file.decode(name, b); err != nil {
		return File{}, err
	}
	return file, nil
}

// decode decodes settings into f and validates the result.
func (f *File) decode(name string, b []byte) error {
	if err := config.DecodeStrict(name, b, f); err != nil {
		return err
	}
	if v := f.validate(); v != nil {
		return config.ErrorAt(name, b, v.path, v.reason)
	}
	return nil
}
