// Package localfleet runs workers within the current process, for scenarios and for tests of gateways. It provides one
// interface for emulated workers and for the worker runtime, and an artifact store with the packages that the worker
// runtime loads.
package localfleet

import (
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/worker/faultinject"
)

// LongUptime is the uptime of a worker that has finished its warm-up long ago.
const LongUptime = 24 * time.Hour

// Worker is a worker that can be started, stopped and disturbed: emulator.Worker or Runtime.
type Worker interface {
	Name() string
	// Start starts an incarnation that listens at addr, or at any free loopback port if addr is empty. The returned
	// start time lies uptime in the past, so that the worker can be registered as warm.
	Start(addr string, uptime time.Duration) (listenAddr string, started time.Time, err error)
	// Stop stops the incarnation at once; running requests are lost.
	Stop()
	// Crashes returns how often the worker crashed from overload while warming up.
	Crashes() int
	// InjectFault changes the faults that are injected into the worker.
	InjectFault(change func(*faultinject.Faults))
	// SetUnresponsive stops the worker from reading and writing on its connections, or lets it continue.
	SetUnresponsive(unresponsive bool)
	// Reset closes the worker's connections; the worker continues to accept new ones.
	Reset()
	// Drain starts the drain of the worker and announces it on the worker's connections.
	Drain()
	// Redeploy makes the worker pick up a new release of a function.
	Redeploy(function string)
}

// AlternateDeployment changes settings to those of the other supported deployment (docs/migration.md), with the
// gateways in the given zone.
func AlternateDeployment(settings *fleetconfig.File, zone string) {
	settings.Fleet.Tenants = nil
	for i := range settings.Functions {
		settings.Functions[i].Tenant = ""
	}
	settings.Fleet.LoadPolicy.OnMiss = "miss"
	settings.Fleet.Policy.MaxAttempts = 3
	settings.Fleet.Workers = fleetconfig.Workers{Sizes: "cores", Reports: "none"}
	settings.Fleet.CrossZoneCost = true
	settings.Gateway.Zone = zone
}
