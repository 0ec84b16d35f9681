package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes one line for each thing that was sent, answered or run, with the time since the start of the run.
type record struct {
	mu    *sync.Mutex
	file  *os.File
	start time.Time
	name  string // put before each line
}

// named returns the same record with a name before each line.
func (r *record) named(name string) *record {
	return &record{mu: r.mu, file: r.file, start: r.start, name: name}
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	r := &record{mu: new(sync.Mutex), file: file, start: time.Now()}
	r.line("the run begins at %s", r.start.Format("15:04:05.000"))
	return r
}

// since returns the time since the start of the run.
func (r *record) since(at time.Time) time.Duration {
	return at.Sub(r.start).Round(100 * time.Microsecond)
}

func (r *record) line(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", now.Sub(r.start).Seconds(), r.name+fmt.Sprintf(format, args...))
}

// cannotRun ends the program with status 2: the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	endAll()
	os.Exit(2)
}
