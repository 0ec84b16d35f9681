package layer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"lupinpond/internal/artifact/manifest"
)

// Build writes the files of a release into folder, which must not exist yet. It calls content for the uncompressed
// bytes of each chunk. If it fails, it removes the folder.
func Build(r Release, folder string, content func(ChunkRef) ([]byte, error)) (manifest.Package, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return manifest.Package{}, err
	}
	p, err := build(r, folder, content)
	if err != nil {
		return p, errors.Join(fmt.Errorf("build %s: %w", folder, err), os.RemoveAll(folder))
	}
	return p, nil
}

func build(r Release, folder string, content func(ChunkRef) ([]byte, error)) (manifest.Package, error) {
	for _, l := range r.Layers {
		for _, file := range l.Files {
			if err := buildFile(file, filepath.Join(folder, filepath.FromSlash(file.Path)), content); err != nil {
				return manifest.Package{}, err
			}
		}
	}
	if err := os.WriteFile(filepath.Join(folder, manifest.FileName), r.Manifest, 0o644); err != nil {
		return manifest.Package{}, err
	}
	return manifest.Open(folder)
}

func buildFile(file File, name string, content func(ChunkRef) ([]byte, error)) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return err
	}
	mode := fs.FileMode(0o644)
	if file.Executable {
		mode = 0o755
	}
	out, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	for _, chunk := range file.Chunks {
		if err := writeChunk(out, chunk, content); err != nil {
			return errors.Join(err, out.Close())
		}
	}
	return out.Close()
}

func writeChunk(out *os.File, chunk ChunkRef, content func(ChunkRef) ([]byte, error)) error {
	b, err := content(chunk)
	if err != nil {
		return err
	}
	if len(b) != chunk.Size {
		return fmt.Errorf("chunk %.12s has %d bytes, want %d as in the release: %w",
			chunk.Digest, len(b), chunk.Size, ErrCorrupt)
	}
	_, err = out.Write(b)
	return err
}
