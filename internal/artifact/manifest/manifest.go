// Package manifest reads packages: a folder with manifest.yaml and the content that it names. A small model is a package
// like any other: a scoring function with its weights in its content. docs/operate/worker.md has the format.
package manifest

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"lupinpond/internal/base/config"

	"github.com/goccy/go-yaml"
	"github.com/google/renameio/v2"
	"github.com/zeebo/blake3"
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

// Manifest says what a package is.
type Manifest struct {
	Format      int             `yaml:"format"`
	Name        string          `yaml:"name"`    // of the function
	Version     string          `yaml:"version"` // of the release
	Type        string          `yaml:"type"`    // event type
	Kind        string          `yaml:"kind"`
	Concurrency int             `yaml:"lanes"`  // events that one copy runs at a time
	MemoryLimit config.ByteSize `yaml:"memory"` // limit of a copy
	Timeout     config.Duration `yaml:"time"`   // limit of one event
	EntryPoint  string          `yaml:"entry"`  // the file that is run, in the package's folder
	Digest      string          `yaml:"digest"` // BLAKE3 of the entry, hex
}

// Package is a manifest and where its content stands.
type Package struct {
	Manifest
	Folder string
}

// ErrDigestMismatch says that content is not what its manifest names.
var ErrDigestMismatch = errors.New("the content is not what the manifest names")

// Parse reads a manifest; a mistake has file, line and column.
func Parse(name string, b []byte) (Manifest, error) {
	var m Manifest
	if err := config.DecodeStrict(name, b, &m); err != nil {
		return m, err
	}
	if field, reason := m.validate(); reason != "" {
		return m, config.ErrorAt(name, b, "$."+field, reason)
	}
	return m, nil
}

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
	case m.Concurrency < 1 || m.Concurrency > 1024:
		return "lanes", "from 1 to 1024"
	case m.MemoryLimit < 1<<20 || m.MemoryLimit > 1<<40:
		return "memory", "from 1MiB to 1024GiB"
	case m.Timeout <= 0:
		return "time", "more than 0s"
	case m.EntryPoint == "" || !filepath.IsLocal(m.EntryPoint):
		return "entry", "a file in the package's folder"
	case err != nil || len(digest) != 32:
		return "digest", "64 hex digits of a BLAKE3 digest"
	}
	return "", ""
}

// Open reads the manifest of a folder.
func Open(folder string) (Package, error) {
	path := filepath.Join(folder, FileName)
	b, err := os.ReadFile(path)
	if err != nil {
		return Package{}, fmt.Errorf("package: %w", err)
	}
	m, err := Parse(path, b)
	return Package{m, folder}, err
}

// Verify reads the content and compares it with the manifest's digest.
func (p Package) Verify() error {
	got, err := fileDigest(filepath.Join(p.Folder, p.EntryPoint))
	if err != nil {
		return fmt.Errorf("package %s: %w", p.Name, err)
	}
	if got != p.Digest {
		return fmt.Errorf("package %s version %s: %w: %s has digest %.12s, not %.12s", p.Name, p.Version, ErrDigestMismatch, p.EntryPoint, got, p.Digest)
	}
	return nil
}

func fileDigest(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := blake3.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// Write makes a package of content that stands in folder already: it fills the digest in and writes the manifest whole.
func Write(folder string, m Manifest) (Package, error) {
	var err error
	m.Format = Format
	if m.Digest, err = fileDigest(filepath.Join(folder, m.EntryPoint)); err != nil {
		return Package{}, fmt.Errorf("package %s: %w", m.Name, err)
	}
	if field, reason := m.validate(); reason != "" {
		return Package{}, fmt.Errorf("package %s: %s: %s", m.Name, field, reason)
	}
	b, err := yaml.Marshal(m)
	if err != nil {
		return Package{}, fmt.Errorf("package %s: %w", m.Name, err)
	}
	if err := renameio.WriteFile(filepath.Join(folder, FileName), b, 0o644); err != nil {
		return Package{}, fmt.Errorf("package %s: %w", m.Name, err)
	}
	return Package{m, folder}, nil
}
