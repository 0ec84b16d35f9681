package layer

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Sizes of chunks, in bytes.
const (
	// averageChunkBits is the logarithm of a chunk's average size: 64 KiB.
	averageChunkBits = 16

	// MinChunkSize is the smallest chunk, a quarter of the average; only a file's last one may be smaller.
	MinChunkSize = 1 << (averageChunkBits - 2)

	// MaxChunkSize is the largest chunk, four times the average.
	MaxChunkSize = 1 << (averageChunkBits + 2)

	// MaxCompressedSize is the largest compressed chunk: zstd may add to content that it can't compress.
	MaxCompressedSize = MaxChunkSize + 1024
)

// ErrCorrupt is returned for bytes that are not what their digest names.
var ErrCorrupt = errors.New("not the content that the digest names")

// ChunkRef is a chunk as a release names it.
type ChunkRef struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	Size   int // bytes of its content
}

// zstdCodecs are made once: they are large, and safe for concurrent use.
var zstdCodecs = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault))
	if err != nil {
		panic(err) // only for a wrong option, and all are constant
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxChunkSize), zstd.WithDecoderConcurrency(0))
	if err != nil {
		panic(err)
	}
	return encoder, decoder
})

// Compress compresses a chunk's content.
func Compress(content []byte) []byte {
	encoder, _ := zstdCodecs()
	return encoder.EncodeAll(content, nil)
}

// Decompress returns a chunk's content if it is what the digest names; otherwise the error is ErrCorrupt.
func Decompress(digest Digest, compressed []byte) ([]byte, error) {
	if len(compressed) > MaxCompressedSize {
		return nil, fmt.Errorf("chunk %.12s: %d bytes: %w", digest, len(compressed), ErrCorrupt)
	}
	_, decoder := zstdCodecs()
	content, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("chunk %.12s: %w: %w", digest, ErrCorrupt, err)
	}
	if Sum(content) != digest {
		return nil, fmt.Errorf("chunk %.12s: %w", digest, ErrCorrupt)
	}
	return content, nil
}
