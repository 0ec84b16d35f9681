package scale

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/gateway/discovery"
)

// runAction carries out one row of the timeline and returns when it is over.
func (r *run) runAction(ctx context.Context, row TimelineRow) error {
	switch row.Action {
	case Drain:
		return r.spread(ctx, row, func(worker int) error { return r.drain(ctx, row.Duration.Std(), worker) })
	case Replace:
		return r.spread(ctx, row, func(worker int) error { return r.replace([]int{worker}) })
	case StopWorkers:
		first := r.draw(r.plan.Workers.Count - row.Count + 1)
		return r.stopWorkers(ctx, row.Duration.Std(), upTo(first, row.Count, 1))
	case SilenceZone:
		zones := r.plan.Workers.Zones
		return r.silence(ctx, row.Duration.Std(), upTo(row.Zone, (r.plan.Workers.Count-row.Zone+zones-1)/zones, zones))
	case StopList:
		return r.stopDiscovery(ctx, row.Duration.Std())
	case RestartGateways:
		return r.restartGateways(row.Count, false)
	case RestartEmpty:
		return r.restartGateways(row.Count, true)
	default:
		return r.changeRate(row.Rate)
	}
}

// upTo is count numbers from first on, each step apart.
func upTo(first, count, step int) []int {
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = first + i*step
	}
	return numbers
}

func (r *run) draw(below int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(below)
}

// spread does something to Count workers, drawn without one twice, over the row's time.
func (r *run) spread(ctx context.Context, row TimelineRow, do func(worker int) error) error {
	r.mu.Lock()
	workers := r.random.Perm(r.plan.Workers.Count)[:row.Count]
	r.mu.Unlock()
	var g errgroup.Group
	for i, worker := range workers {
		if i > 0 && row.SpreadOver > 0 {
			if err := httpserver.Sleep(ctx, row.SpreadOver.Std()/time.Duration(row.Count)); err != nil {
				return err
			}
		}
		g.Go(func() error { return do(worker) })
	}
	return g.Wait()
}

// publish tells one change of the list.
func (r *run) publish(lines []discovery.Endpoint) error {
	reply, err := r.discovery.pipe.call(command{Publish: lines})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published[reply.Position] = published{time.Unix(0, reply.At), r.span}
	return nil
}

// commandWorkers has the processes of some workers carry out a command, and tells the lines of those that started.
func (r *run) commandWorkers(workers []int, make func(mine []int) command) (lines []discovery.Endpoint, err error) {
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
		reply, err := p.pipe.call(make(perProcess[p]))
		if err != nil {
			return lines, err
		}
		lines = append(lines, reply.Workers...)
	}
	return lines, nil
}

// processOf finds the process of a worker; the first ones have one worker more where they can't share evenly.
func (r *run) processOf(worker int) *process {
	each, more := r.plan.Workers.Count/len(r.workers), r.plan.Workers.Count%len(r.workers)
	if worker < more*(each+1) {
		return r.workers[worker/(each+1)]
	}
	return r.workers[more+(worker-more*(each+1))/each]
}

// endpoint is what was published of a worker last.
func (r *run) endpoint(worker int) discovery.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[worker]
}

// removals are the lines that take workers off the list.
func (r *run) removals(workers []int) (lines []discovery.Endpoint) {
	for _, worker := range workers {
		line := r.endpoint(worker)
		line.State = discovery.Removed
		lines = append(lines, line)
	}
	return lines
}

func (r *run) setEndpoint(worker int, line discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints[worker] = line
}

func (r *run) drain(ctx context.Context, lasts time.Duration, worker int) error {
	line := r.endpoint(worker)
	line.State = discovery.Draining
	if err := r.publish([]discovery.Endpoint{line}); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, lasts); err != nil {
		return err
	}
	if r.endpoint(worker).Name != line.Name { // another one has taken its place meanwhile
		return nil
	}
	line.State = discovery.Up
	return r.publish([]discovery.Endpoint{line})
}

// replace has other workers, empty and cold, take the places of some, in one change.
func (r *run) replace(workers []int) error {
	started, err := r.commandWorkers(workers, func(mine []int) command { return command{Start: mine} })
	if err != nil {
		return err
	}
	change := append(r.removals(workers), started...)
	r.setEndpoints(workers, started)
	return r.publish(change)
}

// setEndpoints notes the lines of workers that started; processes answer in the order of their first worker.
func (r *run) setEndpoints(workers []int, started []discovery.Endpoint) {
	byCell := map[int]discovery.Endpoint{}
	for _, line := range started {
		byCell[workerNumber(line)] = line
	}
	for _, worker := range workers {
		r.setEndpoint(worker, byCell[worker])
	}
}

// stopWorkers stops workers next to each other; the list tells it at once, and again when they are back.
func (r *run) stopWorkers(ctx context.Context, lasts time.Duration, workers []int) error {
	if _, err := r.commandWorkers(workers, func(mine []int) command { return command{Stop: mine} }); err != nil {
		return err
	}
	if err := r.publish(r.removals(workers)); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, lasts); err != nil {
		return err
	}
	started, err := r.commandWorkers(workers, func(mine []int) command { return command{Start: mine} })
	if err != nil {
		return err
	}
	r.setEndpoints(workers, started)
	return r.publish(started)
}

// silence has workers answer nothing; the list tells nothing until they are back, empty and cold.
func (r *run) silence(ctx context.Context, lasts time.Duration, workers []int) error {
	if _, err := r.commandWorkers(workers, func(mine []int) command { return command{Silence: mine} }); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, lasts); err != nil {
		return err
	}
	return r.replace(workers)
}

func (r *run) stopDiscovery(ctx context.Context, lasts time.Duration) error {
	away := true
	if _, err := r.discovery.pipe.call(command{Unavailable: &away}); err != nil {
		return err
	}
	if err := httpserver.Sleep(ctx, lasts); err != nil {
		return err
	}
	away = false
	_, err := r.discovery.pipe.call(command{Unavailable: &away})
	return err
}

// restartGateways restarts hollow front ends, in all processes alike.
func (r *run) restartGateways(count int, empty bool) error {
	var g errgroup.Group
	for i, p := range r.hollowGateways {
		mine := count/len(r.hollowGateways) + min(1, max(0, count%len(r.hollowGateways)-i))
		if mine > 0 {
			g.Go(func() error {
				_, err := p.pipe.call(command{Restart: mine, WithoutList: empty})
				return err
			})
		}
	}
	return g.Wait()
}

func (r *run) changeRate(rate float64) error {
	r.rate.Store(rateBits(rate))
	var g errgroup.Group
	for _, p := range r.hollowGateways {
		g.Go(func() error {
			_, err := p.pipe.call(command{Rate: &rate})
			return err
		})
	}
	return g.Wait()
}
