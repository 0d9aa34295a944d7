package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the reading of a clock that goes on while the machine is
// suspended, or 0 if there is none.
func bootTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// suspension compares a clock that stands still while the machine is suspended
// with one that does not.
type suspension struct {
	steady time.Time
	boot   time.Duration
}

// since returns for how long the machine was suspended since the last call.
func (su *suspension) since(steady time.Time, boot time.Duration) time.Duration {
	last := *su
	su.steady, su.boot = steady, boot
	if last.steady.IsZero() || boot == 0 {
		return 0
	}
	return max(0, (boot-last.boot)-steady.Sub(last.steady))
}
