package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// Advance decides what is due now.
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

// dropExpired drops waiting calls that are past their deadline, and returns the next deadline.
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

// unloadIdle unloads replicas that drain or are idle for too long, and returns when the next one will be.
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
