package distribution

import (
	"testing"

	"lupinpond/internal/artifact/fetch"
)

// What a peer says in place of a chunk is read within bounds, or refused.
func FuzzWord(f *testing.F) {
	f.Add([]byte(`{"said":"busy","holders":["a"],"after-ms":20}`))
	f.Add([]byte(`{"said":"coming","after-ms":99999999999}`))
	f.Add([]byte(`{"said":"gave"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, said, err := readWord(b)
		if err != nil {
			return
		}
		if said == fetch.Gave || len(w.Holders) > mostHolders || w.after() < 0 || w.after() > mostWait {
			t.Errorf("%q was read as %+v", b, w)
		}
	})
}
