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
	// memoryDir is the mount point of a file system in memory.
	memoryDir = "/dev/shm"
	// minMemoryBytes is the minimum free space of memoryDir for it to be used. It is enough for a few scenarios that run
	// at the same time.
	minMemoryBytes = 4 << 30

	// claimServerCount is the number of servers that store claims of idempotency keys.
	claimServerCount = 3
	// maxClaims is the maximum number of unexpired claims at a claim server.
	maxClaims = 1 << 20
	// claimTimeout is the timeout of a worker's claim of an idempotency key.
	claimTimeout = time.Second

	// requestsPerFetch is the number of concurrent requests that the store accepts per concurrent fetch of its capacity.
	requestsPerFetch = 8
	// defaultLoadTime is the load time from which the store's rate is computed if no function has a load time.
	defaultLoadTime = time.Second
)

// runtimeFiles holds the resources that the workers of the worker runtime share: the store, the claims of idempotency
// keys, and the log to which their replicas write each execution.
type runtimeFiles struct {
	dir          string
	releases     *localfleet.Releases
	storeRate    float64 // bytes per second
	executionLog *os.File
	claims       *idempotency.Group
	closers      []func() error // called by close in reverse order
}

// startRuntime creates the workers' folder and starts the store and the claim servers.
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
	// storeRate = StoreCapacity * package size / load time: StoreCapacity concurrent fetches of the whole package each
	// take one load time
	files.storeRate = float64(r.scenario.StoreCapacity) * float64(binary.Size()) / r.referenceLoadTime().Seconds()
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

// referenceLoadTime returns the load time of the first function that has one, or defaultLoadTime.
func (r *run) referenceLoadTime() time.Duration {
	for _, function := range r.options.Config.Functions {
		if function.LoadTime > 0 {
			return function.LoadTime.Std()
		}
	}
	return defaultLoadTime
}

// startClaimServers starts the claim servers and returns their addresses. All workers use the same servers, so workers
// of the same zone also share their claims.
func (f *runtimeFiles) startClaimServers() (addrs []string, err error) {
	for i := range claimServerCount {
		folder := filepath.Join(f.dir, fmt.Sprint("register-", i))
		if err := os.Mkdir(folder, 0o755); err != nil {
			return nil, err
		}
		store, err := idempotency.Open(folder, maxClaims)
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

// close releases the resources in reverse order of creation: servers before their files, and the folder last.
func (f *runtimeFiles) close() {
	for _, closer := range slices.Backward(f.closers) {
		_ = closer() // errors don't matter: the folder is removed in any case
	}
}

// scratchDir returns the parent folder of the workers' folders, or "" for the system's temporary folder. It prefers a
// file system in memory that has enough free space and allows programs to be executed: on disk, the syncs of all
// workers would wait for the one disk of this machine, while in a real fleet each worker has its own.
func scratchDir() string {
	var stat unix.Statfs_t
	if unix.Statfs(memoryDir, &stat) != nil || stat.Flags&unix.ST_NOEXEC != 0 {
		return ""
	}
	if int64(stat.Bavail)*stat.Bsize < minMemoryBytes {
		return ""
	}
	return memoryDir
}
