package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines of a log wait for their reader.
const maxQueuedLines = 1024

// LossyWriter writes lines to something that may block or fail, such as a pipe whose reader has stopped or ended, and
// never blocks who writes them: lines that the queue has no space for are dropped and counted.
type LossyWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when no more lines are written to out
}

// NewLossyWriter returns a LossyWriter to out; Close ends it.
func NewLossyWriter(out io.Writer) *LossyWriter {
	w := &LossyWriter{
		out:   out,
		lines: make(chan []byte, maxQueuedLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line. It never fails.
func (w *LossyWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that the queue had no space for, or that could not be written.
func (w *LossyWriter) Dropped() int64 { return w.dropped.Load() }

// run writes lines until Close, and then those that are queued.
func (w *LossyWriter) run() {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			reported = w.write(line, reported)
		case <-w.stop:
			for len(w.lines) > 0 {
				reported = w.write(<-w.lines, reported)
			}
			return
		}
	}
}

// write writes a line, and a report of lines that were dropped if there are more than were reported. It returns how
// many are reported now.
func (w *LossyWriter) write(line []byte, reported int64) int64 {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
		return reported
	}
	dropped := w.dropped.Load()
	if dropped == reported {
		return reported
	}
	_, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-reported)
	if err != nil {
		return reported
	}
	return dropped
}

// Close writes what is queued, for at most a duration. Lines written after it are dropped.
func (w *LossyWriter) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
