package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since boot, including the time that the machine was
// suspended, or 0 if the system has no such clock.
func bootTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// suspendDetector measures for how long the machine was suspended. It compares
// a monotonic clock, which stops during a suspend, with the boot clock, which
// does not.
type suspendDetector struct {
	monotonic time.Time
	boot      time.Duration
}

// minSuspend is the shortest suspend that is told from the time between the readings of
// the two clocks.
const minSuspend = 10 * time.Millisecond

// sinceLast returns for how long the machine was suspended since the previous
// call. It returns 0 on the first call, if boot is 0, which means unknown, and if the
// suspend was shorter than minSuspend.
func (sd *suspendDetector) sinceLast(monotonic time.Time, boot time.Duration) time.Duration {
	last := *sd
	sd.monotonic, sd.boot = monotonic, boot
	if last.monotonic.IsZero() || boot == 0 {
		return 0
	}
	suspended := (boot - last.boot) - monotonic.Sub(last.monotonic)
	if suspended < minSuspend {
		return 0
	}
	return suspended
}
