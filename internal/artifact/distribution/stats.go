package distribution

// Stats counts what a Distributor did since it was made.
type Stats struct {
	FromDisk         int   // chunks found in the cache
	FromPeers        int   // chunks fetched from other workers
	FromStore        int   // chunks fetched from the artifact store
	FetchedBytes     int64 // compressed, from peers and the store
	CorruptFromPeers int   // chunks that were not what their digest names; they are not used
	CorruptFromStore int
	Uploads          int // chunks sent to other workers
	UploadsRejected  int // requests of other workers rejected for want of capacity
	TimedOut         int // searches for a chunk that took too long
	Hedged           int // hedged requests: peers asked because another one was late
}

// Stats returns the counters since the Distributor was made.
func (d *Distributor) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}
