package gateway

import (
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
)

// Many gateways don't all ask the store for changes of the registry: two of each data centre do, and hand them on to the others there. All tell
// each other in digests which version was the newest when, so that one that missed changes, or hears of none, asks the store itself.

// RegistryChanged hands changes of the registry on to the peers of this data centre, if this gateway is one that reads it for them.
func (g *Gateway) RegistryChanged(changes registryrelay.Changes) {
	if registryrelay.Role(g.registryRole.Load()) != registryrelay.Reader || changes.From >= changes.To {
		return
	}
	g.mu.Lock()
	changes.Doubted = g.registryDoubted()
	g.mu.Unlock()
	g.peers.SendRegistry(changes)
}

// registryDoubted reports whether the registry is unavailable or was until a moment ago, so that entries may be missing only because
// they could not be renewed. The caller must hold g.mu.
func (g *Gateway) registryDoubted() bool {
	return g.registryLost || g.registryRegainedAt > 0 && g.now().Sub(g.registryRegainedAt) < registrySettleTime
}

// SetRegistryRole sets how this gateway learns of changes of the registry.
func (g *Gateway) SetRegistryRole(role registryrelay.Role) {
	if old := registryrelay.Role(g.registryRole.Swap(uint32(role))); old != role {
		klog.InfoS("registry role", "role", role, "before", old)
	}
	g.source.SetRegistryRole(role)
}

// RegistryConfirmation returns the newest confirmation of the registry that is known here.
func (g *Gateway) RegistryConfirmation() confirmation.Confirmation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registryConfirmed
}

// PeerRegistry applies a confirmation of the registry that a peer knows.
func (g *Gateway) PeerRegistry(c confirmation.Confirmation) {
	if c.At.Millis <= 0 {
		return
	}
	g.mu.Lock()
	at, ok := g.storeClock.Local(c.At)
	g.mu.Unlock()
	if ok {
		g.source.RegistryConfirmed(c, at)
	}
}

// PeerRegistryChanges applies changes of the registry that a peer hands on.
func (g *Gateway) PeerRegistryChanges(changes registryrelay.Changes) { g.source.ApplyRegistry(changes) }
