package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// convergeTimeout is the time limit for gateways to apply the last change at the end of a run.
const convergeTimeout = 20 * time.Second

// totals collects the reports of all processes and returns their sums.
func (r *run) totals() (totals, error) {
	reports, err := r.reports(command{Report: true})
	if err != nil {
		return totals{}, err
	}
	return r.sum(reports)
}

// finalTotals is like totals and also returns the number of hollow gateways by digest of their endpoint list.
func (r *run) finalTotals() (t totals, lists map[string]int, err error) {
	reports, err := r.reports(command{Report: true, Final: true})
	if err != nil {
		return t, nil, err
	}
	lists = map[string]int{}
	for _, report := range reports {
		for digest, count := range report.Digests {
			lists[digest] += count
		}
	}
	t, err = r.sum(reports)
	return t, lists, err
}

// reports sends the command request to all children and returns their reports.
func (r *run) reports(request command) ([]*childReport, error) {
	children := r.children()
	reports := make([]*childReport, len(children))
	var group errgroup.Group
	for i, child := range children {
		group.Go(func() error {
			reply, err := child.pipe.call(request)
			reports[i] = reply.Report
			return err
		})
	}
	return reports, group.Wait()
}

// sum returns the sums of reports, the real gateways and this process.
func (r *run) sum(reports []*childReport) (t totals, err error) {
	t.at = time.Now()
	for _, report := range reports {
		t.add(report)
		r.mergeReport(report)
	}
	if err := r.addRealGateways(&t); err != nil {
		return t, err
	}
	own, err := ownReport()
	if err != nil {
		return t, err
	}
	t.allBytes += own.ResidentBytes
	return t, t.addMachine()
}

// addRealGateways adds the resource usage of the real gateways and the counters of their clients.
func (r *run) addRealGateways(t *totals) error {
	for i, gateway := range r.realGateways {
		pid := gateway.cmd.Process.Pid
		nanos, err := processorTime(pid)
		if err != nil {
			return err
		}
		residentBytes, descriptors, err := processState(pid)
		if err != nil {
			return err
		}
		t.realGatewayNanos += nanos
		t.realGatewayBytes += residentBytes
		t.realGatewayFDs += descriptors
		t.allBytes += residentBytes
		t.realGateways.add(r.clients[i].counts())
	}
	return nil
}

// mergeReport records the times at which the gateways of a report applied changes.
func (r *run) mergeReport(report *childReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for change, times := range report.Applied {
		r.unmatchedApplied[change] = append(r.unmatchedApplied[change], times...)
	}
	for change, times := range r.unmatchedApplied {
		if published, known := r.published[change]; known { // else the reply to its publication is still pending
			r.recordApplied(change, published, times)
			delete(r.unmatchedApplied, change)
		}
	}
}

// recordApplied records the time from the publication of a change until some gateways applied it. The caller holds
// r.mu.
func (r *run) recordApplied(change int64, published publication, times []applyTime) {
	if r.applied[published.span] == nil {
		r.applied[published.span] = newHistogram()
	}
	for _, applied := range times {
		if time.Unix(0, applied.StartedAt).After(published.at) { // not measured: the gateway started after the publication
			continue
		}
		delay := max(0, time.Unix(0, applied.At).Sub(published.at))
		r.longestDelay[change] = max(r.longestDelay[change], delay)
		recordLatency(r.applied[published.span], delay)
	}
}

// finish waits until all hollow gateways have applied the last change, at most convergeTimeout, and completes the
// result. It returns ErrListMismatch if the endpoint lists still differ or if changes were applied out of order.
func (r *run) finish(ctx context.Context, result *Result) error {
	deadline := time.Now().Add(convergeTimeout)
	for {
		t, lists, err := r.finalTotals()
		if err != nil {
			return err
		}
		result.Lists, result.ExpectedList = lists, t.discovery.Digest
		result.OutOfOrder, result.Real = t.gateways.OutOfOrder, t.realGateways
		result.Changes = len(r.published)
		result.PeakMiB, result.MinIdle = float64(r.peakBytes)/(1<<20), r.minIdle
		if result.AllAgree(r.plan.Gateways.Hollow) || time.Now().After(deadline) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(idlePollInterval):
		}
	}
	if err := r.addLatencies(result); err != nil {
		return err
	}
	if !result.AllAgree(r.plan.Gateways.Hollow) {
		return fmt.Errorf("%w: %d changes out of order, gateways by list %v, list of the service %s",
			ErrListMismatch, result.OutOfOrder, result.Lists, result.ExpectedList)
	}
	return nil
}

// addLatencies adds the measured latencies of requests and changes to the result.
func (r *run) addLatencies(result *Result) error {
	for _, child := range r.hollowGateways {
		reply, err := child.pipe.call(command{Report: true})
		if err != nil {
			return err
		}
		r.mergeReport(reply.Report)
		err = errors.Join(mergeEncoded(r.warm, reply.Report.Warm), mergeEncoded(r.cold, reply.Report.Cold))
		if err != nil {
			return err
		}
	}
	warm, cold := newHistogram(), newHistogram()
	for _, c := range r.clients {
		c.mu.Lock()
		warm.Merge(c.warm)
		cold.Merge(c.cold)
		c.mu.Unlock()
	}
	result.Warm, result.Cold = delayOf(r.warm), delayOf(r.cold)
	result.RealWarm, result.RealCold = delayOf(warm), delayOf(cold)
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Applied, result.AppliedEverywhere = map[string]Delay{}, map[string]Delay{}
	everywhere := r.appliedEverywhere()
	for span, histogram := range r.applied {
		result.Applied[span], result.AppliedEverywhere[span] = delayOf(histogram), delayOf(everywhere[span])
	}
	return nil
}

// appliedEverywhere returns, by span, the times from the publication of each change until all gateways had applied it.
// The caller holds r.mu.
func (r *run) appliedEverywhere() map[string]*hdrhistogram.Histogram {
	histograms := map[string]*hdrhistogram.Histogram{}
	for span := range r.applied {
		histograms[span] = newHistogram()
	}
	for change, delay := range r.longestDelay {
		recordLatency(histograms[r.published[change].span], delay)
	}
	return histograms
}
