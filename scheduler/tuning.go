package scheduler

import "time"

// This file holds the tuned values of all mechanisms. In their comments "objective" is the latency objective
// of a request type, and "longest objective" is the longest latency objective of all request types.

// Queues and ticks of a function.
const (
	// tickIntervalShare: two ticks of a function are at least objective * tickIntervalShare apart.
	tickIntervalShare = 0.2

	// spillWaitShare: a request waits objective * spillWaitShare for a free slot before it may queue at a
	// worker whose slots are all in use.
	spillWaitShare = 0.25
)

// Measured averages.
const (
	// functionSamples is the number of outcomes in a function's average run time. In the averages of slowness
	// and queue delay it is the weight of the initial value, in samples. In those of load slowdown and the
	// excess latency of probes, a new sample has the weight 1 / functionSamples.
	functionSamples = 10

	// typeSamples is the maximum number of outcomes in the moving average of a request type or worker kind.
	typeSamples = 100

	// minLatencySamples is the number of outcomes of a request type before its latencies adapt the limits.
	minLatencySamples = 3 * functionSamples

	// initialLatency is the assumed run time of a function without outcomes, and the assumed round trip to a
	// worker.
	initialLatency = 10 * time.Millisecond

	// initialLatencyShare: the mean latency of a request type starts at objective * initialLatencyShare.
	initialLatencyShare = 0.125

	// maxSlowdown bounds the ratio of an attempt's latency to the mean run time of its function that counts
	// in the slowness of the worker's kind.
	maxSlowdown = 4

	// trafficWindow is the period over which arrivals, quotas and retries are counted.
	trafficWindow = 5 * time.Second

	// evictedFunctionsDivisor: once there are as many functions as may be kept, 1 / evictedFunctionsDivisor of
	// them are forgotten at a time.
	evictedFunctionsDivisor = 8

	// arrivalWindows: the arrivals of a function are counted over arrivalWindows * trafficWindow.
	arrivalWindows = 4
)

// Outlier ejection.
const (
	// ejectionFailures is the number of consecutive failures that eject a worker.
	ejectionFailures = 4

	// maxEjectionFactor: an ejection starts at the longest objective and doubles with each further one, up to
	// longest objective * maxEjectionFactor, before the random part is added.
	maxEjectionFactor = 8

	// unresponsiveThreshold ejects a worker when the time without a response, in multiples of the usual
	// latency and summed over the attempts in flight, exceeds it.
	unresponsiveThreshold = 18.0

	// unresponsiveChecks is the number of checks for unresponsive workers per longest objective.
	unresponsiveChecks = 8

	// minUsualLatencyDivisor: the usual latency is at least objective / minUsualLatencyDivisor.
	minUsualLatencyDivisor = 10

	// maxEjectedShare is the share of the eligible workers that may be ejected; while more are, ejections are
	// ignored.
	maxEjectedShare = 0.5
)

// Adaptive limits of attempts in flight.
const (
	// initialWorkerLimit is the initial limit of attempts in flight at a worker, for all gateways together. It
	// is also the initial limit of loads in flight of each gateway.
	initialWorkerLimit = 16.0

	// minWorkerLimit is the lowest limit of attempts in flight at a worker, for each gateway. It is also the
	// lowest limit of loads in flight of each gateway.
	minWorkerLimit = 2.0

	// minFleetLimit is the lowest limit of attempts in flight at all workers together, for each gateway.
	minFleetLimit = 0.5

	// latencyTolerance: a worker's limit does not fall while latencies are at most the shortest mean latency *
	// latencyTolerance.
	latencyTolerance = 1.1

	// acceptableLatencyShare: the fleet's limit does not fall while latencies are at most objective *
	// acceptableLatencyShare. A request may always be delayed that long by requests queued at a worker.
	acceptableLatencyShare = 0.5

	// noQueueLatencyShare: the limit of a worker that reports an empty queue does not fall while latencies are
	// at most objective * noQueueLatencyShare.
	noQueueLatencyShare = 0.2

	// minGrowthShare is the lowest share of the traffic that a limit's growth is computed with while latencies
	// are acceptable: the limit grows by about sqrt(limit * share).
	minGrowthShare = 0.1

	// minLatencyDecaySamples is the number of outcomes that raise the shortest mean latency by a factor of e.
	minLatencyDecaySamples = 20000

	// limitWindowObjectives: latencies adapt a limit over longest objective * limitWindowObjectives.
	limitWindowObjectives = 2

	// rejectionLimitFactor: a rejection by a worker multiplies the worker's limit by rejectionLimitFactor.
	rejectionLimitFactor = 0.9

	// nearLimitShare: a worker with at least limit * nearLimitShare attempts in flight is chosen last for first
	// replicas.
	nearLimitShare = 0.75
)

