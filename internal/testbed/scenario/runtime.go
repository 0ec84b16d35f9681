package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/base/httpserver"
	"lupinpond/internal/testbed/localfleet"
	"lupinpond/internal/worker/idempotency"
)

const (
	// memoryDir is a file system in memory.
	memoryDir = "/dev/shm"
	// minMemoryBytes has to be free in memoryDir: a few scenarios at a time may take it.
	minMemoryBytes = 4 << 30

	// claimServers is how many servers keep claims of idempotency keys.
	claimServers = 3
	// claimFileBytes is the size of such a server's file.
	claimFileBytes = 1 << 20
	// claimTimeout is how long a worker waits for a claim.
	claimTimeout = time.Second

	// requestsPerFetch is how many requests the store takes at a time, for each fetch at full speed.
	requestsPerFetch = 8
	// defaultLoadTime is the time of a load where no function has one.
	defaultLoadTime = time.Second
)

// runtimeFiles is what workers of the worker runtime share: the store, claims, and the log of what their replicas ran.
type runtimeFiles struct {
	dir          string
	releases     *localfleet.Releases
	storeRate    float64 // bytes a second
	executionLog *os.File
	claims       *idempotency.Group
	closers      []func() error
}

// startRuntime starts the store and the claim servers, and makes the workers' folder.
func (r *run) startRuntime() (files *runtimeFiles, err error) {
	files = &runtimeFiles{}
	if files.dir, err = os.MkdirTemp(scratchDir(), "lupinpond-rehearse-"); err != nil {
		return nil, err
	}
	files.onClose(func() error { return os.RemoveAll(files.dir) })
	defer func() {
		if err != nil {
			files.close()
		}
	}()
	binary, err := os.Stat(r.options.PayrollBinary)
	if err != nil {
		return nil, fmt.Errorf("example package: %w", err)
	}
	// as many fetches of the whole package at full speed, each in the usual time of a load
	files.storeRate = float64(r.scenario.StoreCapacity) * float64(binary.Size()) / r.usualLoadTime().Seconds()
	capacity := artifactstore.Capacity{
		BytesPerSecond: files.storeRate,
		MaxConcurrent:  requestsPerFetch * r.scenario.StoreCapacity,
	}
	storeDir := filepath.Join(files.dir, "store")
	files.releases, err = localfleet.NewReleases(storeDir, r.options.PayrollBinary, r.options.Config, capacity)
	if err != nil {
		return nil, err
	}
	files.onClose(files.releases.Close)
	logPath := filepath.Join(files.dir, "effects")
	if files.executionLog, err = os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return nil, err
	}
	files.onClose(files.executionLog.Close)
	addrs, err := files.startClaimServers()
	if err != nil {
		return nil, err
	}
	if files.claims, err = idempotency.NewGroup(addrs, claimTimeout, r.options.Log); err != nil {
		return nil, err
	}
	files.onClose(func() error { files.claims.Close(); return nil })
	return files, nil
}

// usualLoadTime is the load time of the first function that has one.
func (r *run) usualLoadTime() time.Duration {
	for _, function := range r.options.Config.Functions {
		if function.LoadTime > 0 {
			return function.LoadTime.Std()
		}
	}
	return defaultLoadTime
}

// startClaimServers starts the claim servers of all workers: those of a zone are then in one group as well.
func (f *runtimeFiles) startClaimServers() (addrs []string, err error) {
	for i := range claimServers {
		folder := filepath.Join(f.dir, fmt.Sprint("register-", i))
		if err := os.Mkdir(folder, 0o755); err != nil {
			return nil, err
		}
		store, err := idempotency.Open(folder, claimFileBytes)
		if err != nil {
			return nil, err
		}
		f.onClose(store.Close)
		server, err := httpserver.StartLoopback("127.0.0.1:0", store.Handler())
		if err != nil {
			return nil, err
		}
		f.onClose(server.Close)
		addrs = append(addrs, server.Addr)
	}
	return addrs, nil
}

func (f *runtimeFiles) onClose(closer func() error) { f.closers = append(f.closers, closer) }

// close ends what was started, the last first: servers before their files, and the folder at the end.
func (f *runtimeFiles) close() {
	for _, closer := range slices.Backward(f.closers) {
		_ = closer() // the folder goes anyway
	}
}

// scratchDir is where the folders of many workers stand. Their syncs would all wait for the one disk of this machine,
// where a fleet has a disk for each: so memory, if enough of it is free and programs may be run from it.
func scratchDir() string {
	var stat unix.Statfs_t
	if unix.Statfs(memoryDir, &stat) != nil || stat.Flags&unix.ST_NOEXEC != 0 {
		return "" // the system's own
	}
	if int64(stat.Bavail)*stat.Bsize < minMemoryBytes {
		return ""
	}
	return memoryDir
}
