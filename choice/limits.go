package choice

import (
	"cmp"
	"math"
	"time"

	"lupinpond/internal/window"
)

func (c *Chooser) limits(first, least float64) limited {
	return limited{least: least, limit: max(least, first/float64(c.peers))}
}

// pace moves a worker's in-flight limit by the ratio of the shortest answer time to the present one.
func (c *Chooser) pace(w *worker, e *Event, took, now time.Duration) {
	t, k := e.typ, w.kind
	if e.ahead > 0 { // the time that each event ahead costs: little, until it is seen
		c.ahead += e.ahead
		c.delayed += float64(max(0, took-t.short))
		c.delay = c.delayed / (averaged + c.ahead)
		c.ahead, c.delayed = c.ahead*aheadKept, c.delayed*aheadKept
	}
	k.seen = min(k.seen+1, typeAveraged)
	k.takes += (min(float64(took)/float64(e.fn.mean()), stuckAfter) - k.takes) / (averaged + k.seen)
	c.measure()
	t.seen = min(t.seen+1, typeAveraged)
	if t.mean += (took - t.mean) / t.seen; t.seen < 3*averaged {
		return
	}
	if t.short += t.short / shortLasts; t.short == 0 || t.mean < t.short {
		t.short = t.mean
	}
	may, portion := tolerance*float64(t.short), c.portion(now)
	alone := may
	if w.toldAt == now && w.waiting < 1 { // none waits there: it is slow, or has slow functions, not crowded
		alone = max(may, aloneShare*float64(t.Target))
	}
	c.follow(&w.limited, now, took, alone, len(w.out), portion)
	c.follow(&c.all, now, min(took, t.Target), enoughShare*float64(t.Target), c.inFlight, portion)
}

// follow moves a limit by what answers may take to what they take. That of all workers is for a front end
// among many: it meets each worker too seldom to judge it, and the least limits of all of them add up.
func (c *Chooser) follow(l *limited, now, took time.Duration, may float64, out int, portion float64) {
	if l.took == nil { // most workers of a large fleet never answer this front end
		l.took, l.may = window.New(2*c.longest), window.New(2*c.longest)
	}
	l.took.Add(now, float64(took))
	l.may.Add(now, may)
	ratio := min(1, l.may.All(now)/l.took.All(now))
	if ratio == 1 {
		portion = max(portion, growth)
	}
	aim := l.limit*ratio + math.Sqrt(l.limit*portion)
	if aim < l.limit || 2*float64(out+1) > l.limit {
		l.limit = max(l.least, l.limit+(aim-l.limit)/max(1, l.limit))
	}
}

// portion is this front end's part of all traffic: an even split, or what it sees of the tenants' shares.
func (c *Chooser) portion(now time.Duration) float64 {
	seen := c.fresh.All(now) / freshSpan.Seconds() / cmp.Or(c.shares, math.Inf(1))
	return min(1, max(1/float64(c.peers), seen))
}

// share is the least part of its capacity that a worker has by now.
func (c *Chooser) share(w *worker, now time.Duration) float64 {
	warm := float64(max(0, now-w.Started)) / float64(max(1, c.warmAfter))
	if w.Started <= 0 || warm >= 1 {
		return 1
	}
	return c.coldFrom + (1-c.coldFrom)*warm
}

// coldPause keeps a cold worker from being pushed over (rule 4): least time between two launches to it. Its
// capacity is not told: the mean work seen handled is taken. Launches of many front ends bunch by chance.
func (c *Chooser) coldPause(w *worker, weight float64, now time.Duration) time.Duration {
	most := time.Duration(c.peers) * c.fall // with nothing known all front ends together send one in c.fall
	mean := c.work.Inner(now) / 8 / float64(max(1, c.members.Len()))
	all := coldSafety * c.multiple * c.share(w, now) * mean * min(1, c.size(w)) / c.portion(now) / weight
	all = max(all-coldChance*math.Sqrt(min(all, float64(c.peers))), all/4)
	return time.Duration(min(float64(c.fall)/max(all*c.portion(now), 1e-9), float64(most)))
}

// coldRoom begins with a random part of the pause: not all that hear of a start send at once.
func (c *Chooser) coldRoom(w *worker, e *Event, now time.Duration) bool {
	return c.multiple <= 0 || c.share(w, now) >= 1 ||
		now >= w.coldLast+part(w.coldPart, c.coldPause(w, c.weigh(e), now))
}
