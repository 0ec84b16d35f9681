package fetch

// PeerResponse is how a peer responds to a request for a chunk.
type PeerResponse int

// The responses.
const (
	Delivered PeerResponse = iota // it sent the chunk, which ends the search
	Missing                       // it does not have the chunk and does not fetch it
	Pending                       // it is fetching the chunk
	Busy                          // it has the chunk, but has no capacity to send it
	Failed                        // no answer in time, or none at all
	Corrupt                       // it sent something else
)

// PeerRequest is what a worker knows about a request for a chunk.
type PeerRequest struct {
	Cached     bool // this worker has the chunk
	Home       bool // this worker is a home of the chunk by its own endpoint list
	CachedOnly bool // the chunk is not to be fetched for the request
}

// ResponseFor decides how a worker responds to a request: Delivered, Missing, or Pending, by which it fetches the
// chunk.
func ResponseFor(request PeerRequest) PeerResponse {
	switch {
	case request.Cached:
		return Delivered
	case request.Home && !request.CachedOnly:
		return Pending
	}
	return Missing
}
