// Package durableclock has a clock for times that are stored over restarts: it goes on as it went, whatever happens
// to the system's time, as long as the machine is not booted anew.
package durableclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile has what tells one boot of the machine from another.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Mark ties a moment of the clock to the machine's time since its boot. It is stored with the times that the clock
// gave.
type Mark struct {
	BootID string        `cbor:"1,keyasint,omitempty"`
	Uptime time.Duration `cbor:"2,keyasint"` // since that boot, sleep included
	Time   time.Time     `cbor:"3,keyasint"` // what the clock said
}

// Continue returns a clock that goes on from last, which may be the zero value, and the mark to store. In another
// boot it goes by the system's time, but never backwards: then a system clock that was set ahead can't be told from
// time that has passed.
func Continue(last Mark) (now func() time.Time, mark Mark) {
	return continueFrom(last, bootMark(), time.Now())
}

// continueFrom is Continue at a moment given by the machine's boot and its system time.
func continueFrom(last, mark Mark, system time.Time) (func() time.Time, Mark) {
	mark.Time = system.Round(0)
	switch {
	case last.BootID != "" && last.BootID == mark.BootID && mark.Uptime >= last.Uptime:
		mark.Time = last.Time.Add(mark.Uptime - last.Uptime)
	case mark.Time.Before(last.Time):
		mark.Time = last.Time
	}
	return func() time.Time { return mark.Time.Add(time.Since(system)) }, mark
}

// bootMark is the boot and the time since, without a time of the clock. Where the system does not say, every start
// counts as a boot.
func bootMark() Mark {
	var uptime unix.Timespec
	id, err := os.ReadFile(bootIDFile)
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime) != nil {
		return Mark{}
	}
	return Mark{BootID: strings.TrimSpace(string(id)), Uptime: time.Duration(uptime.Nano())}
}
