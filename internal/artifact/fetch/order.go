package fetch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Homes is how many workers, the first of a chunk's rendezvous order, are its homes.
const Homes = 3

// RendezvousOrder returns names in the order of their hash with the chunk, so that workers with the same endpoint list
// agree on a chunk's homes and the homes of all chunks are spread over the workers.
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
