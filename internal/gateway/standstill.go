package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
)

// maxTickGap is the longest time between two ticks of dispatch, on the boot clock, without which the process counts as
// having stood still: its host was suspended, or gave it no processor time.
const maxTickGap = 500 * time.Millisecond

// standstill says whether this process has stood still since the registry was last confirmed: what it knows may be as
// old as the standstill, although no call has failed. The zero value is ready for use. It is not safe for concurrent use.
type standstill struct {
	tickedAt time.Duration // last tick, on the boot clock; 0 before the first one
	endedAt  time.Duration // last tick after a standstill; 0 if the registry was confirmed since then
}

// tick records that the process runs. It returns for how long it has stood still; 0 if it hasn't.
func (s *standstill) tick(now time.Duration) time.Duration {
	gap := now - s.tickedAt
	if s.tickedAt == 0 || gap <= maxTickGap {
		s.tickedAt = now
		return 0
	}
	s.tickedAt, s.endedAt = now, now
	return gap
}

// confirmed records that the registry known here was the newest at a time.
func (s *standstill) confirmed(at time.Duration) {
	if at >= s.endedAt {
		s.endedAt = 0
	}
}

// doubts reports whether the registry may have changed in a standstill.
func (s *standstill) doubts(now time.Duration) bool {
	return s.endedAt != 0 || s.tickedAt != 0 && now-s.tickedAt > maxTickGap
}

// tickStandstill records that the process runs. The caller must hold g.mu.
func (g *Gateway) tickStandstill() {
	if gap := g.standstill.tick(bootclock.Now()); gap > 0 {
		klog.InfoS("process stood still", "for", gap)
	}
}

// registryCurrent reports whether the registry can be read and is known here as it was a moment ago. The caller must hold g.mu.
func (g *Gateway) registryCurrent() bool {
	return !g.registryLost && !g.standstill.doubts(bootclock.Now())
}
