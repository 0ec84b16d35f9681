// Package layer is the format in which packages are stored and fetched: a release names layers, a layer files, a file
// chunks. Chunks are cut by content, so that a new release shares most of them with the last; each is named by the BLAKE3
// digest of its content and kept compressed with zstd. docs/operate/store.md has the format for operators.
package layer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/restic/chunker"
	"github.com/zeebo/blake3"

	"lupinpond/internal/artifact/manifest"
)

// Format is the version of releases and chunks that this program writes and reads.
const Format = 1

// Bounds of the format. A chunk has a quarter of the mean at least and four times the mean at most.
const (
	averageChunkBits  = 16 // chunks of 64 KiB in the mean
	MinChunkSize      = 1 << (averageChunkBits - 2)
	MaxChunkSize      = 1 << (averageChunkBits + 2)
	MaxCompressedSize = MaxChunkSize + 1024 // what zstd may add
	MaxReleaseSize    = 16 << 20            // bytes of an encoded release
	maxFiles          = 100_000
	polynomial        = chunker.Pol(0x3DA3358B4DC173) // part of the format: another one shares no chunk
	digestSize        = 32
)

// Digest names a chunk or a release: BLAKE3 of its content, before compression.
type Digest [digestSize]byte

// Sum is the digest of content.
func Sum(b []byte) Digest { return blake3.Sum256(b) }

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads a digest in hex.
func ParseDigest(s string) (d Digest, err error) {
	if len(s) != 2*digestSize {
		return d, fmt.Errorf("digest of %d letters, %d are needed", len(s), 2*digestSize)
	}
	if _, err := hex.Decode(d[:], []byte(s)); err != nil {
		return d, fmt.Errorf("digest: %w", err)
	}
	if d.String() != s {
		return d, errors.New("digest: small letters are needed")
	}
	return d, nil
}

// ChunkRef is a chunk as a release names it.
type ChunkRef struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	Size   int // bytes of its content
}

// File is one file of a layer.
type File struct {
	Path       string     `cbor:"1,keyasint"` // in the package's folder, with /
	Executable bool       `cbor:"2,keyasint,omitempty"`
	Chunks     []ChunkRef `cbor:"3,keyasint"`
}

// Size is the file's bytes.
func (f File) Size() (n int64) {
	for _, c := range f.Chunks {
		n += int64(c.Size)
	}
	return n
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

// Chunks are the chunks of a release, each once, in the order of their first use.
func (r Release) Chunks() []ChunkRef {
	var all []ChunkRef
	seen := map[Digest]bool{}
	for _, l := range r.Layers {
		for _, f := range l.Files {
			for _, c := range f.Chunks {
				if !seen[c.Digest] {
					seen[c.Digest] = true
					all = append(all, c)
				}
			}
		}
	}
	return all
}

// Size is the bytes of all files.
func (r Release) Size() (n int64) {
	for _, l := range r.Layers {
		for _, f := range l.Files {
			n += f.Size()
		}
	}
	return n
}

// ParseManifest is the manifest, read.
func (r Release) ParseManifest() (manifest.Manifest, error) {
	return manifest.Parse("manifest.yaml", r.Manifest)
}

// Encode writes a release; its digest is that of the bytes.
func Encode(r Release) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	b, err := mode.Marshal(r)
	if err == nil && len(b) > MaxReleaseSize {
		err = fmt.Errorf("a release of %d bytes, at most %d are taken: fewer or larger files", len(b), MaxReleaseSize)
	}
	return b, err
}

// Decode reads a release and refuses what could write outside a package's folder or take memory without bound.
func Decode(b []byte) (r Release, err error) {
	if len(b) > MaxReleaseSize {
		return r, fmt.Errorf("release: %d bytes, at most %d are taken", len(b), MaxReleaseSize)
	}
	var version struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(b, &version); err != nil {
		return r, fmt.Errorf("release: %w", err)
	}
	if version.Format != Format {
		return r, fmt.Errorf("release: format %d, this program reads %d", version.Format, Format)
	}
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		return r, err
	}
	if err := mode.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("release: %w", err)
	}
	if _, err := r.ParseManifest(); err != nil {
		return r, fmt.Errorf("release: %w", err)
	}
	seen := map[string]bool{manifest.FileName: true}
	for i, l := range r.Layers {
		for j, f := range l.Files {
			at := fmt.Sprintf("release: layer %d, file %d (%.80q)", i, j, f.Path)
			switch {
			case !fs.ValidPath(f.Path) || f.Path == "." || strings.ContainsAny(f.Path, "\\\x00"):
				return r, fmt.Errorf("%s: a path inside the folder is needed", at)
			case f.Path != l.Name && !strings.HasPrefix(f.Path, l.Name+"/"):
				return r, fmt.Errorf("%s: it is not in layer %q", at, l.Name)
			case seen[f.Path]:
				return r, fmt.Errorf("%s: named twice", at)
			case len(seen) > maxFiles:
				return r, fmt.Errorf("%s: more than %d files", at, maxFiles)
			}
			seen[f.Path] = true
			for k, c := range f.Chunks {
				if c.Size < 1 || c.Size > MaxChunkSize {
					return r, fmt.Errorf("%s: chunk %d of %d bytes, 1 to %d are taken", at, k, c.Size, MaxChunkSize)
				}
			}
		}
	}
	return r, nil
}

