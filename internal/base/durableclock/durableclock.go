// Package durableclock provides a clock for timestamps that are stored across restarts of a program. Until the machine
// reboots, changes of the system time do not affect the clock.
package durableclock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile contains an identifier that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Mark relates a time of the clock to the time since the machine's boot. It is stored with the timestamps of the clock.
type Mark struct {
	BootID string        `cbor:"1,keyasint,omitempty"`
	Uptime time.Duration `cbor:"2,keyasint"` // time since the boot BootID, suspend included
	Time   time.Time     `cbor:"3,keyasint"` // time of the clock at Uptime
}

// Continue returns a clock that continues from the mark last, which may be the zero value, and the new mark to store.
// After a reboot the clock continues from the system time, or from the time of last if that is later. A system clock
// that was set ahead can't be distinguished from elapsed time after a reboot.
func Continue(last Mark) (now func() time.Time, mark Mark) {
	return continueFrom(last, bootMark(), time.Now())
}

// continueFrom implements Continue for a given boot ID and uptime, which it takes from mark, and a given system time.
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

// bootMark returns a Mark with the current boot ID and uptime and without Time. If the system does not provide them, it
// returns the zero Mark, so that each start counts as a reboot.
func bootMark() Mark {
	var uptime unix.Timespec
	id, err := os.ReadFile(bootIDFile)
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime) != nil {
		return Mark{}
	}
	return Mark{BootID: strings.TrimSpace(string(id)), Uptime: time.Duration(uptime.Nano())}
}
