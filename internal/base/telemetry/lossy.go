package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queuedLines is how many lines of a log wait for their reader.
const queuedLines = 1024

// Lossy writes lines to something that may block or fail, such as a pipe whose reader stands still or is gone, and never makes who
// writes them wait: lines that find no room are dropped and counted.
type Lossy struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{} // closed by Close
	ended   chan struct{}
}

// NewLossy makes one; Close ends it.
func NewLossy(out io.Writer) *Lossy {
	l := &Lossy{out: out, lines: make(chan []byte, queuedLines), stop: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Write queues a line. It never fails.
func (l *Lossy) Write(line []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that found no room, or could not be written.
func (l *Lossy) Dropped() int64 { return l.dropped.Load() }

// run writes lines until Close, and then those that are queued.
func (l *Lossy) run() {
	defer close(l.ended)
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
func (l *Lossy) write(line []byte, told int64) int64 {
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
func (l *Lossy) Close(within time.Duration) {
	close(l.stop)
	select {
	case <-l.ended:
	case <-time.After(within):
	}
}
