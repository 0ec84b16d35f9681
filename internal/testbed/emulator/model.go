package emulator

import "time"

// Function is what an emulated worker knows of a function.
type Function struct {
	Name        string
	MeanCPUTime time.Duration // of a request
	LoadTime    time.Duration // of a replica, from a store that is not crowded
	Memory      int64         // bytes of a replica
	Concurrency int           // requests that a replica runs at a time
}

// Model is what a worker is like.
type Model struct {
	Cores              float64
	Memory             int64         // bytes
	QueueLimit         int           // requests that may wait; more are rejected as overload
	ReplicaIdleTimeout time.Duration // an idle replica stays so long
	LoadOnMiss         bool
	InitialShare       float64       // part of its cores that a worker has at its start
	WarmUpTime         time.Duration // until it has all of them
	CrashMultiple      float64       // a warming worker crashes when it gets more than this multiple of its capacity
	CrashWindow        time.Duration // within so long; 0: never
	MaxAttempts        int           // in flight on a connection
}

// warmShare is the part of its cores that a worker has so long after its start.
func (m Model) warmShare(uptime time.Duration) float64 {
	if m.WarmUpTime <= 0 || uptime >= m.WarmUpTime {
		return 1
	}
	return m.InitialShare + (1-m.InitialShare)*float64(uptime)/float64(m.WarmUpTime)
}
