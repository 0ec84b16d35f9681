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

// LossyWriter writes lines to something that may block or fail, such as a pipe whose reader stands still or is gone, and never makes who
// writes them wait: lines that find no room are dropped and counted.
type LossyWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{} // closed by Close
	done    chan struct{}
}

// NewLossyWriter makes one; Close ends it.
func NewLossyWriter(out io.Writer) *LossyWriter {
	l := &LossyWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

// Write queues a line. It never fails.
func (l *LossyWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that found no room, or could not be written.
func (l *LossyWriter) Dropped() int64 { return l.dropped.Load() }

// run writes lines until Close, and then those that are queued.
func (l *LossyWriter) run() {
	defer close(l.done)
	told := int64(0)
	for {
		select {
		case line := <-l.lines:
			told = l.write(line, told)
		case <-l.stop:
			for len(l.lines) > 0 {
				told = l.write(<-l.lines, told)
			}
			return
		}
	}
}

// write writes a line, and tells of lines that were dropped beyond those that were told of.
func (l *LossyWriter) write(line []byte, told int64) int64 {
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1)
		return told
	}
	n := l.dropped.Load()
	if n == told {
		return told
	}
	if _, err := fmt.Fprintf(l.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-told); err != nil {
		return told
	}
	return n
}

// Close writes what is queued, for at most so long. What is written after it is dropped.
func (l *LossyWriter) Close(within time.Duration) {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(within):
	}
}
