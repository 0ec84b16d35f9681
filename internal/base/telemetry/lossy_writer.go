package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of log lines in the queue of a LossyWriter.
const maxQueuedLines = 1024

// LossyWriter is an io.Writer that never blocks, in front of a writer that may block or fail, such as a pipe whose
// reader is stopped or has exited. Lines are queued; those that do not fit in the queue are dropped and counted.
type LossyWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed after the last write to out
}

// NewLossyWriter returns a LossyWriter that writes to out. The caller must close it.
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

// Dropped returns the number of lines that were lost because the queue was full or writing them failed.
func (w *LossyWriter) Dropped() int64 { return w.dropped.Load() }

// run writes queued lines until Close is called, and then the lines that are left in the queue.
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

// write writes a line. If lines were dropped since the last report, it then reports their number in the log. reported
// is the number of dropped lines that are already reported; the new number is returned.
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

// Close writes the queued lines and returns when this is done or the timeout has elapsed. Lines that are passed to
// Write after Close are lost; Dropped counts only those of them that do not fit in the queue.
func (w *LossyWriter) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
