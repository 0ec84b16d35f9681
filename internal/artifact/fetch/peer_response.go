package fetch

// PeerResponse is the outcome of a request for a chunk to a peer.
type PeerResponse int

// The outcomes of a request to a peer.
const (
	Delivered PeerResponse = iota // the peer sent the chunk; the search has ended
	Missing                       // the peer does not have the chunk and does not fetch it
	Pending                       // the peer is fetching the chunk
	Busy                          // the peer has the chunk, but no capacity to send it
	Failed                        // the peer could not be reached, did not answer in time or sent an invalid reply
	Corrupt                       // the peer sent content that does not match the digest
)

// PeerRequest describes a peer's request for a chunk, from the view of the worker that receives it.
type PeerRequest struct {
	Cached     bool // the receiving worker has the chunk
	Home       bool // the receiving worker is a home of the chunk according to its own endpoint list
	CachedOnly bool // the receiving worker must not fetch the chunk for this request
}

// ResponseFor returns the response of a worker to a request: Delivered, Missing or Pending. For Pending, the worker
// must fetch the chunk.
func ResponseFor(request PeerRequest) PeerResponse {
	switch {
	case request.Cached:
		return Delivered
	case request.Home && !request.CachedOnly:
		return Pending
	}
	return Missing
}
