package layer

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Chunk sizes, in bytes.
const (
	// averageChunkBits is the binary logarithm of the average chunk size, 64 KiB.
	averageChunkBits = 16

	// MinChunkSize is the minimum chunk size, a quarter of the average. Only the last chunk of a file may be smaller.
	MinChunkSize = 1 << (averageChunkBits - 2)

	// MaxChunkSize is the maximum chunk size, four times the average.
	MaxChunkSize = 1 << (averageChunkBits + 2)

	// MaxCompressedSize is the maximum size of a compressed chunk. It exceeds MaxChunkSize because the zstd encoding of
	// incompressible content is larger than the content.
	MaxCompressedSize = MaxChunkSize + 1024
)

// ErrCorrupt is returned for content that does not match its digest. Its text is part of the store's HTTP API.
var ErrCorrupt = errors.New("not the content that the digest names")

// ChunkRef is a release's reference to a chunk.
type ChunkRef struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	Size   int // size of the uncompressed content in bytes
}

// zstdCodecs returns the encoder and decoder that all callers share. They are created once because they take much
// memory, and are safe for concurrent use.
var zstdCodecs = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault))
	if err != nil {
		panic(err) // fails only for an invalid option, and all options are constants
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxChunkSize), zstd.WithDecoderConcurrency(0))
	if err != nil {
		panic(err)
	}
	return encoder, decoder
})

// Compress returns the zstd-compressed form of a chunk's content.
func Compress(content []byte) []byte {
	encoder, _ := zstdCodecs()
	return encoder.EncodeAll(content, nil)
}

// Decompress returns a chunk's content. If the content does not match the digest, the error is ErrCorrupt.
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
