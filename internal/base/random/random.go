// Package random has a small source of random numbers and a hash. It takes nothing from the clock or the machine.
package random

// Source is a multiply-with-carry generator.
type Source struct{ state uint64 }

// New starts a Source from a seed.
func New(seed uint64) Source { return Source{state: Mix(seed | 1<<63)} }

// IntN draws a whole number from 0 to n-1; 0 where n is below 1.
func (s *Source) IntN(n int) int {
	s.state = (s.state&0xffffffff)*4294957665 + s.state>>32
	return int((s.state & 0x7fffffff) % uint64(max(n, 1)))
}

// Mix scatters the bits of x.
func Mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// Hash scatters a text.
func Hash(text string) (h uint64) {
	for _, b := range []byte(text) {
		h = Mix(h ^ uint64(b))
	}
	return h
}