// Queues at workers: load reports and probes.
const (
	// reportValidityShare: a reported queue is considered valid, and no probe is sent, for longest objective *
	// reportValidityShare.
	reportValidityShare = 0.5

	// reportExpiryObjectives: a report counts in the fleet state for longest objective *
	// reportExpiryObjectives.
	reportExpiryObjectives = 2

	// queuedPerProbeExcess is the number of queued requests that is estimated from a probe whose excess latency
	// is twice the mean.
	queuedPerProbeExcess = 4.0

	// maxProbeExcess bounds the excess latency of a probe, in multiples of the shortest round trip in its zone.
	maxProbeExcess = 8.0

	// minProbeExcess, in multiples of the shortest round trip in a zone, is the lowest mean excess latency at
	// which queues are estimated: below it, round trips are those of the network alone.
	minProbeExcess = 0.25

	// queuedAheadDecay: each new outcome multiplies the measured delays behind queued requests by
	// queuedAheadDecay.
	queuedAheadDecay = 0.95
)

// Overload and rejection.
const (
	// overloadCapacityShare: the fleet is overloaded when less than this share of the eligible workers has
	// capacity, or less than this share of the workers with a recent report is without queued requests of other
	// gateways.
	overloadCapacityShare = 0.5

	// minOverloadReports is the number of workers with a recent report from which reports alone can show an
	// overload.
	minOverloadReports = 3

	// quotaDeviations: the arrivals in a traffic window may exceed a tenant's quota by quotaDeviations *
	// sqrt(quota), its standard deviation by chance.
	quotaDeviations = 1.0

	// retryBurst is the number of a tenant's retries per traffic window that are accepted in any case.
	retryBurst = 1.0

	// retriesPerRequest is the number of a tenant's retries that are accepted per original request of all
	// tenants at this gateway.
	retriesPerRequest = 0.05

	// rejectionBackoffShare: after n consecutive rejections of a tenant by a worker, requests of the rejected
	// function are not sent there for objective * rejectionBackoffShare * 2^n. If the worker reports an empty
	// queue and only this tenant calls the function, this holds for all requests of the tenant.
	rejectionBackoffShare = 0.125

	// maxRejectionDoublings bounds n in the backoff after rejections.
	maxRejectionDoublings = 6
)

// Slow start.
const (
	// slowStartBudgetShare: a worker in slow start is sent at most this share of the load that makes it crash.
	slowStartBudgetShare = 0.9

	// slowStartDeviations is the number of standard deviations of the attempts of all gateways by which the
	// load on a worker in slow start is reduced further, because no gateway has information about the attempts
	// of the others.
	slowStartDeviations = 1.0

	// slowStartMinDivisor: the reduction by slowStartDeviations leaves at least 1 / slowStartMinDivisor of the
	// load.
	slowStartMinDivisor = 4

	// completedWorkWindows: the fleet's completed work is averaged over CrashWindow * completedWorkWindows.
	completedWorkWindows = 8
)

// Load requests.
const (
	// loadTimeoutFactor: an unanswered load counts as lost after expected load time * loadTimeoutFactor. For
	// load requests this is multiplied by the load slowdown, if above 1, and bounded by the policy's
	// RequestTimeout. A failed load counts in the limit as one that took at least this time.
	loadTimeoutFactor = 4.0

	// slowLoadFactor: the limit of loads in flight does not fall while loads take at most expected load time *
	// slowLoadFactor.
	slowLoadFactor = 2.0

	// alreadyLoadedDivisor: a load that is answered within expected load time / alreadyLoadedDivisor found the
	// replicas already loaded.
	alreadyLoadedDivisor = 4

	// maxReplicasPerWorker is the maximum number of replicas of a function that are requested from one worker.
	maxReplicasPerWorker = 16
)

