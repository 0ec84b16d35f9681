package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"lupinpond/internal/gateway/discovery"
	"lupinpond/internal/testbed/faultproxy"
)

// OutageForm is the way in which the discovery service is unreachable.
type OutageForm string

// The forms of an outage.
const (
	ConnectionsReset OutageForm = "connections reset" // connections are reset as soon as they are opened
	PollsUnanswered  OutageForm = "polls unanswered"  // connections are established, but polls get no response
)

// Outage is the plan of a discovery service outage. All times are relative to the start of the outage.
type Outage struct {
	Form     OutageForm
	Gateways int // number of affected gateways, the first ones by index; 0: all
	Length   time.Duration
	Drains   []Drain
	Actions  []GatewayAction
	Crowd    TrafficSpike  // lpctl prints it under this name
	After    time.Duration // time for which the run continues after the outage
}

// Drain makes a number of workers drain. They keep running until the end of the outage, unless they are replaced.
type Drain struct {
	At      time.Duration // at least -outageLead
	Workers int
	Replace bool // after replaceDelay, the workers end and new ones start at their addresses
}

// GatewayAction is an action on one gateway during an outage.
type GatewayAction struct {
	At      time.Duration
	Gateway int // index of the gateway
	Kind    ActionKind
}

// ActionKind is the kind of a GatewayAction.
type ActionKind string

// The kinds of actions.
const (
	Restart       ActionKind = "restart"        // SIGTERM, then a new incarnation
	SignalSeries  ActionKind = "signal series"  // SIGHUP and SIGTERM, more than once, then a new incarnation
	Kill          ActionKind = "kill"           // SIGKILL, then a new incarnation
	MoveDiscovery ActionKind = "move discovery" // another discovery address in the configuration, then SIGHUP
	Suspend       ActionKind = "suspend"        // SIGSTOP, then SIGCONT after suspendDuration
	ShortContact  ActionKind = "short contact"  // the discovery service is reachable for contactTime
)

const (
	// suspendDuration is longer than the drain grace.
	suspendDuration = 1200 * time.Millisecond
	// outageLead is the time between the start of the plan and the start of the outage.
	outageLead = time.Second
	// contactTime is the duration of a short contact: enough for a few polls.
	contactTime = time.Second
	// replaceDelay is the time for which workers drain before new ones replace them at their addresses.
	replaceDelay = 1500 * time.Millisecond
	// outageStream is the random number stream of a planned outage.
	outageStream = 4
)

func (f OutageForm) fault() faultproxy.Fault {
	if f == PollsUnanswered {
		return faultproxy.Fault{Blackhole: true}
	}
	return faultproxy.Fault{Reject: true}
}

// Bounds of randomly generated outages.
const (
	// MinOutage is the minimum length.
	MinOutage   = 8 * time.Second
	maxOutage   = 30 * time.Second
	maxActions  = 5
	maxDrained  = 2
	spikeFactor = 6
	afterOutage = 3 * time.Second
	shortWait   = 700 * time.Millisecond
)

// RandomOutage generates a random outage from a seed. It lasts from MinOutage up to longest (MinOutage if longest is
// shorter) and affects one or all of the gateways, with drains before it, early and late in it, and with random actions
// of all kinds on gateways; some outages have a traffic spike. wait is the longest time limit of requests
// (Options.MaxWait): shortWait in some outages, 0 in the others.
func RandomOutage(seed uint64, gateways int, longest time.Duration) (outage Outage, wait time.Duration) {
	random := rand.New(rand.NewPCG(seed, outageStream))
	outage = Outage{
		Form:   []OutageForm{ConnectionsReset, PollsUnanswered}[random.IntN(2)],
		Length: randomDuration(random, MinOutage, max(longest, MinOutage+1)),
		After:  afterOutage,
	}
	if random.IntN(4) == 0 {
		outage.Gateways = 1
	}
	for _, at := range []time.Duration{
		-randomDuration(random, 0, outageLead),
		randomDuration(random, 0, 2*time.Second),
		randomDuration(random, MinOutage-time.Second, outage.Length),
	} {
		outage.Drains = append(outage.Drains,
			Drain{At: at, Workers: random.IntN(maxDrained + 1), Replace: random.IntN(3) == 0})
	}
	kinds := []ActionKind{Restart, SignalSeries, Kill, MoveDiscovery, Suspend, ShortContact}
	for range random.IntN(maxActions + 1) {
		outage.Actions = append(outage.Actions, GatewayAction{
			At:      randomDuration(random, 0, outage.Length),
			Gateway: random.IntN(gateways),
			Kind:    kinds[random.IntN(len(kinds))],
		})
	}
	if random.IntN(3) == 0 {
		outage.Crowd = TrafficSpike{
			At:     randomDuration(random, 0, outage.Length),
			Length: 2 * time.Second,
			Factor: spikeFactor,
		}
	}
	if random.IntN(3) == 0 {
		wait = shortWait
	}
	return outage, wait
}

// playOutage runs a planned outage after the warm-up.
func (r *run) playOutage(ctx context.Context, plan Outage) {
	runBegan := time.Now()
	sleep(ctx, r.options.WarmUp)
	affected := r.gateways
	if plan.Gateways > 0 {
		affected = r.gateways[:plan.Gateways]
	}
	r.logf("outage, %s, for %d gateways", plan.Form, len(affected))
	outageBegan := time.Now().Add(outageLead)
	waitForActions := r.playOutageActions(ctx, plan, outageBegan)
	sleep(ctx, time.Until(outageBegan))
	cutDiscovery(affected, plan.Form)
	sleep(ctx, time.Until(outageBegan.Add(plan.Length)))
	drainingWorkers := waitForActions()
	restoreDiscovery(r.gateways, discoveryRecovery)
	outageEnded := time.Now()
	r.logf("outage ended")
	r.removeWorkers(drainingWorkers)
	sleep(ctx, plan.After)
	r.checker.setOutage(runBegan, outageBegan, outageEnded)
}

