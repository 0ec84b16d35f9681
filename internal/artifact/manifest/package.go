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

// ErrDigestMismatch is returned if the entry point's digest differs from the one in the manifest.
var ErrDigestMismatch = errors.New("the content does not match the manifest's digest")

// Package is a package's manifest and the folder that holds the package.
type Package struct {
	Manifest
	Folder string
}

// Open reads the manifest in a package's folder. It does not verify the entry point: see Verify.
func Open(folder string) (Package, error) {
	path := filepath.Join(folder, FileName)
	content, err := os.ReadFile(path)
	if err != nil {
		return Package{}, fmt.Errorf("package: %w", err)
	}
	m, err := Parse(path, content)
	return Package{m, folder}, err
}

// Verify computes the digest of the entry point and compares it with the manifest's. If they differ, the error is
// ErrDigestMismatch.
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

// Write turns a folder into a package: it sets the format and digest of the manifest and writes the manifest into the
// folder atomically.
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
