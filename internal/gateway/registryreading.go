package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
)

const (
	// maxRegistryGap is the time between two readings of the registry up to which no endpoint is expected to have come and gone unseen: one
	// needs seconds to start, and the entry of one that crashes is kept for three heartbeats.
	maxRegistryGap = 4 * time.Second
	// registryReadTimeout limits the wait for a reading of the registry that a request needs.
	registryReadTimeout = 500 * time.Millisecond
	// registryReadInterval is the least time between two readings that requests ask for.
	registryReadInterval = 50 * time.Millisecond
)

// registryReading is up to which moment the registry has been applied. Times are boot-clock times.
type registryReading struct {
	asOf    time.Duration // 0 before the first reading
	askedAt time.Duration // when a request last asked for a reading
	// later is closed when there is a later reading; nil while nobody waits for one.
	later chan struct{}
}

// applied records that all changes up to a time are applied. later is whether that is a later time than before, and missed whether changes
// may have come and gone unseen in between.
func (r *registryReading) applied(at time.Duration) (later, missed bool) {
	if at <= r.asOf {
		return false, false
	}
	missed = r.asOf > 0 && at-r.asOf > maxRegistryGap
	r.asOf = at
	if r.later != nil {
		close(r.later)
		r.later = nil
	}
	return true, missed
}

// next returns a channel that is closed at the next later reading.
func (r *registryReading) next() <-chan struct{} {
	if r.later == nil {
		r.later = make(chan struct{})
	}
	return r.later
}

// ask reports whether to ask the store for a reading now. If so, it counts as asked.
func (r *registryReading) ask(now time.Duration) bool {
	if now-r.askedAt < registryReadInterval {
		return false
	}
	r.askedAt = now
	return true
}

// recordRegistryReading records a confirmation of the registry. The caller must hold g.mu.
func (g *Gateway) recordRegistryReading(c confirmation.Confirmation) {
	at, ok := g.storeClock.Local(c.At)
	if !ok {
		return
	}
	g.standstill.confirmed(at)
	before := g.registryReading.asOf
	later, missed := g.registryReading.applied(at)
	switch {
	case missed:
		g.serviceVersions.Missed(g.now())
		g.tellAllStreams(g.now())
		klog.InfoS("registry changes may have been missed", "for", at-before, "services_unsure", len(g.serviceVersions.Unsure(g.now(), true)))
	case later:
		g.serviceVersions.Followed()
	}
}

// EntriesUnseen records that entries may have come and gone that were never read.
func (g *Gateway) EntriesUnseen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceVersions.MissedEntries(g.now())
	g.tellAllStreams(g.now())
	klog.InfoS("registry entries unseen")
}

// awaitRegistry waits until the registry has been applied as of a boot-clock time, and asks the store for that. It reports false if that
// takes too long, as the store can't be reached.
func (g *Gateway) awaitRegistry(ctx context.Context, asOf time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, registryReadTimeout)
	defer cancel()
	for {
		g.mu.Lock()
		done := g.registryReading.asOf >= asOf
		later, ask := g.registryReading.next(), !done && g.registryReading.ask(bootclock.Now())
		g.mu.Unlock()
		if done {
			return true
		}
		if ask {
			g.source.ConfirmRegistry()
		}
		timer := time.NewTimer(registryReadInterval)
		select {
		case <-later:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}
