// Package manifest reads and writes packages. A package is a folder with a manifest.yaml and the files of a function.
// A small model is packaged in the same way, as a scoring function with the model's weights among its files.
// docs/operate/worker.md describes the format.
package manifest

import (
	"encoding/hex"
	"fmt"
	"path/filepath"
	"strings"

	"lupinpond/internal/base/config"
)

// Format is the format version of the manifests that this program reads and writes.
const Format = 1

// FileName is the name of the manifest file in a package's folder.
const FileName = "manifest.yaml"

// The kinds of packages.
const (
	Wasm    = "wasm"    // a wasip1 module; its only access to the host is input, output, log and clock
	Process = "process" // an executable that implements the runtime interface
)

// Limits of the values in a manifest. Memory limits are in bytes.
const (
	maxConcurrency = 1024
	minMemoryLimit = 1 << 20
	maxMemoryLimit = 1 << 40
	digestSize     = 32 // bytes
)

// Manifest describes a package and how to run it.
type Manifest struct {
	Format      int             `yaml:"format"`
	Name        string          `yaml:"name"`    // function name
	Version     string          `yaml:"version"` // release version
	Type        string          `yaml:"type"`    // type of the requests that the function serves
	Kind        string          `yaml:"kind"`    // Wasm or Process
	Concurrency int             `yaml:"lanes"`   // maximum number of concurrent requests in one replica
	MemoryLimit config.ByteSize `yaml:"memory"`  // memory limit of one replica
	Timeout     config.Duration `yaml:"time"`    // maximum run time of one request
	EntryPoint  string          `yaml:"entry"`   // file to run, relative to the package's folder
	Digest      string          `yaml:"digest"`  // BLAKE3 digest of the entry point in hex
}

// Parse parses the content of a manifest. name is the file name for error messages. A validation error is a
// *config.Error with the line and column. Its text is part of the store's HTTP API because a release contains its
// manifest.
func Parse(name string, content []byte) (Manifest, error) {
	var m Manifest
	if err := config.DecodeStrict(name, content, &m); err != nil {
		return m, err
	}
	if field, reason := m.validate(); reason != "" {
		return m, config.ErrorAt(name, content, "$."+field, reason)
	}
	return m, nil
}

// validate returns the name in the file of the first field with an invalid value, and which values are valid. Both are
// empty if all fields are valid.
func (m Manifest) validate() (field, reason string) {
	digest, err := hex.DecodeString(m.Digest)
	switch {
	case m.Format != Format:
		return "format", fmt.Sprintf("version %d, this program reads %d", m.Format, Format)
	case m.Name == "" || strings.ContainsAny(m.Name, "/\\?# \n") || strings.HasPrefix(m.Name, "."):
		return "name", "a name without /, \\, ?, # or a space that does not begin with a full stop"
	case m.Version == "" || strings.ContainsAny(m.Version, "/\\ \n") || strings.HasPrefix(m.Version, "."):
		return "version", "a version without /, \\ or a space that does not begin with a full stop"
	case m.Type == "":
		return "type", "an event type"
	case m.Kind != Wasm && m.Kind != Process:
		return "kind", fmt.Sprintf("%q is not wasm or process", m.Kind)
	case m.Concurrency < 1 || m.Concurrency > maxConcurrency:
		return "lanes", "from 1 to 1024"
	case m.MemoryLimit < minMemoryLimit || m.MemoryLimit > maxMemoryLimit:
		return "memory", "from 1MiB to 1024GiB"
	case m.Timeout <= 0:
		return "time", "more than 0s"
	case m.EntryPoint == "" || !filepath.IsLocal(m.EntryPoint):
		return "entry", "a file in the package's folder"
	case err != nil || len(digest) != digestSize:
		return "digest", "64 hex digits of a BLAKE3 digest"
	}
	return "", ""
}
