package usage

import "time"

const (
	// maxSlew is the deviation of the time of day from the time known here up to which it is followed at once.
	maxSlew = 150 * time.Millisecond
	// jumpHold is how long a larger deviation must last before it is followed. A time of day can jump by seconds and back.
	jumpHold = 30 * time.Second
)

// Clock tells the time since the start of 1970 by the steady clock of the host, which runs on while the host is
// suspended. It follows the time of day, but for its jumps.
type Clock struct {
	offset     time.Duration // time since 1970 minus steady time
	known      bool
	doubted    bool
	deviation  time.Duration // of the time of day while doubted
	doubtSince time.Duration
}

// Observe records a reading of both clocks. It returns by how much the clock has been set for a jump that lasts.
func (c *Clock) Observe(steady, wall time.Duration) time.Duration {
	if !c.known {
		c.offset, c.known = wall-steady, true
		return 0
	}
	deviation := wall - steady - c.offset
	if deviation.Abs() <= maxSlew {
		c.offset, c.doubted = wall-steady, false
		return 0
	}
	if !c.doubted || (deviation-c.deviation).Abs() > maxSlew {
		c.doubted, c.deviation, c.doubtSince = true, deviation, steady
	}
	if steady-c.doubtSince <= jumpHold {
		return 0
	}
	c.offset, c.doubted = wall-steady, false
	return deviation
}

// At returns the time since the start of 1970 at a steady time.
func (c *Clock) At(steady time.Duration) time.Duration { return steady + c.offset }

// Steady returns the steady time at a time since the start of 1970.
func (c *Clock) Steady(at time.Duration) time.Duration { return at - c.offset }
