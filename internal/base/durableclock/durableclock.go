// Package durableclock has a clock for what is kept over restarts: it goes on as it went, whatever happens to the system's time,
// as long as the machine is not booted anew.
package durableclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Mark ties a moment of the clock to the machine's time since its boot. It is kept with what the clock's times are in.
type Mark struct {
	BootID string        `cbor:"1,keyasint,omitempty"` // which boot
	Uptime time.Duration `cbor:"2,keyasint"`           // since then, sleep included
	Time   time.Time     `cbor:"3,keyasint"`           // what the clock said
}

// Continue answers a clock that goes on from last, which may be the zero value, and the mark to keep. In another boot it
// goes by the system's time, but never backwards: then a system clock that was set ahead can't be told from time that
// has passed.
func Continue(last Mark) (now func() time.Time, mark Mark) {
	return continueFrom(last, bootMark(), time.Now())
}

func continueFrom(last, m Mark, system time.Time) (func() time.Time, Mark) {
	m.Time = system.Round(0)
	switch {
	case last.BootID != "" && last.BootID == m.BootID && m.Uptime >= last.Uptime:
		m.Time = last.Time.Add(m.Uptime - last.Uptime)
	case m.Time.Before(last.Time):
		m.Time = last.Time
	}
	return func() time.Time { return m.Time.Add(time.Since(system)) }, m
}

// bootMark tells the boot and the time since; where the system doesn't say, every start counts as a boot.
func bootMark() Mark {
	var ts unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return Mark{}
	}
	return Mark{BootID: strings.TrimSpace(string(id)), Uptime: time.Duration(ts.Nano())}
}
