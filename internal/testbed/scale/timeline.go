package scale

import (
	"context"
	"fmt"
	"time"
)

// firstSpan is the name of the span before the first row of the timeline.
const firstSpan = "steady"

// runTimeline executes the rows of the timeline and takes samples until the duration of the run has elapsed. It returns
// a span for the time before the first row and one for each row.
func (r *run) runTimeline(ctx context.Context) (spans []Span, err error) {
	start := time.Now()
	r.enterSpan(firstSpan)
	spanStart, err := r.totals()
	if err != nil {
		return nil, err
	}
	lastSample := spanStart
	ticker := time.NewTicker(r.plan.SampleInterval.Std())
	defer ticker.Stop()
	end := time.After(r.plan.Duration.Std())
	rows := r.plan.Timeline
	for {
		var rowDue <-chan time.Time
		if len(rows) > 0 {
			rowDue = time.After(time.Until(start.Add(rows[0].At.Std())))
		}
		over := false
		select {
		case <-ctx.Done():
			r.actionTasks.Wait()
			return spans, ctx.Err()
		case <-ticker.C:
		case <-rowDue:
		case <-end:
			over = true
		}
		now, err := r.totals()
		if err != nil {
			return spans, err
		}
		if err := r.sample(lastSample, now); err != nil {
			return spans, err
		}
		lastSample = now
		for over || len(rows) > 0 && time.Since(start) >= rows[0].At.Std() {
			spans = append(spans, r.plan.span(r.span, spanStart, now))
			spanStart = now
			if over {
				r.actionTasks.Wait()
				return spans, nil
			}
			r.startRow(ctx, rows[0])
			rows = rows[1:]
		}
	}
}

// startRow starts the action of a timeline row and the span of the row.
func (r *run) startRow(ctx context.Context, row TimelineRow) {
	r.enterSpan(fmt.Sprintf("%v %s", row.At.Std(), row.Action))
	r.actionTasks.Go(func() {
		if err := r.runAction(ctx, row); err != nil && ctx.Err() == nil {
			r.cancel(fmt.Errorf("%s: %w", row.Action, err))
		}
	})
}

func (r *run) enterSpan(span string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.span = span
}

// sample logs the measurements since the previous sample. It returns ErrTooLarge if the processes use too much memory.
func (r *run) sample(from, to totals) error {
	span := r.plan.span(r.span, from, to)
	if span.Seconds <= 0 {
		return nil
	}
	r.peakBytes, r.minIdle = max(r.peakBytes, to.allBytes), min(r.minIdle, span.MachineIdle)
	r.options.Log.Info("sample", "at", time.Since(r.startedAt).Seconds(), "span", span)
	if to.allBytes > r.options.MaxBytes {
		return fmt.Errorf("%w: the processes use %d MiB, the limit is %d MiB", ErrTooLarge, to.allBytes>>20,
			r.options.MaxBytes>>20)
	}
	return nil
}
