// Package core is the request state machine of one gateway: requests, attempts, timers and the calls to the
// scheduler. It does no I/O, reads no clock and starts no goroutine: inputs come with their time, and it acts through
// an Actor. The same inputs at the same times give the same actions. The gateway, the simulator's adapter, the tools
// and the replay drive this one core. It decides nothing about requests, attempts or loads; the scheduler does.
package core
