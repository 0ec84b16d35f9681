package distribution

import (
	"testing"

	"lupinpond/internal/artifact/fetch"
)

// What a peer replies in place of a chunk is read within bounds, or rejected.
func FuzzPeerReply(f *testing.F) {
	f.Add([]byte(`{"said":"busy","holders":["a"],"after-ms":20}`))
	f.Add([]byte(`{"said":"coming","after-ms":99999999999}`))
	f.Add([]byte(`{"said":"gave"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		reply, response, err := parsePeerReply(body)
		if err != nil {
			return
		}
		if response == fetch.Delivered || len(reply.Replicas) > maxReplicas ||
			reply.retryAfter() < 0 || reply.retryAfter() > maxWait {
			t.Errorf("%q was read as %+v", body, reply)
		}
	})
}