// cutDiscovery makes the discovery service unreachable for gateways.
func cutDiscovery(gateways []*gatewayProcess, form OutageForm) {
	for _, gateway := range gateways {
		gateway.beginOutage()
		gateway.discoveryUplink.SetFault(form.fault())
		if form == ConnectionsReset {
			gateway.discoveryUplink.Reset()
		}
	}
}

// restoreDiscovery ends the current outages of gateways. Their notifications may still be late during recovery.
func restoreDiscovery(gateways []*gatewayProcess, recovery time.Duration) {
	for _, gateway := range gateways {
		gateway.endOutages(recovery)
		gateway.discoveryUplink.SetFault(faultproxy.Fault{})
		gateway.discoveryUplink.Reset()
	}
}

// playOutageActions starts the drains and actions of a plan at their times. wait waits for all of them, and returns the
// draining workers that haven't been replaced.
func (r *run) playOutageActions(ctx context.Context, plan Outage, outageBegan time.Time) (wait func() []*worker) {
	var playing sync.WaitGroup
	playing.Go(func() {
		sleep(ctx, time.Until(outageBegan))
		r.rateMultiplier.play(ctx, plan.Crowd)
	})
	var mu sync.Mutex
	var draining []*worker
	for i, drain := range plan.Drains {
		random := rand.New(rand.NewPCG(r.options.Seed, outageStream+uint64(i)<<8))
		playing.Go(func() {
			sleep(ctx, time.Until(outageBegan.Add(drain.At)))
			mu.Lock()
			workers := r.randomUpWorkers(random, drain.Workers)
			r.logf("draining %d workers", len(workers))
			r.publishState(workers, discovery.Draining)
			if !drain.Replace {
				draining = append(draining, workers...)
			}
			mu.Unlock()
			if drain.Replace {
				sleep(ctx, replaceDelay)
				r.replaceAtAddress(workers, random)
			}
		})
	}
	for _, action := range plan.Actions {
		playing.Go(func() {
			sleep(ctx, time.Until(outageBegan.Add(action.At)))
			r.performAction(ctx, plan, action)
		})
	}
	return func() []*worker {
		playing.Wait()
		return draining
	}
}

// performAction performs an action on its gateway, unless a fault has claimed the gateway or it isn't accepting
// requests.
func (r *run) performAction(ctx context.Context, plan Outage, action GatewayAction) {
	gateway := r.gateways[action.Gateway%len(r.gateways)]
	if !gateway.isAccepting() || !gateway.claim() {
		return
	}
	defer gateway.release()
	r.logf("%s %s", action.Kind, gateway.name)
	random := rand.New(rand.NewPCG(r.options.Seed, outageStream+uint64(action.At)))
	switch action.Kind {
	case Restart:
		r.stopGateway(ctx, gateway, random)
	case SignalSeries:
		r.stopUnderReloads(ctx, gateway, random)
	case Kill:
		r.crashGateway(ctx, gateway, random)
	case MoveDiscovery:
		r.move(gateway, false)
	case Suspend:
		endExcuse := gateway.beginLossExcuse()
		gateway.signal(syscall.SIGSTOP)
		sleep(ctx, suspendDuration)
		gateway.signal(syscall.SIGCONT)
		endExcuse()
	case ShortContact:
		if gateway.inOutage() {
			restoreDiscovery([]*gatewayProcess{gateway}, contactTime)
			sleep(ctx, contactTime)
			cutDiscovery([]*gatewayProcess{gateway}, plan.Form)
		}
	}
}

// inOutage reports whether the discovery service is unreachable for the gateway.
func (g *gatewayProcess) inOutage() bool {
	g.checker.mu.Lock()
	defer g.checker.mu.Unlock()
	return slices.ContainsFunc(g.outages, func(outage *span) bool { return outage.to.IsZero() })
}

// endOutages ends the current outages; for the rules, they last for the given time longer.
func (g *gatewayProcess) endOutages(within time.Duration) {
	g.checker.mu.Lock()
	defer g.checker.mu.Unlock()
	for _, outage := range g.outages {
		if outage.to.IsZero() {
			outage.to = time.Now().Add(within)
		}
	}
}

// randomUpWorkers returns up to count random workers that aren't draining. At least minWorkers are always left out.
func (r *run) randomUpWorkers(random *rand.Rand, count int) (selected []*worker) {
	var up []*worker
	for _, w := range r.listedWorkers() {
		if w.drainStart().IsZero() {
			up = append(up, w)
		}
	}
	random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:max(0, min(count, len(up)-minWorkers))]
}

// replaceAtAddress ends workers, and starts new ones at their addresses.
func (r *run) replaceAtAddress(workers []*worker, random *rand.Rand) {
	r.removeWorkers(workers)
	for _, w := range workers {
		r.logf("new worker at the address of %s", w.endpoint.Name)
		r.addWorker(random, "", w.endpoint.Addr, true)
	}
}

// removeWorkers publishes the removal of workers, and ends them.
func (r *run) removeWorkers(workers []*worker) {
	r.publishState(workers, discovery.Removed)
	for _, w := range workers {
		w.crash()
	}
}
