package manifest

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/google/renameio/v2"
	"github.com/zeebo/blake3"
)

// ErrDigestMismatch is returned for content that is not what its manifest names.
var ErrDigestMismatch = errors.New("the content is not what the manifest names")

// Package is a manifest and the folder with its content.
type Package struct {
	Manifest
	Folder string
}

// Open reads the manifest of a package's folder. The content is not read: see Verify.
func Open(folder string) (Package, error) {
	path := filepath.Join(folder, FileName)
	content, err := os.ReadFile(path)
	if err != nil {
		return Package{}, fmt.Errorf("package: %w", err)
	}
	m, err := Parse(path, content)
	return Package{m, folder}, err
}

// Verify reads the entry point and compares it with the manifest's digest.
func (p Package) Verify() error {
	got, err := fileDigest(filepath.Join(p.Folder, p.EntryPoint))
	if err != nil {
		return fmt.Errorf("package %s: %w", p.Name, err)
	}
	if got != p.Digest {
		return fmt.Errorf("package %s version %s: %w: %s has digest %.12s, not %.12s",
			p.Name, p.Version, ErrDigestMismatch, p.EntryPoint, got, p.Digest)
	}
	return nil
}

// Write makes a package of the content in a folder: it sets the manifest's format and digest and writes the manifest
// atomically.
func Write(folder string, m Manifest) (Package, error) {
	if err := write(folder, &m); err != nil {
		return Package{}, fmt.Errorf("package %s: %w", m.Name, err)
	}
	return Package{m, folder}, nil
}

func write(folder string, m *Manifest) (err error) {
	m.Format = Format
	if m.Digest, err = fileDigest(filepath.Join(folder, m.EntryPoint)); err != nil {
		return err
	}
	if field, reason := m.validate(); reason != "" {
		return fmt.Errorf("%s: %s", field, reason)
	}
	content, err := yaml.Marshal(m)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(folder, FileName), content, 0o644)
}

func fileDigest(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	hash := blake3.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}
