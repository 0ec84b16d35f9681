// Package random provides a pseudo-random number generator and a hash function. Both are deterministic on all machines:
// recordings and the placement of functions depend on their values.
package random

// Source is a multiply-with-carry generator.
type Source struct{ state uint64 }

// New returns a Source with a seed.
func New(seed uint64) Source { return Source{state: Mix(seed | 1<<63)} }

// IntN returns a pseudo-random number from 0 to n-1, or 0 if n is less than 1.
func (s *Source) IntN(n int) int {
	s.state = (s.state&0xffffffff)*4294957665 + s.state>>32
	return int((s.state & 0x7fffffff) % uint64(max(n, 1)))
}

// Mix returns a 64-bit hash of x by shifts and multiplications.
func Mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// Hash returns a 64-bit hash of a string.
func Hash(text string) (hash uint64) {
	for _, b := range []byte(text) {
		hash = Mix(hash ^ uint64(b))
	}
	return hash
}
