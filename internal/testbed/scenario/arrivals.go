package scenario

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

// arrival is one request of a client, generated before the run.
type arrival struct {
	at       time.Duration
	name     string // unique in the scenario
	function fleetconfig.Function
	maxWait  time.Duration
	work     time.Duration // CPU time used by the example package; emulated workers generate a time of their own
	gateway  int           // index of the gateway that gets the first attempt
}

// generateArrivals returns all arrivals of a scenario, sorted by time. The same seed gives the same arrivals.
func (s Scenario) generateArrivals(settings fleetconfig.File) []arrival {
	var all []arrival
	for i, arrivals := range s.Arrivals {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		until := arrivals.Until.Std()
		if until == 0 {
			until = s.Duration.Std()
		}
		function := functionNamed(settings, arrivals.Function)
		requestType, _ := settings.RequestType(function.Type)
		maxWait := requestType.MaxAge.Std()
		if arrivals.MaxWait > 0 {
			maxWait = min(maxWait, arrivals.MaxWait.Std())
		}
		for at := arrivals.From.Std(); ; {
			at += time.Duration(random.ExpFloat64() / arrivals.Rate * float64(time.Second))
			if at >= until {
				break
			}
			all = append(all, arrival{
				at:       at,
				name:     fmt.Sprintf("%s-%d-%d", s.Name, i, len(all)),
				function: function,
				maxWait:  maxWait,
				gateway:  random.IntN(s.Gateways),
				work:     s.Work[function.Name].Std(),
			})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// functionNamed returns the last function of the settings with the name. Parse has checked that there is one.
func functionNamed(settings fleetconfig.File, name string) (found fleetconfig.Function) {
	for _, function := range settings.Functions {
		if function.Name == name {
			found = function
		}
	}
	return found
}
