package gateway

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

const (
	// registrySettleTime is how long after an outage of the registry removals of
	// entries are deferred. Entries that expired during the outage are registered
	// again within about 2 s.
	registrySettleTime = 2500 * time.Millisecond
	// unregisteredUseTime is how long an endpoint without an entry is used if its
	// removal is deferred. It must be below 2 s, after which an endpoint that
	// shuts down must get no more requests.
	unregisteredUseTime = 1700 * time.Millisecond
)

// ConfigurationRead applies a configuration if it is newer than the current one.
func (g *Gateway) ConfigurationRead(c *routing.Config) {
	g.mu.Lock()
	g.storedVersion = c.Version
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		g.mu.Unlock()
		return
	}
	if c.RequiresKey {
		g.recordKeyRequirement("")
	}
	g.config.Store(c)
	for name, service := range c.Services {
		if service.Engine != nil {
			g.table.SetEngine(name, placement.EngineProfile{MemoryTokens: service.Engine.KVTokens, CanFetch: service.Engine.CanFetch})
		}
	}
	g.mu.Unlock()
	klog.InfoS("configuration in force", "version", c.Version, "services", len(c.Services), "routes", c.Routes(), "keyed", g.requiresKey(c),
		"accounts_listed", c.RequiresKey, "keys", c.Keys())
}

// Endpoint adds or updates an endpoint from its registry entry and cancels a
// deferred removal.
func (g *Gateway) Endpoint(e placement.Endpoint) {
	g.mu.Lock()
	now := g.now()
	g.departures.Registered(now, e.ID, e.Start, e.Draining)
	delete(g.heldEntries, e.ID)
	old, known := g.table.Endpoint(e.ID)
	delete(g.pendingRemovals, e.ID)
	g.table.Put(now, e)
	g.putVersion(e)
	g.mu.Unlock()
	if !known || old != e {
		klog.InfoS("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Address,
			"data_centre", e.DataCentre, "slots", e.Slots, "draining", e.Draining, "start", e.Start, "version", e.Version)
	}
}

// EndpointRemoved removes an endpoint whose registry entry is gone. The removal
// is deferred if the registry is unavailable or was until a moment ago, as the
// entry may then be missing only because it could not be renewed.
func (g *Gateway) EndpointRemoved(id string) {
	now := g.now()
	g.mu.Lock()
	if e, ok := g.table.Endpoint(id); ok {
		g.departures.Gone(now, id, e.Start)
	}
	delete(g.heldEntries, id)
	g.serviceVersions.Lapsed(id)
	deferred := g.registryDoubted()
	if deferred {
		if _, ok := g.pendingRemovals[id]; !ok {
			g.pendingRemovals[id] = now.Add(unregisteredUseTime)
		}
	} else {
		g.removeEndpoint(now, id)
	}
	g.mu.Unlock()
	klog.InfoS("endpoint has no entry", "endpoint", id, "doubted", deferred)
}

// removeEndpoint removes an endpoint. Its process has ended, or is about to. The caller must hold g.mu.
func (g *Gateway) removeEndpoint(now domain.Instant, id string) {
	if e, ok := g.table.Endpoint(id); ok {
		g.recordGone(crashblame.Process{Endpoint: placement.EndpointHash(id), Start: e.Start}, goneEntry)
	}
	g.table.Remove(id)
	g.serviceVersions.Remove(now, id)
}

// RegistryLost records that the registry can't be read.
func (g *Gateway) RegistryLost(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registryLost = true
}

// RegistryConfirmed records that all registry entries up to now have been applied.
func (g *Gateway) RegistryConfirmed(c confirmation.Confirmation) {
	g.registryRead.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceVersions.RegistryRead(g.now())
	g.recordRegistryReading(c)
	if c.At.Millis > 0 && c.Newer(g.registryConfirmed) {
		g.registryConfirmed = c
	}
	if g.registryLost {
		g.registryLost = false
		g.registryRegainedAt = g.now()
	}
}

// applyPendingRemovals removes the endpoints whose deferred removal is due.
func (g *Gateway) applyPendingRemovals() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyPendingRemovalsLocked(g.now())
}

// applyPendingRemovalsLocked is applyPendingRemovals for callers that hold g.mu.
func (g *Gateway) applyPendingRemovalsLocked(now domain.Instant) {
	for id, removeAt := range g.pendingRemovals {
		if removeAt <= now {
			g.removeEndpoint(now, id)
			delete(g.pendingRemovals, id)
			klog.InfoS("endpoint gone", "endpoint", id)
		}
	}
}

// Digest returns a summary of the requests that this gateway has in progress,
// to be sent to its peers.
func (g *Gateway) Digest() placement.PeerDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest(g.now())
}

// SumDigest returns the sum of this gateway's summary and the last ones of peers.
func (g *Gateway) SumDigest(peers []string) placement.PeerDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.SumDigest(g.now(), peers)
}

// SetRelaying sets whether the summaries of gateways are relayed.
func (g *Gateway) SetRelaying(relaying bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetRelaying(relaying)
}

// PeerDigest applies a peer's summary of its requests in progress.
func (g *Gateway) PeerDigest(peer string, d placement.PeerDigest) {
	g.mu.Lock()
	changed := g.table.PeerDigest(g.now(), peer, d)
	g.mu.Unlock()
	logChanges(peer, changed)
}

// PeerNews applies what a peer says at once of endpoints.
func (g *Gateway) PeerNews(peer string, limits []placement.PeerLimit, leavings []placement.PeerLeaving) {
	g.mu.Lock()
	changed := g.table.PeerNews(g.now(), limits, leavings)
	g.mu.Unlock()
	logChanges(peer, changed)
}

// logChanges logs what a peer has told of endpoints.
func logChanges(peer string, changed placement.DigestChanges) {
	for _, id := range changed.Leaving {
		klog.InfoS("endpoint leaving", "endpoint", id, "peer", peer)
	}
	for _, limit := range changed.Limits {
		klog.InfoS("endpoint limit", "endpoint", limit.Endpoint, "requests_per_s", limit.PerSecond, "peer", peer)
	}
}

// PeersKnown divides the request limits of endpoints between this gateway and its peers.
func (g *Gateway) PeersKnown(peers []netip.Addr) {
	others := make([]uint64, 0, len(peers))
	for _, peer := range peers {
		others = append(others, processNumber(peer))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetProcesses(g.now(), processNumber(g.settings.PeerAddress.Addr()), others)
	g.crashes.SetProcesses(processNumber(g.settings.PeerAddress.Addr()), others)
}

// processNumber identifies the gateway at an IP address in Table.SetProcesses.
func processNumber(address netip.Addr) uint64 { return xxhash.Sum64String(address.String()) }
