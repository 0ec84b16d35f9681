// Package random has a small source of pseudo-random numbers and a hash. Both give the same values everywhere: they
// take nothing from the clock or the machine, and recordings and placements depend on them.
package random

// Source is a multiply-with-carry generator.
type Source struct{ state uint64 }

// New makes a Source from a seed.
func New(seed uint64) Source { return Source{state: Mix(seed | 1<<63)} }

// IntN draws a number from 0 to n-1; 0 where n is below 1.
func (s *Source) IntN(n int) int {
	s.state = (s.state&0xffffffff)*4294957665 + s.state>>32
	return int((s.state & 0x7fffffff) % uint64(max(n, 1)))
}

// Mix mixes the bits of x.
func Mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// Hash hashes a text.
func Hash(text string) (hash uint64) {
	for _, b := range []byte(text) {
		hash = Mix(hash ^ uint64(b))
	}
	return hash
}
