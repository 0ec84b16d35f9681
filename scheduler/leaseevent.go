package scheduler

// LeaseEventKind is the kind of a change of a lease.
type LeaseEventKind int

// The kinds of lease events.
const (
	WatchLeaseExpired      LeaseEventKind = iota // the registry was unreachable for too long
	WatchLeaseRenewed                            // the registry is reachable again
	WorkerLeaseExpired                           // there is no recent evidence that the worker accepts new work
	WorkerLeaseRegained                          // the worker has a lease, for the first time or again
	WorkerRejects                                // a worker rejected work or a query after the watch's expiry
	QueriesReliable                              // a worker has rejected a replica query: queries are reliable
	QueriesUnreliable                            // a rejecting worker has answered one: they are unreliable
	ReplicaForVerification                       // a replica is loaded at the worker only to verify it
	LeaseEventKindCount                          // the number of kinds
)

var leaseEventNames = [LeaseEventKindCount]string{
	WatchLeaseExpired:   "watch lease expired",
	WatchLeaseRenewed:   "watch lease renewed",
	WorkerLeaseExpired:  "worker lease expired",
	WorkerLeaseRegained: "worker lease regained",
	WorkerRejects:       "worker rejects work",
	QueriesReliable:     "replica query rejected",
	QueriesUnreliable:   "replica queries prove nothing",

	ReplicaForVerification: "replica loaded for verification",
}

// String returns the kind's name in logs.
func (k LeaseEventKind) String() string { return leaseEventNames[k] }

// LeaseEvidence is the kind of evidence that a worker accepts new work.
type LeaseEvidence string

// The kinds of evidence.
const (
	AcceptedWork  LeaseEvidence = "accepted work"
	AnsweredQuery LeaseEvidence = "answered a query" // allows one unit of work
)

// LeaseEvent is a change of a lease, for logs.
type LeaseEvent struct {
	Kind     LeaseEventKind
	Worker   string
	Evidence LeaseEvidence // with WorkerLeaseRegained
	Leased   int           // with WatchLeaseExpired and WatchLeaseRenewed: number of workers with a lease
}

// recordLeaseEvent adds an event to the result of the next Tick.
func (s *Scheduler) recordLeaseEvent(event LeaseEvent) { s.leaseEvents = append(s.leaseEvents, event) }