// Split makes a release of a package's folder and hands each chunk's content to keep, in order; the same one may come again.
func Split(folder string, keep func(ChunkRef, []byte) error) (r Release, err error) {
	p, err := manifest.Open(folder)
	if err != nil {
		return r, err
	}
	if err := p.Verify(); err != nil {
		return r, err
	}
	r.Format = Format
	if r.Manifest, err = os.ReadFile(filepath.Join(folder, manifest.FileName)); err != nil {
		return r, err
	}
	err = filepath.WalkDir(folder, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		rel, err := filepath.Rel(folder, name)
		if err != nil || rel == manifest.FileName {
			return err
		}
		if !d.Type().IsRegular() {
			return fmt.Errorf("%s: only plain files and folders can be published", name)
		}
		f, err := splitFile(name, filepath.ToSlash(rel), keep)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		top, _, _ := strings.Cut(f.Path, "/")
		i := slices.IndexFunc(r.Layers, func(l Layer) bool { return l.Name == top })
		if i < 0 {
			i = len(r.Layers)
			r.Layers = append(r.Layers, Layer{Name: top})
		}
		r.Layers[i].Files = append(r.Layers[i].Files, f)
		return nil
	})
	return r, err
}

func splitFile(name, rel string, keep func(ChunkRef, []byte) error) (f File, err error) {
	in, err := os.Open(name)
	if err != nil {
		return f, err
	}
	defer in.Close()
	st, err := in.Stat()
	if err != nil {
		return f, err
	}
	f = File{Path: path.Clean(rel), Executable: st.Mode()&0o100 != 0}
	c := chunker.NewWithBoundaries(in, polynomial, MinChunkSize, MaxChunkSize)
	c.SetAverageBits(averageChunkBits)
	buf := make([]byte, MaxChunkSize)
	for {
		x, err := c.Next(buf)
		if errors.Is(err, io.EOF) {
			return f, nil
		}
		if err != nil {
			return f, err
		}
		ref := ChunkRef{Digest: Sum(x.Data), Size: len(x.Data)}
		f.Chunks = append(f.Chunks, ref)
		if err := keep(ref, x.Data); err != nil {
			return f, err
		}
	}
}

// ErrCorrupt says that bytes are not the chunk that they should be.
var ErrCorrupt = errors.New("not the content that the digest names")

var zstdCodecs = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) { // both are safe for many goroutines at a time
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault))
	if err != nil {
		panic(err) // no option of it is wrong
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxChunkSize), zstd.WithDecoderConcurrency(0))
	if err != nil {
		panic(err)
	}
	return enc, dec
})

// Compress compresses a chunk's content.
func Compress(content []byte) []byte {
	enc, _ := zstdCodecs()
	return enc.EncodeAll(content, nil)
}

// Decompress gives a chunk's content back, if it is what the digest names.
func Decompress(d Digest, packed []byte) ([]byte, error) {
	if len(packed) > MaxCompressedSize {
		return nil, fmt.Errorf("chunk %.12s: %d bytes: %w", d, len(packed), ErrCorrupt)
	}
	_, dec := zstdCodecs()
	content, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("chunk %.12s: %w: %w", d, ErrCorrupt, err)
	}
	if Sum(content) != d {
		return nil, fmt.Errorf("chunk %.12s: %w", d, ErrCorrupt)
	}
	return content, nil
}

// Build writes a release's files into a folder that does not exist yet; content gives the chunks.
func Build(r Release, folder string, content func(ChunkRef) ([]byte, error)) (p manifest.Package, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return p, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("build %s: %w", folder, err), os.RemoveAll(folder))
		}
	}()
	for _, l := range r.Layers {
		for _, f := range l.Files {
			if err := buildFile(f, filepath.Join(folder, filepath.FromSlash(f.Path)), content); err != nil {
				return p, err
			}
		}
	}
	if err := os.WriteFile(filepath.Join(folder, manifest.FileName), r.Manifest, 0o644); err != nil {
		return p, err
	}
	return manifest.Open(folder)
}

func buildFile(f File, name string, content func(ChunkRef) ([]byte, error)) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return err
	}
	mode := fs.FileMode(0o644)
	if f.Executable {
		mode = 0o755
	}
	out, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	for _, c := range f.Chunks {
		b, err := content(c)
		if err == nil && len(b) != c.Size {
			err = fmt.Errorf("chunk %.12s has %d bytes, the release says %d: %w", c.Digest, len(b), c.Size, ErrCorrupt)
		}
		if err == nil {
			_, err = out.Write(b)
		}
		if err != nil {
			return errors.Join(err, out.Close())
		}
	}
	return out.Close()
}

// ChunkSet is the digests of a release's chunks.
func (r Release) ChunkSet() map[Digest]bool {
	all := map[Digest]bool{}
	for _, c := range r.Chunks() {
		all[c.Digest] = true
	}
	return all
}

// Diff tells what a worker that has the release old would fetch for next: its chunks and their bytes, and the bytes of all.
func Diff(old, next Release) (chunks int, bytes, all int64) {
	have := old.ChunkSet()
	for _, c := range next.Chunks() {
		all += int64(c.Size)
		if !have[c.Digest] {
			chunks++
			bytes += int64(c.Size)
		}
	}
	return chunks, bytes, all
}
