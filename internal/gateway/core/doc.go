// Package core implements the request state machine of one gateway: it tracks requests, attempts and timers and calls
// the scheduler, which makes all decisions about requests, attempts and loads. The core performs no I/O, reads no clock
// and starts no goroutine: each input carries its time, and actions are carried out by an Actor. The core is
// deterministic: the same inputs at the same times produce the same actions. The gateway, the simulator adapter, the
// tools and the replay of recordings all run this package.
package core
