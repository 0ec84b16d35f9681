package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// convergeTimeout is how long gateways have, at the end, to apply the last change.
const convergeTimeout = 20 * time.Second

// totals asks every process what it has counted.
func (r *run) totals() (totals, error) {
	reports, err := r.reports(command{Report: true})
	if err != nil {
		return totals{}, err
	}
	return r.sum(reports)
}

// finalTotals asks for the endpoint lists too: gateways are counted by those that they have.
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

// reports asks every child for its report.
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

// sum adds up reports, the real gateways, and this process.
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

// addRealGateways adds what the real gateways and their clients have counted.
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

// mergeReport takes from a report when changes were applied.
func (r *run) mergeReport(report *childReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for change, times := range report.Applied {
		r.early[change] = append(r.early[change], times...)
	}
	for change, times := range r.early {
		if published, known := r.published[change]; known { // else the reply to its publication is on its way
			r.recordApplied(change, published, times)
			delete(r.early, change)
		}
	}
}

// recordApplied counts how long a change took to be applied at some gateways; r.mu is held.
func (r *run) recordApplied(change int64, published published, times []application) {
	if r.applied[published.span] == nil {
		r.applied[published.span] = newHistogram()
	}
	for _, application := range times {
		if time.Unix(0, application.StartedAt).After(published.at) { // it started later and catches up
			continue
		}
		delay := max(0, time.Unix(0, application.At).Sub(published.at))
		r.longestDelay[change] = max(r.longestDelay[change], delay)
		recordLatency(r.applied[published.span], delay)
	}
}

// finish waits until every gateway has applied the last change, and compares the endpoint lists.
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
		return fmt.Errorf("%w: %d changes out of order, lists %v, the service's %s", ErrListMismatch, result.OutOfOrder,
			result.Lists, result.ExpectedList)
	}
	return nil
}

// addLatencies adds to the result what the gateways have measured.
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

// appliedEverywhere is how long changes took to the last gateway, by span; r.mu is held.
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
