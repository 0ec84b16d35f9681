package layer

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

const digestSize = 32 // bytes

// Digest identifies a chunk or a release. It is the BLAKE3 digest of the uncompressed content.
type Digest [digestSize]byte

// Sum returns the digest of content.
func Sum(content []byte) Digest { return blake3.Sum256(content) }

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses a digest in lower-case hex. The texts of its errors are part of the store's HTTP API.
func ParseDigest(text string) (digest Digest, err error) {
	if len(text) != 2*digestSize {
		return digest, fmt.Errorf("digest of %d letters, %d are needed", len(text), 2*digestSize)
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, fmt.Errorf("digest: %w", err)
	}
	if digest.String() != text {
		return digest, errors.New("digest: small letters are needed")
	}
	return digest, nil
}
