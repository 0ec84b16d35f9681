package distribution

import (
	"testing"

	"lupinpond/internal/artifact/fetch"
)

// Whatever a peer replies, parsePeerReply must return values within their limits or reject the reply.
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
			t.Errorf("%q was parsed as %+v", body, reply)
		}
	})
}
