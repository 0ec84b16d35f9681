package scale

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway/discovery"
)

// runAction executes the action of a timeline row and returns when the action has ended.
func (r *run) runAction(ctx context.Context, row TimelineRow) error {
	duration := row.Duration.Std()
	switch row.Action {
	case Drain:
		return r.spread(ctx, row, func(worker int) error { return r.drain(ctx, duration, worker) })
	case Replace:
		return r.spread(ctx, row, func(worker int) error { return r.replace([]int{worker}) })
	case StopWorkers:
		first := r.randomIndex(r.plan.Workers.Count - row.Count + 1)
		return r.stopWorkers(ctx, duration, sequence(first, row.Count, 1))
	case SilenceZone:
		zones := r.plan.Workers.Zones
		count := (r.plan.Workers.Count - row.Zone + zones - 1) / zones
		return r.silence(ctx, duration, sequence(row.Zone, count, zones))
	case StopList:
		return r.stopDiscovery(ctx, duration)
	case RestartGateways:
		return r.restartGateways(row.Count, command{})
	case RestartEmpty:
		return r.restartGateways(row.Count, command{WithoutList: true})
	default:
		return r.changeRate(row.Rate)
	}
}

// sequence returns count numbers, starting at first, with a distance of step.
func sequence(first, count, step int) []int {
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = first + i*step
	}
	return numbers
}

// randomIndex returns a random number from 0 to below-1.
func (r *run) randomIndex(below int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(below)
}

// spread calls do for row.Count different random workers. The calls start at regular intervals over row.SpreadOver.
func (r *run) spread(ctx context.Context, row TimelineRow, do func(worker int) error) error {
	r.mu.Lock()
	workers := r.random.Perm(r.plan.Workers.Count)[:row.Count]
	r.mu.Unlock()
	var group errgroup.Group
	for i, worker := range workers {
		if i > 0 && row.SpreadOver > 0 {
			if err := httpserver.Sleep(ctx, row.SpreadOver.Std()/time.Duration(row.Count)); err != nil {
				return err
			}
		}
		group.Go(func() error { return do(worker) })
	}
	return group.Wait()
}

// publish publishes one change of the endpoint list.
func (r *run) publish(endpoints []discovery.Endpoint) error {
	reply, err := r.discovery.pipe.call(command{Publish: endpoints})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published[reply.Position] = publication{time.Unix(0, reply.At), r.span}
	return nil
}

// endpoint returns the last published endpoint of a worker.
func (r *run) endpoint(worker int) discovery.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[worker]
}

// setEndpoints records the endpoints of started workers, which may be in another order than workers.
func (r *run) setEndpoints(workers []int, started []discovery.Endpoint) {
	byWorker := map[int]discovery.Endpoint{}
	for _, endpoint := range started {
		byWorker[workerNumber(endpoint)] = endpoint
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range workers {
		r.endpoints[worker] = byWorker[worker]
	}
}

// removals returns endpoints with state Removed for workers, to publish their removal from the endpoint list.
func (r *run) removals(workers []int) (endpoints []discovery.Endpoint) {
	for _, worker := range workers {
		endpoint := r.endpoint(worker)
		endpoint.State = discovery.Removed
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// commandWorkers sends the command of commandFor to each process that runs some of the workers, one after the other. It
// returns the endpoints of the workers that were started.
func (r *run) commandWorkers(workers []int, commandFor func([]int) command) (started []discovery.Endpoint, err error) {
	perProcess := map[*process][]int{}
	var order []*process
	for _, worker := range workers {
		p := r.processOf(worker)
		if perProcess[p] == nil {
			order = append(order, p)
		}
		perProcess[p] = append(perProcess[p], worker)
	}
	for _, p := range order {
		reply, err := p.pipe.call(commandFor(perProcess[p]))
		if err != nil {
			return started, err
		}
		started = append(started, reply.Workers...)
	}
	return started, nil
}

// processOf returns the process of a worker, according to the distribution by shareOf.
func (r *run) processOf(worker int) *process {
	each, more := r.plan.Workers.Count/len(r.workers), r.plan.Workers.Count%len(r.workers)
	if worker < more*(each+1) {
		return r.workers[worker/(each+1)]
	}
	return r.workers[more+(worker-more*(each+1))/each]
}

func startCommand(workers []int) command { return command{Start: workers} }

func stopCommand(workers []int) command { return command{Stop: workers} }

func silenceCommand(workers []int) command { return command{Silence: workers} }

// drain publishes that a worker is draining, and after duration that it is in service again.
func (r *run) drain(ctx context.Context, duration time.Duration, worker int) error {
	endpoint := r.endpoint(worker)
	endpoint.State = discovery.Draining
	if err := r.publish([]discovery.Endpoint{endpoint}); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, duration); err != nil {
		return err
	}
	if r.endpoint(worker).Name != endpoint.Name { // the worker was replaced in the meantime
		return nil
	}
	endpoint.State = discovery.Up
	return r.publish([]discovery.Endpoint{endpoint})
}

// replace replaces workers by new incarnations without replicas, and publishes this as one change.
func (r *run) replace(workers []int) error {
	started, err := r.commandWorkers(workers, startCommand)
	if err != nil {
		return err
	}
	change := append(r.removals(workers), started...)
	r.setEndpoints(workers, started)
	return r.publish(change)
}

// stopWorkers stops workers and starts them again after duration. It publishes their removal after the stop, and their
// new endpoints after the start.
func (r *run) stopWorkers(ctx context.Context, duration time.Duration, workers []int) error {
	if _, err := r.commandWorkers(workers, stopCommand); err != nil {
		return err
	}
	if err := r.publish(r.removals(workers)); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, duration); err != nil {
		return err
	}
	started, err := r.commandWorkers(workers, startCommand)
	if err != nil {
		return err
	}
	r.setEndpoints(workers, started)
	return r.publish(started)
}

// silence makes workers unresponsive for duration and then replaces them. Until then nothing is published.
func (r *run) silence(ctx context.Context, duration time.Duration, workers []int) error {
	if _, err := r.commandWorkers(workers, silenceCommand); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, duration); err != nil {
		return err
	}
	return r.replace(workers)
}

func (r *run) stopDiscovery(ctx context.Context, duration time.Duration) error {
	if err := r.setDiscoveryUnavailable(true); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, duration); err != nil {
		return err
	}
	return r.setDiscoveryUnavailable(false)
}

func (r *run) setDiscoveryUnavailable(unavailable bool) error {
	_, err := r.discovery.pipe.call(command{Unavailable: &unavailable})
	return err
}

// restartGateways restarts count hollow gateways, distributed evenly over the processes, with the options of a command.
func (r *run) restartGateways(count int, restart command) error {
	var group errgroup.Group
	for i, p := range r.hollowGateways {
		own := restart
		own.Restart = shareOf(count, len(r.hollowGateways), i)
		if own.Restart == 0 {
			continue
		}
		group.Go(func() error {
			_, err := p.pipe.call(own)
			return err
		})
	}
	return group.Wait()
}

func (r *run) changeRate(rate float64) error {
	r.rate.set(rate)
	var group errgroup.Group
	for _, p := range r.hollowGateways {
		group.Go(func() error {
			_, err := p.pipe.call(command{Rate: &rate})
			return err
		})
	}
	return group.Wait()
}
