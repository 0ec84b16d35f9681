// Package scheduler makes every decision of one gateway: which worker a request is sent to, when it is
// retried, rejected or failed, and which workers load which functions. It is a deterministic state machine
// without I/O, clock or goroutines: the caller passes input events with their time and carries out the
// decisions that are returned. Three calls return decisions:
//
//	Submit:   whether a new request is sent to a worker, enqueued or rejected
//	Complete: what to do with a request after the outcome of an attempt
//	Tick:     the attempts, load requests, probes and final answers that are due, and when to call Tick again
//
// The other calls pass events: UpdateMembership, ReplaceMembership, WatchFailed, SetWatchLease,
// ProbeCompleted, LoadCompleted, ClientDisconnected and LimitDeadline. The caller keeps the timers and the
// requests in flight. Times are nanoseconds of any monotonic clock.
//
// The design (docs/design.md): each function has a queue, from which requests are sent, oldest first, to free
// slots of replicas that are assumed to be loaded. At each tick of a function, scaleUp applies a rule of four
// conditions and requests loads from workers; surplus replicas expire when they are idle. Seven mechanisms
// complement this:
//
//  1. consecutive failures eject a worker, and one half-open request tests its recovery (ejection.go)
//  2. limits of attempts in flight, per worker and for the fleet, adapt to the latencies (limits.go)
//  3. a worker with requests queued there, as reported or as estimated from the round trip of a probe, is
//     chosen last (probes.go)
//  4. in an overload, requests that cannot meet their latency objective or exceed their tenant's quota are
//     rejected; retries beyond a share of the original requests always are; a tenant that a worker rejects is
//     served by other workers (tick.go, submit.go, complete.go)
//  5. workers in slow start receive a share of the work of a warm worker (slowstart.go)
//  6. the limit of loads in flight adapts to the results and durations of the loads (loads.go)
//  7. while the registry is unreachable workers need leases, which accepted work renews (lease.go,
//     preparation.go, verify.go, leasecandidates.go, query.go, drainquery.go)
//
// Differences among workers and deployments are reported or measured: the weights of worker kinds (kinds.go),
// the queue at a worker (estimateQueueDepth), the delay caused by each queued request (queueDelay), and the
// number of first replicas that fit into the memory of the workers (estimatePlacement).
package scheduler
