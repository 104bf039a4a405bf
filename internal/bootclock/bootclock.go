// Package bootclock reads the host's boot clock, which is monotonic and, unlike
// Go's monotonic clock, keeps running while the host is suspended. It keeps no
// state. Gateways measure the age of their configuration with it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Now returns the time since the host booted, or 0 if the clock can't be read.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		klog.ErrorS(err, "reading the boot clock failed", "step", "read clock")
		return 0
	}
	return time.Duration(ts.Nano())
}
