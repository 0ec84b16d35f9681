package platform

import "time"

// File descriptors: the platform's limit is divided by purpose, so that neither clients nor workers can use up the
// descriptors that the others need.
const (
	// reservedSockets is the number of descriptors for everything but clients and workers: the standard streams, the
	// Go runtime, the listener, the connection to the discovery service and one connection being accepted.
	reservedSockets = 12

	// minSockets is the smallest limit on descriptors with which a gateway starts.
	minSockets = 3 * reservedSockets

	// clientSocketDivisor limits client connections to 1/2 of the descriptors that are not reserved. Clients that
	// follow the protocol use at most 1/3.
	clientSocketDivisor = 2

	// workerSocketDivisor limits connections to workers to 1/3 of the descriptors that are not reserved; past that,
	// calls share connections.
	workerSocketDivisor = 3

	// extraSocketDivisor allows another 1/12 for workers that have no connection yet. The remaining 1/12 is for
	// connections that are being closed.
	extraSocketDivisor = 12
)

// Memory: divisors of the platform's memory limit in bytes, by purpose.
const (
	// requestMemoryDivisor limits all requests in hand to 1/8 of the memory limit.
	requestMemoryDivisor = 8

	// memoryPerRequest is the memory of a request without its message, in bytes.
	memoryPerRequest = 2 << 10

	// partialMemoryDivisor limits the messages that have been received in part to 1/32 of the memory limit.
	partialMemoryDivisor = 32

	// answerMemoryDivisor limits the answers that are not written to 1/16 of the memory limit; beyond that, clients are
	// disconnected that do not read theirs.
	answerMemoryDivisor = 16

	// discoveryMemoryDivisor limits one answer of the discovery service to 1/16 of the memory limit.
	discoveryMemoryDivisor = 16

	// bytesPerRecentID limits a generation of recent request IDs to one ID per 1024 bytes of the memory limit.
	bytesPerRecentID = 1024

	// functionMemoryDivisor limits the state of functions, whose names clients choose, to 1/16 of the memory limit.
	functionMemoryDivisor = 16

	// bytesPerFunction is the memory of the state of a function.
	bytesPerFunction = 512

	// goMemoryDivisor limits the Go heap to 1/2 of the memory limit. The rest is for the program's code, stacks, and
	// other memory that the system attributes to the process.
	goMemoryDivisor = 2
)

// Messages and calls.
const (
	// maxElementBytes is the maximum size of an element of a worker's response.
	maxElementBytes = 1 << 20

	// maxOpenRequests is the platform's limit on open requests per client connection. It does not depend on the
	// number of calls that a connection to a worker carries.
	maxOpenRequests = 32

	// defaultMaxStreams is the maximum number of calls on a connection to a worker if the settings name none.
	defaultMaxStreams = 32
)

// Timeouts of clients and workers. Some are multiples of the dial timeout, the platform's measure of network latency.
const (
	// defaultDialTimeout is the dial timeout if the settings name none.
	defaultDialTimeout = 250 * time.Millisecond

	// defaultConnIdle is how long a connection may be idle if the settings name no limit.
	defaultConnIdle = 15 * time.Second

	// connIdleDivisor makes the gateway close idle connections after 1/2 of the time that the platform allows.
	connIdleDivisor = 2

	// messageTimeoutDials is the number of dial timeouts within which a client must complete a message, or read an
	// answer.
	messageTimeoutDials = 5

	// maxMessageTimeout is the upper limit of the time to complete a message. The platform expects a client that
	// sends no valid request to get an answer, or the end of its connection, within 3 s.
	maxMessageTimeout = 2500 * time.Millisecond

	// finalReadDivisor limits the final read of an idle connection to 1/8 of the dial timeout.
	finalReadDivisor = 8

	// maxWriteTime is the maximum time for writing a request to a worker. The request states the time left until the
	// client's deadline, which becomes outdated during the write; the platform tolerates 150 ms.
	maxWriteTime = 100 * time.Millisecond
)

// Discovery: limits of the polls of the discovery service.
const (
	// defaultDrainGrace is how long requests may still be sent to a draining worker if the settings name no limit.
	defaultDrainGrace = 500 * time.Millisecond

	// listAgeGraceFraction is a fraction of the drain grace: workers are verified once the endpoint list is older
	// than deliveryBound + drain grace * listAgeGraceFraction.
	listAgeGraceFraction = 0.4

	// pollWaitGraces is the maximum wait of a poll in multiples of the drain grace.
	pollWaitGraces = 2

	// maxPollWait is the platform's limit on the wait of a poll.
	maxPollWait = 5 * time.Second

	// deliveryBound is the time after which the platform considers an event delivered, even if it was not received.
	deliveryBound = 7 * time.Second

	// addressChangeBound replaces deliveryBound after a change of the discovery service's address.
	addressChangeBound = 4 * time.Second
)

// Shutdown.
const (
	// lateArrivalPeriod is how long the platform may continue to send requests after SIGTERM.
	lateArrivalPeriod = 700 * time.Millisecond

	// terminationGrace is the time from the end of lateArrivalPeriod to SIGKILL. If the longest maximum age of a request
	// is shorter, the platform sends SIGKILL that age after the end of lateArrivalPeriod.
	terminationGrace = 3 * time.Second
)
