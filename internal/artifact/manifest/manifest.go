// Package manifest reads and writes packages: a folder with manifest.yaml and the content that it names. A small model
// is a package like any other: a scoring function with its weights in its content. docs/operate/worker.md has the
// format.
package manifest

import (
	"encoding/hex"
	"fmt"
	"path/filepath"
	"strings"

	"lupinpond/internal/base/config"
)

// Format is the version of the manifest that this program reads.
const Format = 1

// FileName is the manifest's name in a package's folder.
const FileName = "manifest.yaml"

// The kinds of packages.
const (
	Wasm    = "wasm"    // a module for wasip1 that is run with no host access beyond input, output, log and clock
	Process = "process" // a program that speaks the runtime interface
)

// Bounds of a manifest's values.
const (
	maxConcurrency = 1024
	minMemoryLimit = 1 << 20
	maxMemoryLimit = 1 << 40
	digestSize     = 32 // bytes
)

// Manifest says what a package is.
type Manifest struct {
	Format      int             `yaml:"format"`
	Name        string          `yaml:"name"`    // of the function
	Version     string          `yaml:"version"` // of the release
	Type        string          `yaml:"type"`    // of the requests that it serves
	Kind        string          `yaml:"kind"`    // Wasm or Process
	Concurrency int             `yaml:"lanes"`   // requests that one replica runs at a time
	MemoryLimit config.ByteSize `yaml:"memory"`  // of a replica
	Timeout     config.Duration `yaml:"time"`    // of one request
	EntryPoint  string          `yaml:"entry"`   // the file that is run, in the package's folder
	Digest      string          `yaml:"digest"`  // BLAKE3 of the entry point, hex
}

// Parse parses the content of a manifest; name is that of its file. A validation error is a *config.Error with the line
// and column. Its text is part of the store's HTTP API, as a release has its manifest in it.
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

// validate returns the first field with a value that is not allowed, by its name in the file, and what is; or "".
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
