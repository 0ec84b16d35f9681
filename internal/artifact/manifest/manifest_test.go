package manifest_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
)

const manifestText = `format: 1
name: preview
version: "1"
type: pay-preview
kind: wasm
lanes: 2
memory: 64MiB
time: 2s
entry: preview.wasm
digest: "0000000000000000000000000000000000000000000000000000000000000000"
`

// A validation error must report the line, column and field of the invalid value.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"format: 1", "format: 2", "m:1:9: format: version 2, this program reads 1"},
		{"name: preview", "name: ../x", "m:2:7: name:"},
		{"kind: wasm", "kind: shell", `m:5:7: kind: "shell"`},
		{"memory: 64MiB", "memory: 64", "m:7:9:"},
		{"entry: preview.wasm", "entry: ../../etc/passwd", "m:9:8: entry:"},
		{"time: 2s", "time: 0s", "m:8:7: time:"},
		{"lanes: 2", "lane: 2", "m:6:1: unknown field"},
		{"0000\"", "00zz\"", "m:10:9: digest:"},
	} {
		_, err := manifest.Parse("m", []byte(strings.Replace(manifestText, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %s", c.new, err, c.want)
		}
	}
}

// Verify must return ErrDigestMismatch if the entry point was changed after the manifest was written.
func TestVerify(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "entry"), []byte("content"), 0o755); err != nil {
		t.Fatal(err)
	}
	m, err := manifest.Parse("m", []byte(manifestText))
	if err != nil {
		t.Fatal(err)
	}
	m.EntryPoint = "entry"
	if _, err := manifest.Write(folder, m); err != nil {
		t.Fatal(err)
	}
	p, err := manifest.Open(folder)
	if err != nil || p.Verify() != nil {
		t.Fatal(err, p.Verify())
	}
	if err := os.WriteFile(filepath.Join(folder, "entry"), []byte("Content"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := p.Verify(); !errors.Is(err, manifest.ErrDigestMismatch) {
		t.Error(err)
	}
}

func FuzzManifest(f *testing.F) {
	f.Add([]byte(manifestText))
	f.Add([]byte("format: 1\nname: {}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		m, err := manifest.Parse("m", content)
		var invalid *config.Error
		if err != nil && (!errors.As(err, &invalid) || invalid.Line < 1) {
			t.Errorf("the error has no line: %v", err)
		}
		if err == nil && (!filepath.IsLocal(m.EntryPoint) || strings.Contains(m.Name, "/") || m.Concurrency < 1 ||
			m.MemoryLimit < 1<<20) {
			t.Errorf("an invalid manifest was accepted: %+v", m)
		}
	})
}
