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

// placement gives the first worker of a function among the workers of one size that it was made from.
type placement func(function uint64) int

// placements are the candidates for the order that all gateways share. Each makes a placement of the workers whose
// numbers it is given.
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

func hashOf(worker int) uint64 { return random.Hash(fmt.Sprint("worker-", worker)) }

// rendezvous scores every worker.
func rendezvous(workers []int) placement {
	hashes := make([]uint64, len(workers))
	for i, worker := range workers {
		hashes[i] = hashOf(worker)
	}
	return func(function uint64) int {
		best, most, salt := 0, uint64(0), random.Mix(function)
		for i, hash := range hashes {
			if score := random.Mix(hash ^ salt); score > most {
				best, most = i, score
			}
		}
		return workers[best]
	}
}

type point struct {
	at     uint64
	worker int
}

func sorted(points []point) []point {
	slices.SortFunc(points, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return points
}

func after(points []point, at uint64) int {
	return sort.Search(len(points), func(i int) bool { return points[i].at >= at }) % len(points)
}

// virtualNodes is a ring on which every worker has several points.
func virtualNodes(workers []int, each int) placement {
	var points []point
	for _, worker := range workers {
		at := hashOf(worker)
		for range each {
			at = random.Mix(at + 1)
			points = append(points, point{at, worker})
		}
	}
	sorted(points)
	return func(function uint64) int { return points[after(points, random.Mix(function))].worker }
}

// hierarchical is rendezvous hashing among 256 groups by their numbers of workers, then within one.
func hierarchical(workers []int) placement {
	groups := map[uint64][]int{}
	for _, worker := range workers {
		group := hashOf(worker) >> 56
		groups[group] = append(groups[group], worker)
	}
	within := map[uint64]placement{}
	for group, members := range groups {
		within[group] = rendezvous(members)
	}
	return func(function uint64) int {
		best, least, salt := uint64(0), math.Inf(1), random.Mix(function)
		for group := range uint64(256) {
			if size := len(groups[group]); size > 0 {
				drawn := random.Mix(random.Mix(group+1) ^ salt)
				if score := -math.Log1p(-float64(drawn>>11)/(1<<53)) / float64(size); score < least {
					best, least = group, score
				}
			}
		}
		return within[best](function)
	}
}

// boundedScan is rendezvous hashing among the next few workers of a ring with one point each.
func boundedScan(workers []int, window int) placement {
	var points []point
	for _, worker := range workers {
		points = append(points, point{hashOf(worker), worker})
	}
	sorted(points)
	return func(function uint64) int {
		best, most, salt := 0, uint64(0), random.Mix(function)
		from := after(points, salt)
		for i := range min(window, len(points)) {
			p := points[(from+i)%len(points)]
			if score := random.Mix(p.at ^ salt); score >= most {
				best, most = p.worker, score
			}
		}
		return best
	}
}

// probes is multi-probe consistent hashing on the project's own ring.
func probes(workers []int, number int) placement {
	ring, starts := &fleetindex.Ring[int]{}, make([]uint64, number)
	for _, worker := range workers {
		ring.Add(worker, hashOf(worker))
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

// BenchmarkPlacements compares the placements: time of one, how evenly functions spread over workers of one size (the
// busiest worker over the mean, and the standard deviation less what chance alone gives), and how many functions move
// when one worker in a hundred is removed, over those that were at these workers.
func BenchmarkPlacements(b *testing.B) {
	for _, size := range []int{120, 400, 4000, 43000} {
		for _, p := range placements {
			b.Run(fmt.Sprintf("%s/workers=%d", p.name, size), func(b *testing.B) {
				workers, staying := make([]int, size), []int{}
				for i := range workers {
					if workers[i] = i; i%100 > 0 {
						staying = append(staying, i)
					}
				}
				place, fewer := p.make(workers), p.make(staying)
				function := uint64(0)
				for b.Loop() {
					place(function)
					function++
				}
				if size > 4000 { // 860,000 functions by 43,000 workers would take minutes
					return
				}
				s := spreadOf(size, place, fewer)
				b.ReportMetric(s.busiest, "busiest/mean")
				b.ReportMetric(s.deviation, "deviation")
				b.ReportMetric(s.moved, "moved/own")
			})
		}
	}
}

// spread is how evenly functions lie, and how many move.
type spread struct{ busiest, deviation, moved float64 }

// spreadOf places 20 functions a worker, also without each hundredth worker.
func spreadOf(size int, place, fewer placement) (s spread) {
	number := 20 * size
	counts, moved, own := make([]float64, size), 0.0, 0.0
	for function := range uint64(number) {
		before := place(function)
		counts[before]++
		if before%100 == 0 {
			own++
		}
		if fewer(function) != before {
			moved++
		}
	}
	mean, sum := float64(number)/float64(size), 0.0
	for _, n := range counts {
		sum += (n/mean - 1) * (n/mean - 1)
	}
	return spread{slices.Max(counts) / mean, math.Sqrt(max(0, sum/float64(size)-1/mean)), moved / own}
}
