package peers

import (
	"net/netip"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// A bound over all processes, such as the extra of the retry budget, is divided by their number. No process knows it for certain: one that is
// cut off sees few others, and one that has started there knows of no others.
//
// Invariant: the shares of all processes add up to one at most, while no cut and no series of cuts lasts longer than countedMemory, and no process
// starts in a cut that outlasts settleAfterStart from then on. A process has a share only while it hears from more than half of those it counts. All count
// the same ones, as none is forgotten in that time, so that only one part of a cut has shares. If a process that is not heard from were forgotten
// sooner, the rest could be cut again, and both a half of the rest and the others could hear from most of those that they count.

const (
	// settleAfterStart is how long a process that starts later than its deployment runs until it is expected to know all others, and they it.
	// At the first start of the deployment all know each other after settleAfterFirstStart: none was cut off before.
	settleAfterStart, settleAfterFirstStart = time.Minute, presentMaxAge
	// countedMemory is how long a process that is not heard from is counted.
	countedMemory = time.Hour
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
	settle := settleAfterStart
	if first {
		settle = settleAfterFirstStart
	}
	return &census{settledAt: domain.Instant(0).Add(settle), heard: make(map[netip.Addr]domain.Instant)}
}

// record records that another process ran at a time.
func (c *census) record(now domain.Instant, address netip.Addr) {
	if _, known := c.heard[address]; known || len(c.heard) < maxCounted {
		c.heard[address] = now
	}
}

// Division is among how many processes a bound over all of them is divided.
type Division struct {
	// Processes is the number of processes, and Heard the number of those that run, as far as is known. Both include this one.
	Processes, Heard int
	// Share is whether this process has a share.
	Share bool
}

// divide counts the processes, of which some may be known as seeds only.
func (c *census) divide(now domain.Instant, seeds []netip.Addr) Division {
	d := Division{Processes: 1, Heard: 1}
	for address, at := range c.heard {
		age := now.Sub(at)
		if age > countedMemory {
			delete(c.heard, address)
			continue
		}
		d.Processes++
		if age <= presentMaxAge {
			d.Heard++
		}
	}
	for _, seed := range seeds {
		if _, known := c.heard[seed]; !known {
			d.Processes++
		}
	}
	// Without seeds no other process can be found.
	alone := len(seeds) == 0 && len(c.heard) == 0
	d.Share = 2*d.Heard > d.Processes && len(c.heard) < maxCounted && (alone || now >= c.settledAt)
	return d
}

// SetFirstStart records that the whole deployment starts for the first time. It is called before any message is recorded.
func (m *Members) SetFirstStart() { m.census = newCensus(true) }

// Divide returns among how many processes a bound over all of them is divided.
func (m *Members) Divide(now domain.Instant) Division { return m.census.divide(now, m.seeds) }
