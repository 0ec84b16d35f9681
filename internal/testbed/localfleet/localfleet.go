// Package localfleet starts and stops workers inside one process, for scenarios and for tests of gateways: emulated
// ones and the worker runtime, behind one interface, and the store of the packages that the runtime ones load.
package localfleet

import (
	"time"

	"lupinpond/internal/gateway/fleetconfig"
	"lupinpond/internal/worker/faultinject"
)

// LongUptime is the uptime of workers that the registry has had for long: they are warm.
const LongUptime = 24 * time.Hour

// Worker is a worker of a scenario: an emulated one (emulator.Worker), or the worker runtime (Runtime).
type Worker interface {
	Name() string
	// Start begins an incarnation at addr, or any port of loopback where that is empty. The worker says that it started
	// an uptime ago.
	Start(addr string, uptime time.Duration) (listenAddr string, started time.Time, err error)
	// Stop ends the incarnation at once; whatever ran is lost.
	Stop()
	// Crashes is how often the worker crashed under too much load while warming up.
	Crashes() int
	// InjectFault has the worker misbehave from now on.
	InjectFault(change func(*faultinject.Faults))
	// SetUnresponsive has it neither read nor write, or no more.
	SetUnresponsive(unresponsive bool)
	// Reset breaks its connections.
	Reset()
	// Drain says on its connections that nothing new is started there.
	Drain()
	// Redeploy has it notice a new release of a function.
	Redeploy(function string)
}

// AlternateDeployment makes settings those of the other supported deployment (docs/migration.md), whose gateways stand
// in a zone.
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
