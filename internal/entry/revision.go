package entry

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// onConfig puts a configuration in force. Admitted calls keep the class that
// they were admitted with.
//
// Invariant: the revision in force never decreases.
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

// previousConfig is a replaced configuration whose shares other entries may still
// use, until a time.
type previousConfig struct {
	config domain.Config
	until  domain.Instant
}

// keepPreviousConfig adds the configuration in force to the previous ones and
// drops those that are no longer used.
func (c *Core) keepPreviousConfig() {
	c.sharesEffective = c.now.Add(shareIncreaseDelay)
	kept := c.previous[:0]
	for _, p := range c.previous {
		if c.now < p.until {
			kept = append(kept, p)
		}
	}
	c.previous = append(kept, previousConfig{config: c.config, until: c.sharesEffective})
}

// isLocal reports whether an agent is configured in this entry's data centre.
func (c *Core) isLocal(a *agent) bool {
	if c.config == nil {
		return false
	}
	endpoint, ok := c.config.Endpoint(a.id)
	return ok && endpoint.DataCentre == c.settings.DataCentre
}
