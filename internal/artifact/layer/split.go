package layer

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"github.com/restic/chunker"

	"lupinpond/internal/artifact/manifest"
)

// polynomial is the Rabin polynomial that determines the chunk boundaries. It is part of the format: a release split
// with another polynomial would share no chunks with existing releases.
const polynomial = chunker.Pol(0x3DA3358B4DC173)

// Split splits the files of a package's folder into chunks and returns the release that describes them. It calls visit
// with the content of each chunk, in order, also for a chunk that occurred before. The content is valid only until
// visit returns.
func Split(folder string, visit func(ChunkRef, []byte) error) (r Release, err error) {
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
	err = filepath.WalkDir(folder, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		relative, err := filepath.Rel(folder, name)
		if err != nil || relative == manifest.FileName {
			return err
		}
		if !entry.Type().IsRegular() {
			return fmt.Errorf("%s: only plain files and folders can be published", name)
		}
		file, err := splitFile(name, filepath.ToSlash(relative), visit)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		r.add(file)
		return nil
	})
	return r, err
}

// add appends a file to the layer named by the first element of its path.
func (r *Release) add(file File) {
	name, _, _ := strings.Cut(file.Path, "/")
	i := slices.IndexFunc(r.Layers, func(l Layer) bool { return l.Name == name })
	if i < 0 {
		i = len(r.Layers)
		r.Layers = append(r.Layers, Layer{Name: name})
	}
	r.Layers[i].Files = append(r.Layers[i].Files, file)
}

func splitFile(name, relative string, visit func(ChunkRef, []byte) error) (file File, err error) {
	in, err := os.Open(name)
	if err != nil {
		return file, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return file, err
	}
	file = File{Path: path.Clean(relative), Executable: info.Mode()&0o100 != 0}
	chunks := chunker.NewWithBoundaries(in, polynomial, MinChunkSize, MaxChunkSize)
	chunks.SetAverageBits(averageChunkBits)
	buffer := make([]byte, MaxChunkSize)
	for {
		chunk, err := chunks.Next(buffer)
		if errors.Is(err, io.EOF) {
			return file, nil
		}
		if err != nil {
			return file, err
		}
		ref := ChunkRef{Digest: Sum(chunk.Data), Size: len(chunk.Data)}
		file.Chunks = append(file.Chunks, ref)
		if err := visit(ref, chunk.Data); err != nil {
			return file, err
		}
	}
}
