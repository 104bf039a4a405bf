package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

const (
	// settleTime is how long after the registry's return removed entries are
	// doubted: entries that lapsed meanwhile are back within about 2 s.
	settleTime = 2500 * time.Millisecond
	// doubtTime is how long an endpoint whose entry is missing is used in that
	// time; it has to end before the 2 s in which leaving endpoints must be left.
	doubtTime = 1700 * time.Millisecond
)

// Configuration puts a configuration in force unless a newer one is.
func (g *Gateway) Configuration(c *routing.Config) {
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	g.config.Store(c)
	g.mu.Lock()
	for name, service := range c.Services {
		if service.Engine != nil {
			g.table.SetEngine(name, service.Engine.KVTokens)
		}
	}
	g.mu.Unlock()
	klog.InfoS("configuration in force", "version", c.Version, "services", len(c.Services), "keyed", c.Keyed)
}

// Confirmed notes that the configuration was the newest at a time.
func (g *Gateway) Confirmed(at time.Duration) { g.validity.Confirm(at) }

// Endpoint takes what the registry says of an endpoint.
func (g *Gateway) Endpoint(e placement.Endpoint) {
	g.mu.Lock()
	old, known := g.table.Endpoint(e.ID)
	delete(g.leaving, e.ID)
	g.table.Put(g.now(), e)
	g.mu.Unlock()
	if !known || old != e {
		klog.InfoS("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Address,
			"data_centre", e.DataCentre, "slots", e.Slots, "draining", e.Draining, "start", e.Start)
	}
}

// Gone takes an endpoint that has no entry any more.
func (g *Gateway) Gone(id string) {
	now := g.now()
	g.mu.Lock()
	doubted := g.lost || g.back > 0 && now.Sub(g.back) < settleTime
	if doubted {
		if _, ok := g.leaving[id]; !ok {
			g.leaving[id] = now.Add(doubtTime)
		}
	} else {
		g.table.Remove(id)
	}
	g.mu.Unlock()
	klog.InfoS("endpoint has no entry", "endpoint", id, "doubted", doubted)
}

// RegistryLost notes that the registry can't be read.
func (g *Gateway) RegistryLost(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = true
}

// EndpointsKnown notes that the registry is known up to now.
func (g *Gateway) EndpointsKnown() {
	g.known.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		g.lost = false
		g.back = g.now()
	}
}

// removeLeft removes the endpoints that were used without an entry long enough.
func (g *Gateway) removeLeft() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropLeft(g.now())
}

// dropLeft needs the lock.
func (g *Gateway) dropLeft(now domain.Instant) {
	for id, until := range g.leaving {
		if until <= now {
			g.table.Remove(id)
			delete(g.leaving, id)
			klog.InfoS("endpoint gone", "endpoint", id)
		}
	}
}

// Digest returns what this process has in progress, for its peers.
func (g *Gateway) Digest() placement.PeerDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest(g.now())
}

// PeerDigest takes what a peer has in progress.
func (g *Gateway) PeerDigest(peer string, d placement.PeerDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.PeerDigest(peer, d)
}
