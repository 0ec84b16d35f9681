package runner

import "runtime"

// lockThread keeps the calling goroutine on its thread until it ends: a child's death signal follows the thread that
// started it.
func lockThread() { runtime.LockOSThread() }
