// Package layer is the format in which packages are stored and fetched: a release names layers, a layer files, a file
// chunks. Files are split into chunks by their content, so that a new release shares most chunks with the one before. A
// chunk is named by the BLAKE3 digest of its content and compressed with zstd. docs/operate/store.md has the format for
// operators.
package layer

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/artifact/manifest"
)

// Format is the version of releases and chunks that this program writes and reads.
const Format = 1

const (
	// MaxReleaseSize bounds an encoded release, in bytes.
	MaxReleaseSize = 16 << 20

	// maxFiles bounds the files of a release.
	maxFiles = 100_000
)

// File is one file of a layer.
type File struct {
	Path       string     `cbor:"1,keyasint"` // in the package's folder, with /
	Executable bool       `cbor:"2,keyasint,omitempty"`
	Chunks     []ChunkRef `cbor:"3,keyasint"`
}

// Size is the file's bytes.
func (f File) Size() (size int64) {
	for _, chunk := range f.Chunks {
		size += int64(chunk.Size)
	}
	return size
}

// Layer is the files of one entry of the package's folder: a file, or a directory with all in it.
type Layer struct {
	Name  string `cbor:"1,keyasint"`
	Files []File `cbor:"2,keyasint"`
}

// Release is a package with all that has to be fetched for it.
type Release struct {
	Format   int     `cbor:"1,keyasint"`
	Manifest []byte  `cbor:"2,keyasint"` // the package's manifest.yaml
	Layers   []Layer `cbor:"3,keyasint"`
}

// Chunks returns the chunks of a release, each once, in the order of their first use.
func (r Release) Chunks() []ChunkRef {
	var chunks []ChunkRef
	seen := map[Digest]bool{}
	for _, l := range r.Layers {
		for _, file := range l.Files {
			for _, chunk := range file.Chunks {
				if !seen[chunk.Digest] {
					seen[chunk.Digest] = true
					chunks = append(chunks, chunk)
				}
			}
		}
	}
	return chunks
}

// ChunkSet returns the digests of a release's chunks.
func (r Release) ChunkSet() map[Digest]bool {
	set := map[Digest]bool{}
	for _, chunk := range r.Chunks() {
		set[chunk.Digest] = true
	}
	return set
}

// Size is the bytes of all files.
func (r Release) Size() (size int64) {
	for _, l := range r.Layers {
		for _, file := range l.Files {
			size += file.Size()
		}
	}
	return size
}

// ParseManifest parses the release's manifest.
func (r Release) ParseManifest() (manifest.Manifest, error) {
	return manifest.Parse("manifest.yaml", r.Manifest)
}

// Encode encodes a release. The release's digest is that of the encoded bytes.
func Encode(r Release) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	encoded, err := mode.Marshal(r)
	if err == nil && len(encoded) > MaxReleaseSize {
		err = fmt.Errorf("a release of %d bytes, at most %d are taken: fewer or larger files", len(encoded), MaxReleaseSize)
	}
	return encoded, err
}

// Decode decodes a release. It rejects one that could write outside a package's folder or take memory without bound.
// The text of an error is part of the store's HTTP API.
func Decode(encoded []byte) (Release, error) {
	r, err := decode(encoded)
	if err != nil {
		return r, fmt.Errorf("release: %w", err)
	}
	return r, nil
}

func decode(encoded []byte) (r Release, err error) {
	if len(encoded) > MaxReleaseSize {
		return r, fmt.Errorf("%d bytes, at most %d are taken", len(encoded), MaxReleaseSize)
	}
	var version struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(encoded, &version); err != nil {
		return r, err
	}
	if version.Format != Format {
		return r, fmt.Errorf("format %d, this program reads %d", version.Format, Format)
	}
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		return r, err
	}
	if err := mode.Unmarshal(encoded, &r); err != nil {
		return r, err
	}
	if _, err := r.ParseManifest(); err != nil {
		return r, err
	}
	return r, r.validate()
}

// validate checks the paths and sizes that a release names.
func (r Release) validate() error {
	seen := map[string]bool{manifest.FileName: true}
	for i, l := range r.Layers {
		for j, file := range l.Files {
			if err := file.validate(l.Name, seen); err != nil {
				return fmt.Errorf("layer %d, file %d (%.80q): %w", i, j, file.Path, err)
			}
		}
	}
	return nil
}

// validate checks a file of a layer; seen has the paths of those before it, and gets this one's.
func (f File) validate(layer string, seen map[string]bool) error {
	switch {
	case !fs.ValidPath(f.Path) || f.Path == "." || strings.ContainsAny(f.Path, "\\\x00"):
		return errors.New("a path inside the folder is needed")
	case f.Path != layer && !strings.HasPrefix(f.Path, layer+"/"):
		return fmt.Errorf("it is not in layer %q", layer)
	case seen[f.Path]:
		return errors.New("named twice")
	case len(seen) > maxFiles:
		return fmt.Errorf("more than %d files", maxFiles)
	}
	seen[f.Path] = true
	for k, chunk := range f.Chunks {
		if chunk.Size < 1 || chunk.Size > MaxChunkSize {
			return fmt.Errorf("chunk %d of %d bytes, 1 to %d are taken", k, chunk.Size, MaxChunkSize)
		}
	}
	return nil
}

// Diff compares two releases: how many chunks, and bytes of them, a worker that has old would fetch for next, and how
// many bytes next has in all.
func Diff(old, next Release) (chunks int, bytes, total int64) {
	have := old.ChunkSet()
	for _, chunk := range next.Chunks() {
		total += int64(chunk.Size)
		if !have[chunk.Digest] {
			chunks++
			bytes += int64(chunk.Size)
		}
	}
	return chunks, bytes, total
}
