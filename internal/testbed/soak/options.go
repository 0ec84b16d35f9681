// Package soak runs a fleet of real gateways on loopback under overlapping faults, and checks at the sockets of clients
// and workers whether the gateways violate a rule. It doesn't rely on what gateways report about themselves, apart from
// violated invariants in their logs.
package soak

import (
	"cmp"
	"io"
	"path/filepath"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Seed                uint64
	Gateways            int
	Workers             int           // number of workers, emulated in this process
	Rate                float64       // requests per second at each gateway
	Duration            time.Duration // period in which new faults are injected
	WarmUp              time.Duration // time before the first fault
	Program             string        // path of the gateway program
	Dir                 string        // existing directory for configurations and logs
	InjectSyscallErrors bool          // run some gateways under strace, which makes system calls fail
	Out                 io.Writer     // receives a line for each fault; nil: no output

	// Outage is a planned outage that replaces the random faults; nil: random faults.
	Outage *Outage

	// MaxWait is the longest time limit that clients set for a request and that the gateway's settings allow; 0: maxWait.
	MaxWait time.Duration

	// DrainingAnswersQueries makes draining workers answer replica queries like other workers do instead of rejecting
	// them. The protocol allows both.
	DrainingAnswersQueries bool
}

func (o Options) maxWait() time.Duration { return cmp.Or(o.MaxWait, maxWait) }

func (o Options) path(name string) string { return filepath.Join(o.Dir, name) }

// Tolerances of the rules, including delays that loopback and the machine add.
const (
	// checkerSlack is the delay with which this process may observe an event.
	checkerSlack = 50 * time.Millisecond
	// responseSlack is the maximum time between a client's deadline and its response.
	responseSlack = 500*time.Millisecond + checkerSlack
	// disconnectSlack is the maximum time between a client's disconnect and the receipt of an attempt by a
	// worker.
	disconnectSlack = 100*time.Millisecond + checkerSlack
	// deadlineSlack is the maximum by which the time left stated in an attempt may exceed what the client has left.
	deadlineSlack = 150 * time.Millisecond
	// drainSlack is the maximum time between the moment at which a gateway is considered notified of a drain and the
	// receipt of an attempt or a load request by the draining worker.
	drainSlack = drainGrace + checkerSlack
	// crossingWindow is the maximum age at which an open request is considered to have crossed the close of its
	// connection on the network.
	crossingWindow = 50 * time.Millisecond
	// readyTimeout is the time after its start within which a gateway must become ready.
	readyTimeout = 10 * time.Second
	// maxNotificationDelay is the time after the start of a discovery service fault from which on watchers are considered
	// notified of published changes.
	maxNotificationDelay = 7 * time.Second
	// moveNotificationDelay is the time after a change of the discovery service's address in the configuration from which
	// on watchers are considered notified of published changes.
	moveNotificationDelay = 4 * time.Second
)

// Settings of the gateways.
const (
	drainGrace      = 500 * time.Millisecond
	maxWait         = 2 * time.Second // longest time limit of a request
	maxCountedWait  = 3 * time.Second // longest time limit of a request that the shutdown timeout takes into account
	maxOpenRequests = 32              // per client connection
	maxSockets      = 192

	classCall       = "call"  // may be executed more than once
	classAtMostOnce = "once"  // at most once
	classKeyed      = "keyed" // has an idempotency key
	keyWindow       = 5 * time.Second

	crashWindow   = time.Second
	crashMultiple = 2.5
	initialShare  = 0.3
	warmUpTime    = 6 * time.Second
)
