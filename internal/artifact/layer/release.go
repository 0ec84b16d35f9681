// Package layer implements the format in which packages are stored and fetched: a release lists layers, a layer lists
// files, and a file lists chunks. Chunk boundaries depend on the content (content-defined chunking), so that a new
// release shares most chunks with the previous one. A chunk is identified by the BLAKE3 digest of its content and
// compressed with zstd. docs/operate/store.md describes the format for operators.
package layer

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/artifact/manifest"
)

// Format is the format version of the releases and chunks that this program writes and reads.
const Format = 1

const (
	// MaxReleaseSize is the maximum size of an encoded release in bytes.
	MaxReleaseSize = 16 << 20

	// maxFiles is the maximum number of files in a release.
	maxFiles = 100_000
)

// File is a file of a layer.
type File struct {
	Path       string     `cbor:"1,keyasint"` // relative to the package's folder, with slashes
	Executable bool       `cbor:"2,keyasint,omitempty"`
	Chunks     []ChunkRef `cbor:"3,keyasint"`
}

// Size returns the size of the file in bytes.
func (f File) Size() (size int64) {
	for _, chunk := range f.Chunks {
		size += int64(chunk.Size)
	}
	return size
}

// Layer holds the files of one top-level entry of the package's folder, which is a file or a directory with its whole
// content.
type Layer struct {
	Name  string `cbor:"1,keyasint"`
	Files []File `cbor:"2,keyasint"`
}

// Release describes the content of a package: its manifest and every chunk that has to be fetched to build it.
type Release struct {
	Format   int     `cbor:"1,keyasint"`
	Manifest []byte  `cbor:"2,keyasint"` // content of the package's manifest.yaml
	Layers   []Layer `cbor:"3,keyasint"`
}

// Chunks returns the distinct chunks of a release in the order of their first use.
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

// Size returns the total size of all files in bytes.
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

// Encode encodes a release. The digest of a release is computed over the encoded bytes, so the encoding is
// deterministic.
func Encode(r Release) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	encoded, err := mode.Marshal(r)
	if err == nil && len(encoded) > MaxReleaseSize {
		err = fmt.Errorf("encoded release has %d bytes, at most %d are allowed: use fewer or larger files",
			len(encoded), MaxReleaseSize)
	}
	return encoded, err
}

// Decode decodes a release. It rejects a release that could write outside the package's folder or use unbounded memory.
// The texts of its errors are part of the store's HTTP API.
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

// validate checks the file paths and chunk sizes of a release.
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

// validate checks a file of the named layer. seen holds the paths of the preceding files; validate adds the path of
// this one.
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

// Diff returns how many chunks, and how many uncompressed bytes in them, a worker that has release old must fetch for
// release next. total is the size of all distinct chunks of next in bytes.
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
