package durableclock

import (
	"testing"
	"time"
)

// TestContinue checks that the clock ignores changes of the system time within one boot, and that it never goes back
// across a reboot.
func TestContinue(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	last := Mark{BootID: "a", Uptime: time.Hour, Time: at}
	later := Mark{BootID: "a", Uptime: time.Hour + 10*time.Second}
	otherBoot := Mark{BootID: "b", Uptime: time.Second}
	for _, c := range []struct {
		name    string
		machine Mark
		system  time.Time
		want    time.Time
	}{
		{"ten seconds later", later, at.Add(10 * time.Second), at.Add(10 * time.Second)},
		{"system time set a day ahead", later, at.Add(24 * time.Hour), at.Add(10 * time.Second)},
		{"system time set back a day", later, at.Add(-24 * time.Hour), at.Add(10 * time.Second)},
		{"another boot", otherBoot, at.Add(time.Minute), at.Add(time.Minute)},
		{"another boot, system time set back", otherBoot, at.Add(-time.Minute), at},
		{"unknown boot", Mark{}, at.Add(time.Minute), at.Add(time.Minute)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, mark := continueFrom(last, c.machine, c.system)
			if !mark.Time.Equal(c.want) {
				t.Errorf("got %v, want %v", mark.Time, c.want)
			}
		})
	}
	now, mark := Continue(Mark{})
	if a, b := now(), now(); a.Before(mark.Time) || b.Before(a) || mark.BootID == "" {
		t.Error(mark, a, b)
	}
}
