package checker

import "time"

// checkLoadRate checks rule 5: in each window that ends with a load request, a gateway sends at most
// Burst + PerRequest * requests load requests, where requests counts the requests accepted in the same window.
func (e *evaluation) checkLoadRate() {
	limit := e.fleet.LoadPolicy.RateLimit
	window := limit.Window.Std()
	if window <= 0 {
		return
	}
	requests, loads := map[*GatewayCapture][]time.Duration{}, map[*GatewayCapture][]time.Duration{}
	for _, request := range e.traffic.requests {
		if !request.notAccepted {
			requests[request.gateway] = append(requests[request.gateway], request.receivedAt)
		}
	}
	for _, load := range e.traffic.loadRequests {
		if load.frame.Replicas <= 0 {
			continue
		}
		e.Checked[ruleLoadRate]++
		loads[load.gateway] = append(loads[load.gateway], load.begin)
		count := countWithin(loads[load.gateway], load.begin, window)
		allowed := limit.Burst + limit.PerRequest*float64(countWithin(requests[load.gateway], load.begin, window))
		if float64(count) > allowed {
			e.violated(ruleLoadRate, load.place(), "%d load requests in %v, limit %.1f", count, window, allowed)
		}
	}
}

// countWithin returns how many of the times lie within the window that ends at end.
func countWithin(times []time.Duration, end, window time.Duration) (count int) {
	for _, at := range times {
		if at > end-window && at <= end {
			count++
		}
	}
	return count
}
