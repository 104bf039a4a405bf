// Package bootclock reads a clock that goes on while the host is suspended and
// never jumps, unlike the time of day.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Now returns the time since the host's start.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		klog.ErrorS(err, "boot clock not read", "step", "read clock")
		return 0
	}
	return time.Duration(ts.Nano())
}
