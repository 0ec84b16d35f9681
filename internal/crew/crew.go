// Package crew starts and stops workers inside one process, for rehearsed days and for tests of front ends: imitation
// ones and the worker runtime, behind one interface, and the packages that the runtime ones load.
package crew

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lupinpond/internal/admit"
	"lupinpond/internal/config"
	"lupinpond/internal/keys"
	"lupinpond/internal/pack"
	"lupinpond/internal/standin"
	"lupinpond/internal/worker"
)

// Worker is a worker as a day plays it: an imitation one (standin.Worker), or the worker runtime (Runtime).
type Worker interface {
	Name() string
	Start(addr string, old bool) (at string, started time.Time, err error)
	Stop()
	Falls() int
	Trouble(func(*standin.Troubles))
	Silence(on bool)
	Reset()
	Goodbye()
	Release(function string)
}

// Releases is the packages of a store: every function of a catalogue, as the example program payroll.
type Releases struct {
	mu     sync.Mutex
	folder string
	binary string
	file   config.File
	number int
}

// NewReleases publishes every function of f into a folder; binary is the payroll program.
func NewReleases(folder, binary string, f config.File) (*Releases, error) {
	r := &Releases{folder: folder, binary: binary, file: f}
	for _, fn := range f.Functions {
		if err := r.Release(fn.Name); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Release publishes a function anew; the newest version is the last by name.
func (r *Releases) Release(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	for _, fn := range r.file.Functions {
		if fn.Name != name {
			continue
		}
		version := fmt.Sprintf("%06d", r.number)
		tmp := filepath.Join(r.folder, name, ".new")
		if err := os.MkdirAll(tmp, 0o755); err != nil {
			return err
		}
		b, err := os.ReadFile(r.binary)
		if err != nil {
			return fmt.Errorf("package of %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(tmp, "entry"), b, 0o755); err != nil {
			return err
		}
		if _, err := pack.Write(tmp, pack.Manifest{Name: name, Version: version, Type: fn.Type, Kind: pack.Process, Lanes: fn.Lanes,
			Memory: 64 << 20, Time: config.Time(30 * time.Second), Entry: "entry"}); err != nil {
			return err
		}
		return os.Rename(tmp, filepath.Join(r.folder, name, version))
	}
	return fmt.Errorf("no function %q", name)
}

// RuntimeOptions are what a Runtime is made from.
type RuntimeOptions struct {
	Name    string
	Folder  string // its own
	Store   *Releases
	Limits  admit.Limits
	Effects *os.File                    // gets the log of all copies
	Fetch   func(function string) error // see worker.Options
	Group   *keys.Group                 // see worker.Options
}

// Runtime is the worker runtime, started and stopped within this process.
type Runtime struct {
	o       RuntimeOptions
	mu      sync.Mutex
	w       *worker.Worker
	stop    context.CancelFunc
	ended   chan error
	trouble standin.Troubles
}

// NewRuntime makes one that is not started.
func NewRuntime(o RuntimeOptions) *Runtime { return &Runtime{o: o} }

// Name is the worker's name.
func (r *Runtime) Name() string { return r.o.Name }

// Start begins a life on addr; empty: any port. old has it say that it started long ago.
func (r *Runtime) Start(addr string, old bool) (string, time.Time, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := worker.New(worker.Options{Name: r.o.Name, Folder: r.o.Folder, Store: r.o.Store.folder, Launches: 256, Answer: 1 << 20,
		Ready: 20 * time.Second, Grace: time.Second, Sample: 500 * time.Millisecond, Effects: r.o.Effects, Fetch: r.o.Fetch,
		Group: r.o.Group, Limits: r.o.Limits})
	if err != nil {
		return "", time.Time{}, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", time.Time{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.w, r.stop, r.ended = w, stop, make(chan error, 1)
	ended := r.ended
	go func() { ended <- w.Run(ctx, listener) }()
	started := time.Now()
	if old { // the day begins with workers that the list has had for long
		started = started.Add(-24 * time.Hour)
	}
	return listener.Addr().String(), started, nil
}

// Stop ends the life; what ran is lost.
func (r *Runtime) Stop() {
	r.mu.Lock()
	stop, ended, w := r.stop, r.ended, r.w
	r.stop = nil
	r.mu.Unlock()
	if stop == nil {
		return
	}
	w.Silence(false)
	stop()
	<-ended
}

// Falls is 0: they are not played by the runtime: it is as cold as it is.
func (r *Runtime) Falls() int { return 0 }

// Trouble has it misbehave from now on.
func (r *Runtime) Trouble(change func(*standin.Troubles)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.trouble)
	t := r.trouble
	r.w.Trouble(func(x *worker.Troubles) {
		*x = worker.Troubles{Hang: t.Hang, Slow: t.Slow, Refuse: t.Refuse, Errors: t.Errors, FailLoads: t.FailLoads, Reports: t.Reports}
	})
}

func (r *Runtime) now() *worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.w
}

// Silence has it neither read nor write.
func (r *Runtime) Silence(on bool) { r.now().Silence(on) }

// Reset breaks its connections.
func (r *Runtime) Reset() { r.now().Reset() }

// Goodbye drains it.
func (r *Runtime) Goodbye() { r.now().Drain() }

// Release is done in the store for all workers; each reads it anew.
func (r *Runtime) Release(string) { _ = r.now().Refresh() } // a store that can't be read is as before

// Effects counts what ran at the workers, from the logs that the packages write.
func Effects(path string) (map[string]int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	runs := map[string]int{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, is := strings.CutPrefix(lines.Text(), "effect "); is {
			runs[name]++
		}
	}
	return runs, lines.Err()
}
