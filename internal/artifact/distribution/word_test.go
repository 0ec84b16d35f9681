package distribution

import (
	"testing"

	"lupinpond/internal/artifact/fetch"
)

// What a peer says in place of a chunk is read within bounds, or refused.
func FuzzPeerReply(f *testing.F) {
	f.Add([]byte(`{"said":"busy","holders":["a"],"after-ms":20}`))
	f.Add([]byte(`{"said":"coming","after-ms":99999999999}`))
	f.Add([]byte(`{"said":"gave"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, said, err := parsePeerReply(b)
		if err != nil {
			return
		}
		if said == fetch.Delivered || len(w.Replicas) > maxReplicas || w.retryAfter() < 0 || w.retryAfter() > maxWait {
			t.Errorf("%q was read as %+v", b, w)
		}
	})
}
