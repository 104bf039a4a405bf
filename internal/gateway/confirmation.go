package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
)

// ConfigurationConfirmed records that the current configuration was the newest
// at a boot-clock time. Keys are accepted for a part of Settings.KeyValidity from
// then on; see package validity. A store that came back from a copy confirms nothing
// until the operator has written the current configuration or a newer one again. The reading of the store's clock in a reply
// that waited at the store or took long to arrive tells of a later time than that of its request.
func (g *Gateway) ConfigurationConfirmed(at time.Duration, reading confirmation.StoreTime) {
	config := g.config.Load()
	if config == nil {
		return
	}
	g.mu.Lock()
	if repliedAt, ok := g.storeClock.Local(reading); ok {
		at = max(at, repliedAt)
	}
	current := g.storedVersion >= config.Version
	confirmed := confirmation.Confirmation{Version: config.Version, At: reading}
	if current && reading.Millis > 0 && g.validity.Trusts(at) && confirmed.Newer(g.confirmed) {
		g.confirmed = confirmed
	}
	g.mu.Unlock()
	if current {
		g.validity.Confirm(at)
	}
}

// StoreAnswered records a reading of the store's clock.
func (g *Gateway) StoreAnswered(sentAt time.Duration, reading confirmation.StoreTime) {
	if g.usage != nil {
		g.usage.sawEra(reading.Era)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeClock.Observe(sentAt, reading)
}

// Confirmation returns the newest confirmation of the configuration that is known here.
func (g *Gateway) Confirmation() confirmation.Confirmation {
	g.mu.Lock()
	c := g.confirmed
	g.mu.Unlock()
	config := g.config.Load()
	c.KeyRequired = g.keyRequired.Load() && (config == nil || !config.RequiresKey)
	return c
}

// PeerConfirmation applies a confirmation that a peer knows. If it is of a later
// configuration than the current one, that is read.
func (g *Gateway) PeerConfirmation(peer string, c confirmation.Confirmation) {
	if c.KeyRequired {
		g.recordKeyRequirement(peer)
		c.KeyRequired = false
	}
	config := g.config.Load()
	if config == nil || c.At.Millis <= 0 {
		return
	}
	if c.Version > config.Version {
		g.mu.Lock()
		due := g.asker.Allowed(bootclock.Now())
		g.mu.Unlock()
		if due {
			klog.InfoS("configuration behind a peer's", "peer", peer, "version", config.Version, "peer_version", c.Version)
			g.source.Refresh()
		}
		return
	}
	g.mu.Lock()
	at, ok := g.storeClock.Local(c.At)
	ok = ok && c.Version == config.Version && g.storedVersion >= config.Version
	if ok && c.Newer(g.confirmed) {
		g.confirmed = c
	}
	g.mu.Unlock()
	if ok {
		g.validity.Confirm(at)
	}
}

// renewConfirmation asks the store whether the configuration is the newest if that was
// confirmed too long ago.
func (g *Gateway) renewConfirmation() {
	now := bootclock.Now()
	age, known := g.validity.Age(now)
	g.mu.Lock()
	g.asker.SetShared(registryrelay.Role(g.registryRole.Load()) == registryrelay.HandedOn)
	due := known && g.asker.Due(now, age)
	g.mu.Unlock()
	if due {
		g.source.Confirm()
	}
}
