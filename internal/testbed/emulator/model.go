package emulator

import "time"

// Function describes a function to an emulated worker.
type Function struct {
	Name        string
	MeanCPUTime time.Duration // mean CPU time of a request
	LoadTime    time.Duration // time to load a replica from a store within its capacity
	Memory      int64         // size of a replica in bytes
	Concurrency int           // number of requests that a replica runs concurrently
}

// Model is the model of an emulated worker: its capacity, load policy and slow start.
type Model struct {
	Cores              float64
	Memory             int64         // memory for replicas in bytes
	QueueLimit         int           // number of requests that may wait; more are rejected as overload
	ReplicaIdleTimeout time.Duration // idle time after which the next dispatch without requests unloads replicas
	LoadOnMiss         bool          // load a replica for a request that finds none; false: reject it
	InitialShare       float64       // share of the cores that is available at the start of a worker
	WarmUpTime         time.Duration // time after the start until all cores are available
	CrashMultiple      float64       // load, as a multiple of its capacity, that makes a warming worker crash; 0: never
	CrashWindow        time.Duration // time window of that load; 0: the worker never crashes
	MaxAttempts        int           // maximum number of attempts in flight on a connection
}

// capacityShare returns the share of its cores that a worker has available at the given uptime.
func (m Model) capacityShare(uptime time.Duration) float64 {
	if m.WarmUpTime <= 0 || uptime >= m.WarmUpTime {
		return 1
	}
	return m.InitialShare + (1-m.InitialShare)*float64(uptime)/float64(m.WarmUpTime)
}
