package entry

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// onConfig puts a configuration in force. Calls that were admitted keep the
// class with which they came in.
//
// Invariant: the revision in force never falls.
func (c *Core) onConfig(config domain.Config) {
	if c.config != nil && config.Revision() <= c.config.Revision() {
		return
	}
	if c.config != nil {
		c.keepPreviousConfig()
	}
	c.config = config
	for _, a := range c.agents.ordered {
		if local := c.isLocal(a); local != a.local {
			a.local = local
			c.rejoinPools(a)
		}
		c.updatePools(a)
	}
}

// previousConfig is a configuration whose shares other entries may still use.
type previousConfig struct {
	config domain.Config
	until  domain.Instant
}

func (c *Core) keepPreviousConfig() {
	c.sharesEffective = c.now.Add(shareIncreaseDelay)
	kept := c.previous[:0]
	for _, f := range c.previous {
		if c.now < f.until {
			kept = append(kept, f)
		}
	}
	c.previous = append(kept, previousConfig{config: c.config, until: c.sharesEffective})
}

func (c *Core) isLocal(a *agent) bool {
	if c.config == nil {
		return false
	}
	endpoint, ok := c.config.Endpoint(a.id)
	return ok && endpoint.DataCentre == c.cfg.DataCentre
}