// Leases of workers while the registry is unreachable. The lease time is the drain grace less its margin.
const (
	// leaseMarginShare: the lease time is shorter than the drain grace by drain grace * leaseMarginShare, which
	// covers the transmission and stalls of the process that are too short to be detected.
	leaseMarginShare = 0.2

	// watchAnswerTimeout is the time after the start, or after a stall of the process, for which requests wait
	// for an answer of the registry if no worker has a lease.
	watchAnswerTimeout = 2 * time.Second

	// preparationStartShare: leases are prepared once this share of the time from the last renewal of the watch
	// lease until workers need leases of their own has passed.
	preparationStartShare = 0.5

	// verificationStartShare: workers are verified from lease time * verificationStartShare after the expiry of
	// the watch lease. They need leases of their own one lease time after it.
	verificationStartShare = 0.5

	// renewalShare: a worker is verified lease time * renewalShare after the latest work it accepted was sent.
	renewalShare = 0.5

	// limitedRenewalShare replaces renewalShare under a rate limit of load requests.
	limitedRenewalShare = 0.75

	// verificationRetryShare: two verifications of a worker are at least lease time * verificationRetryShare
	// apart.
	verificationRetryShare = 0.2

	// renewalCheckShare: the leases are checked every lease time * renewalCheckShare.
	renewalCheckShare = 0.1

	// maxVerificationRatePerWorker is the maximum number of verifications per second, and likewise of replica
	// queries, that all gateways together may send for each worker.
	maxVerificationRatePerWorker = 60.0

	// maxVerificationRate is the maximum number of verifications per second, and likewise of replica queries,
	// that one gateway may send.
	maxVerificationRate = 60.0

	// minLeaseCandidates is the minimum number of workers whose leases are renewed, without a rate limit of load
	// requests.
	minLeaseCandidates = 2

	// verificationLoadShare is the share of the rate limit of load requests that is reserved for verifications
	// while the registry is unreachable, or more if that does not suffice for one lease. The rest is for loads.
	verificationLoadShare = 0.6

	// verificationDeviations is the margin for random variation of the number of verifications that leases need
	// under a rate limit of load requests, in standard deviations.
	verificationDeviations = 2.0

	// maxQueryBackoff is the longest time until a worker that rejects work is queried again.
	maxQueryBackoff = 8 * time.Second
)

// Placement of first replicas.
const (
	// pointsPerFunction is the number of points of a function on the circle of the shared order. Many points
	// are needed to spread the functions evenly over the workers.
	pointsPerFunction = 64

	// maxPlacementWidth is the highest ratio of the preferred workers of a function to the number of workers
	// that its share of the traffic fills.
	maxPlacementWidth = 8.0

	// minPlacementWidth is the lowest value of the ratio that maxPlacementWidth bounds, used where memory is
	// short.
	minPlacementWidth = 1.0

	// firstReplicaMemoryShare is the share of the workers' memory that is for first replicas.
	firstReplicaMemoryShare = 0.5

	// priorFunctions is the number of assumed functions called once, with half as many called twice, that are
	// added when the share of chance in the arrivals is estimated.
	priorFunctions = 5.0

	// priorArrivals is the number of assumed requests that are added when a function's share of the traffic is
	// estimated.
	priorArrivals = 30.0

	// placementEstimates is the number of placement estimates per traffic window.
	placementEstimates = 8

	// crossZoneFactor multiplies the rendezvous score of a worker in another zone, which then ranks like a
	// worker whose weight is lower by this factor.
	crossZoneFactor = 3.0

	// maxSampled is the maximum number of workers that are sampled to find one that accepts a load.
	maxSampled = 64

	// maxVisitsPerWanted: to find n preferred workers, at most n * maxVisitsPerWanted + maxSampled
	// workers of the shared order are visited.
	maxVisitsPerWanted = 4
)

// Bounds of plausible input.
const (
	// maxPlausibleValue bounds weights and queue depths; higher values are ignored.
	maxPlausibleValue = 1e5

	// maxPlausibleMemory bounds the memory of replicas and workers, in the unit of the settings; higher values
	// are ignored.
	maxPlausibleMemory = 1e15

	// maxPlausibleLoadTime bounds the expected load times that requests state.
	maxPlausibleLoadTime = time.Hour
)

// Subscription to the worker registry.
const (
	// subscribeRetries: after a failed subscription the next one is sent after subscribe interval /
	// subscribeRetries on average, at a random time.
	subscribeRetries = 8

	// resubscribeIntervals: an unanswered subscription is repeated after resubscribeIntervals of these retry
	// intervals.
	resubscribeIntervals = 8
)
