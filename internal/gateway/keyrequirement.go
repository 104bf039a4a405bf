package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// The invariant of keys: once requests to a deployment have needed a key, they need one under each later configuration, so that no loss of
// keys admits anybody.
//
//	list of client accounts     requests to routes that aren't public
//	none, and never was one     need no key
//	none, but an earlier one    need a key, and no key is known
//	empty, or without keys      need a key, and no key is known
//	with keys                   need one of them
//
// Routes without keys are declared public. What earlier configurations had is known to processes that had one in force, which tell their
// peers. It is lost if all of them end before another one has heard.

// keyHearsayTime is how long after its start a process waits for what peers know of earlier configurations, if the one in force has no
// list of client accounts. Peers whose states are relayed tell it at an interval of seconds.
const keyHearsayTime = 2 * time.Second

// requiresKey reports whether requests that a configuration allows need the key of a client account.
func (g *Gateway) requiresKey(c *routing.Config) bool {
	return c.RequiresKey || g.keyRequired.Load()
}

// keyRequirementUnknown reports whether an earlier configuration may have had client accounts, as peers have had no time to say so.
func (g *Gateway) keyRequirementUnknown(c *routing.Config) bool {
	return !g.requiresKey(c) && !g.settings.FirstStart && time.Since(g.started) < keyHearsayTime && len(g.peers.Known()) > 0
}

// recordKeyRequirement records that a configuration with a list of client accounts is or was in force; peer is who says so, if any.
func (g *Gateway) recordKeyRequirement(peer string) {
	if !g.keyRequired.Swap(true) && peer != "" {
		klog.InfoS("keys required", "cause", "an earlier configuration had client accounts", "peer", peer)
	}
}
