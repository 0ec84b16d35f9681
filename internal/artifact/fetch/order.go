package fetch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomesPerChunk is the number of homes of a chunk. The homes are the first workers in the chunk's rendezvous order.
const HomesPerChunk = 3

// RendezvousOrder returns the worker names sorted by the hash of chunk and name (rendezvous hashing). Workers with the
// same endpoint list thus agree on the homes of a chunk, and the homes of all chunks are spread evenly over the
// workers.
func RendezvousOrder(chunk []byte, names []string) []string {
	type candidate struct {
		name string
		hash uint64
	}
	candidates := make([]candidate, 0, len(names))
	for _, name := range names {
		hash := xxhash.New()
		_, _ = hash.Write(chunk) // never fails
		_, _ = hash.WriteString(name)
		candidates = append(candidates, candidate{name, hash.Sum64()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	order := make([]string, len(candidates))
	for i, c := range candidates {
		order[i] = c.name
	}
	return order
}
