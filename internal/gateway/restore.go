package gateway

import (
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/departures"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// ConfigurationRestored records that the store came back from a copy.
func (g *Gateway) ConfigurationRestored() {
	g.mu.Lock()
	g.storedVersion = 0
	g.mu.Unlock()
	g.validity.StoreRestored(bootclock.Now())
	klog.InfoS("store restored", "table", "configuration", "version", configVersion(g.config.Load()))
}

// heldEntry is an entry of a copy of the registry, to be applied at a time unless the
// endpoint's entry changes before.
type heldEntry struct {
	endpoint placement.Endpoint
	applyAt  domain.Instant
}

// EndpointRestored adds or updates an endpoint by an entry of a copy of the registry.
// An endpoint that is known to drain still drains, and one that is known to be gone
// stays so until it has renewed its entry.
func (g *Gateway) EndpointRestored(e placement.Endpoint) {
	g.mu.Lock()
	verdict := g.departures.Judge(e.ID, e.Start)
	if verdict == departures.Hold {
		g.heldEntries[e.ID] = heldEntry{endpoint: e, applyAt: g.now().Add(departures.HoldTime())}
	}
	g.mu.Unlock()
	switch verdict {
	case departures.Hold:
		klog.InfoS("endpoint of a copy not used", "endpoint", e.ID, "start", e.Start, "for", departures.HoldTime())
		return
	case departures.Drains:
		e.Draining = true
	default:
	}
	g.Endpoint(e)
}

// RegistryRestored records that the registry came back from a copy. Missing entries are
// treated as after an outage.
func (g *Gateway) RegistryRestored() {
	g.mu.Lock()
	g.registryRegainedAt = g.now()
	g.serviceVersions.MissedEntries(g.registryRegainedAt)
	g.tellAllStreams(g.registryRegainedAt)
	g.mu.Unlock()
	klog.InfoS("store restored", "table", "registry")
}

// applyHeldEntries applies the entries of a copy that are still in the registry after
// the time in which entries that are not renewed are removed.
func (g *Gateway) applyHeldEntries() {
	now := g.now()
	var due []placement.Endpoint
	g.mu.Lock()
	for _, held := range g.heldEntries {
		if held.applyAt <= now {
			due = append(due, held.endpoint)
		}
	}
	g.departures.Expire(now)
	g.mu.Unlock()
	for _, e := range due {
		g.Endpoint(e)
	}
}
