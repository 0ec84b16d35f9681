package durableclock

import (
	"testing"
	"time"
)

// Within one boot the clock goes on whatever the system's time does; over a boot it never goes back.
func TestContinue(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	last := Mark{BootID: "a", Uptime: time.Hour, Time: at}
	for _, c := range []struct {
		name    string
		machine Mark
		system  time.Time
		want    time.Time
	}{
		{"ten seconds later", Mark{BootID: "a", Uptime: time.Hour + 10*time.Second}, at.Add(10 * time.Second), at.Add(10 * time.Second)},
		{"set ahead a day", Mark{BootID: "a", Uptime: time.Hour + 10*time.Second}, at.Add(24 * time.Hour), at.Add(10 * time.Second)},
		{"set back a day", Mark{BootID: "a", Uptime: time.Hour + 10*time.Second}, at.Add(-24 * time.Hour), at.Add(10 * time.Second)},
		{"another boot", Mark{BootID: "b", Uptime: time.Second}, at.Add(time.Minute), at.Add(time.Minute)},
		{"another boot, set back", Mark{BootID: "b", Uptime: time.Second}, at.Add(-time.Minute), at},
		{"boots that are not told", Mark{}, at.Add(time.Minute), at.Add(time.Minute)},
	} {
		_, mark := continueFrom(last, c.machine, c.system)
		if !mark.Time.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, mark.Time, c.want)
		}
	}
	now, mark := Continue(Mark{})
	if a, b := now(), now(); a.Before(mark.Time) || b.Before(a) || mark.BootID == "" {
		t.Error(mark, a, b)
	}
}
