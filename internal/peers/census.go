package peers

import (
	"net/netip"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// A bound over all processes, such as the extra of the retry budget, is divided by their number. No process knows it for certain: one that is
// cut off sees few others, and one that has started there knows of no others.
//
// Invariant: the shares of all processes add up to one at most. Only processes that hear from most of those they count have a share. Two parts
// of a cut can't both do so, as a process that hears from few keeps counting the others. A process that has started has a share after censusSettleTime only,
// unless the whole deployment starts for the first time: others hear of it by then, and it of them, if no cut lasts longer.

const (
	// censusSettleTime is how long a process runs until it is expected to know all others.
	censusSettleTime = time.Minute
	// goneMemory is how long a process that is not heard from is counted by those that hear from most, and cutMemory by the others.
	goneMemory, cutMemory = time.Minute, time.Hour
	// maxCounted bounds the processes counted. With more of them there is no share.
	maxCounted = 4 * maxMembers
)

// census counts the processes of a deployment.
type census struct {
	settledAt domain.Instant
	heard     map[netip.Addr]domain.Instant // when each other process last ran, as far as is known
}

// newCensus returns the census of a process that has just started. first is whether the whole deployment starts for the first time.
func newCensus(first bool) *census {
	c := &census{heard: make(map[netip.Addr]domain.Instant)}
	if !first {
		c.settledAt = domain.Instant(0).Add(censusSettleTime)
	}
	return c
}

// record records that another process ran at a time.
func (c *census) record(now domain.Instant, address netip.Addr) {
	if _, known := c.heard[address]; known || len(c.heard) < maxCounted {
		c.heard[address] = now
	}
}

// Division is among how many processes a bound over all of them is divided. Share is whether this one has a share.
type Division struct {
	Processes, Heard int
	Share            bool
}

// divide counts the processes, of which some may be known as seeds only.
func (c *census) divide(now domain.Instant, seeds []netip.Addr) Division {
	d := Division{Processes: 1 + len(c.heard), Heard: 1}
	for _, seed := range seeds {
		if _, known := c.heard[seed]; !known {
			d.Processes++
		}
	}
	for _, at := range c.heard {
		if now.Sub(at) <= presentMaxAge {
			d.Heard++
		}
	}
	hearsMost := 2*d.Heard > d.Processes
	memory := cutMemory
	if hearsMost {
		memory = goneMemory
	}
	for address, at := range c.heard {
		if now.Sub(at) > memory {
			delete(c.heard, address)
		}
	}
	// Without seeds no other process can be found.
	alone := len(seeds) == 0 && len(c.heard) == 0
	d.Share = hearsMost && len(c.heard) < maxCounted && (alone || now >= c.settledAt)
	return d
}

// SetFirstStart records that the whole deployment starts for the first time, so that this process knows of no fewer others than they of it.
func (m *Members) SetFirstStart() { m.census = newCensus(true) }

// Divide returns among how many processes a bound over all of them is divided.
func (m *Members) Divide(now domain.Instant) Division { return m.census.divide(now, m.seeds) }
