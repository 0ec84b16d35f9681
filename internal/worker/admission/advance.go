package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// never is a time later than any other.
const never = time.Duration(math.MaxInt64)

// Advance returns the actions to carry out now. It must be called after each event and when WakeAfter has passed.
func (c *Controller) Advance(now time.Duration) Actions {
	var actions Actions
	names := slices.Sorted(maps.Keys(c.functions))
	wake := c.dropExpired(now, names)
	c.dispatch(now, names, &actions)
	wake = min(wake, c.unloadIdle(now, names, &actions))
	wake = min(wake, c.provision(now, names, &actions))
	actions.Dropped, c.dropped = c.dropped, nil
	if wake < never {
		actions.WakeAfter = max(1, wake-now)
	}
	return actions
}

// dropExpired drops waiting calls that have reached their deadline. It returns the earliest deadline of the others.
func (c *Controller) dropExpired(now time.Duration, names []string) time.Duration {
	wake := never
	for _, name := range names {
		function := c.functions[name]
		function.queue = slices.DeleteFunc(function.queue, func(queued queuedCall) bool {
			if now >= queued.Deadline {
				c.drop(queued, Expired)
				return true
			}
			wake = min(wake, queued.Deadline)
			return false
		})
	}
	return wake
}

// unloadIdle unloads idle replicas that are draining or have been idle for IdleTimeout. It returns the earliest time at
// which another replica reaches IdleTimeout.
func (c *Controller) unloadIdle(now time.Duration, names []string, actions *Actions) time.Duration {
	wake := never
	for _, name := range names {
		for _, r := range c.functions[name].replicas {
			if !r.isIdle() {
				continue
			}
			expiry := r.idleSince + c.limits.IdleTimeout
			if r.draining || now >= expiry {
				c.unload(r, actions)
			} else {
				wake = min(wake, expiry)
			}
		}
	}
	return wake
}
