package fleetindex_test

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"testing"

	"lupinpond/internal/base/random"
	"lupinpond/scheduler/internal/fleetindex"
)

// placement returns the worker that a function is placed on, among workers of equal weight.
type placement func(function uint64) int

// placements lists the candidate algorithms for the order of workers that all gateways share. make returns a placement
// on the workers with the given numbers.
var placements = []struct {
	name string
	make func(workers []int) placement
}{
	{"rendezvous-all", rendezvous},
	{"ring-16-points", func(workers []int) placement { return virtualNodes(workers, 16) }},
	{"ring-64-points", func(workers []int) placement { return virtualNodes(workers, 64) }},
	{"hierarchical", hierarchical},
	{"bounded-scan-64", func(workers []int) placement { return boundedScan(workers, 64) }},
	{"probes-21", func(workers []int) placement { return probes(workers, 21) }},
	{"probes-64", func(workers []int) placement { return probes(workers, 64) }},
}

// hashWorker returns the hash of a worker's name.
func hashWorker(worker int) uint64 { return random.Hash(fmt.Sprint("worker-", worker)) }

// rendezvous implements rendezvous hashing, which scores every worker for each function.
func rendezvous(workers []int) placement {
	hashes := make([]uint64, len(workers))
	for i, worker := range workers {
		hashes[i] = hashWorker(worker)
	}
	return func(function uint64) int {
		best, bestScore, salt := 0, uint64(0), random.Mix(function)
		for i, hash := range hashes {
			if score := random.Mix(hash ^ salt); score > bestScore {
				best, bestScore = i, score
			}
		}
		return workers[best]
	}
}

// point is a position of a worker on a hash ring.
type point struct {
	at     uint64
	worker int
}

// sortByPosition sorts points in place and returns them.
func sortByPosition(points []point) []point {
	slices.SortFunc(points, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return points
}

// firstFrom returns the index of the first of the sorted points at or after a position, wrapping around.
func firstFrom(points []point, at uint64) int {
	return sort.Search(len(points), func(i int) bool { return points[i].at >= at }) % len(points)
}

// virtualNodes implements consistent hashing on a ring on which every worker has several points.
func virtualNodes(workers []int, pointsPerWorker int) placement {
	var points []point
	for _, worker := range workers {
		at := hashWorker(worker)
		for range pointsPerWorker {
			at = random.Mix(at + 1)
			points = append(points, point{at, worker})
		}
	}
	sortByPosition(points)
	return func(function uint64) int { return points[firstFrom(points, random.Mix(function))].worker }
}

// hierarchical implements rendezvous hashing in two levels: first among 256 groups, weighted by their numbers of
// workers, then among the workers of the chosen group.
func hierarchical(workers []int) placement {
	groups := map[uint64][]int{}
	for _, worker := range workers {
		group := hashWorker(worker) >> 56
		groups[group] = append(groups[group], worker)
	}
	within := map[uint64]placement{}
	for group, members := range groups {
		within[group] = rendezvous(members)
	}
	return func(function uint64) int {
		best, bestScore, salt := uint64(0), math.Inf(1), random.Mix(function)
		for group := range uint64(256) {
			if size := len(groups[group]); size > 0 {
				hash := random.Mix(random.Mix(group+1) ^ salt)
				if score := -math.Log1p(-float64(hash>>11)/(1<<53)) / float64(size); score < bestScore {
					best, bestScore = group, score
				}
			}
		}
		return within[best](function)
	}
}

// boundedScan implements rendezvous hashing among the window workers that follow the function's position on a ring with
// one point per worker.
func boundedScan(workers []int, window int) placement {
	var points []point
	for _, worker := range workers {
		points = append(points, point{hashWorker(worker), worker})
	}
	sortByPosition(points)
	return func(function uint64) int {
		best, bestScore, salt := 0, uint64(0), random.Mix(function)
		from := firstFrom(points, salt)
		for i := range min(window, len(points)) {
			p := points[(from+i)%len(points)]
			if score := random.Mix(p.at ^ salt); score >= bestScore {
				best, bestScore = p.worker, score
			}
		}
		return best
	}
}

// probes implements multi-probe consistent hashing on a fleetindex.Ring.
func probes(workers []int, probeCount int) placement {
	ring, starts := &fleetindex.Ring[int]{}, make([]uint64, probeCount)
	for _, worker := range workers {
		ring.Add(worker, hashWorker(worker))
	}
	return func(function uint64) int {
		at := random.Mix(function)
		for i := range starts {
			at = random.Mix(at + 1)
			starts[i] = at
		}
		ring.Walk(starts)
		worker, _, _ := ring.Peek()
		return worker
	}
}

// BenchmarkPlacements compares the placement algorithms by
//   - the time per placement,
//   - the distribution of functions over workers of equal weight: the count at the busiest worker divided by the mean,
//     and the relative standard deviation of the counts, less the variance expected from random placement,
//   - the number of functions that move when one worker in a hundred is removed, divided by the number of functions
//     that were placed on the removed workers.
func BenchmarkPlacements(b *testing.B) {
	for _, size := range []int{120, 400, 4000, 43000} {
		for _, p := range placements {
			b.Run(fmt.Sprintf("%s/workers=%d", p.name, size), func(b *testing.B) {
				workers, remaining := make([]int, size), []int{}
				for i := range workers {
					if workers[i] = i; i%100 > 0 {
						remaining = append(remaining, i)
					}
				}
				place, placeRemaining := p.make(workers), p.make(remaining)
				function := uint64(0)
				for b.Loop() {
					place(function)
					function++
				}
				if size > 4000 { // placing 860,000 functions on 43,000 workers would take minutes
					return
				}
				s := spreadOf(size, place, placeRemaining)
				b.ReportMetric(s.busiest, "busiest/mean")
				b.ReportMetric(s.deviation, "deviation")
				b.ReportMetric(s.moved, "moved/own")
			})
		}
	}
}

// spread is the measured distribution of functions, and the share that moves when workers are removed.
type spread struct{ busiest, deviation, moved float64 }

// spreadOf places 20 functions per worker on all workers with place, and on all but each hundredth worker with
// placeRemaining.
func spreadOf(size int, place, placeRemaining placement) (s spread) {
	functions := 20 * size
	counts, moved, fromRemoved := make([]float64, size), 0.0, 0.0
	for function := range uint64(functions) {
		before := place(function)
		counts[before]++
		if before%100 == 0 {
			fromRemoved++
		}
		if placeRemaining(function) != before {
			moved++
		}
	}
	mean, sum := float64(functions)/float64(size), 0.0
	for _, n := range counts {
		sum += (n/mean - 1) * (n/mean - 1)
	}
	return spread{slices.Max(counts) / mean, math.Sqrt(max(0, sum/float64(size)-1/mean)), moved / fromRemoved}
}
