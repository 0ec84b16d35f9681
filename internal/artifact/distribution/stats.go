package distribution

// Stats holds the counters of a Distributor since it was created.
type Stats struct {
	FromDisk         int   // chunks found in the cache
	FromPeers        int   // chunks fetched from other workers
	FromStore        int   // chunks fetched from the artifact store
	FetchedBytes     int64 // compressed bytes of the chunks fetched from peers and the store
	CorruptFromPeers int   // chunks from other workers that did not match their digest and were discarded
	CorruptFromStore int   // chunks from the artifact store that did not match their digest and were discarded
	Uploads          int   // chunks sent to other workers
	UploadsRejected  int   // requests of other workers that were rejected because of the upload limit
	TimedOut         int   // searches for a chunk that were abandoned after their timeout
	Hedged           int   // hedged requests sent because another peer was slow
}

// Stats returns the Distributor's counters.
func (d *Distributor) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}
