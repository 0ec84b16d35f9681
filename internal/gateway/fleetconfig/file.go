package fleetconfig

import (
	"bytes"
	_ "embed" // the defaults
	"fmt"
	"os"

	"lupinpond/internal/base/config"
)

//go:embed defaults.yaml
var defaultText []byte

// defaultName is the name of the defaults in messages.
const defaultName = "built-in defaults"

// Default is the embedded file.
func Default() (File, error) {
	var file File
	if err := file.decode(defaultName, defaultText); err != nil {
		return File{}, err
	}
	return file, nil
}

// DefaultText is the text of the embedded file.
func DefaultText() []byte { return bytes.Clone(defaultText) }

// Read reads a file.
func Read(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, b)
}

// Parse parses and checks settings; name is theirs in messages. What they leave out of front is as in the defaults;
// fleet and functions must be complete.
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

// decode decodes settings into the file, and checks them.
func (f *File) decode(name string, b []byte) error {
	if err := config.DecodeStrict(name, b, f); err != nil {
		return err
	}
	if v := f.validate(); v != nil {
		return config.ErrorAt(name, b, v.path, v.reason)
	}
	return nil
}
