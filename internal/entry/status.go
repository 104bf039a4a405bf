package entry

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// TierCalls are the numbers of open calls of a tier.
type TierCalls struct {
	Tier domain.Tier
	// Waiting is the number of calls not handed over to an agent.
	Waiting int
	// Running is the number of calls handed over.
	Running int
}

// CallsByTier returns the numbers of open calls of each tier, the highest tier first.
// Declared tiers are below domain.TierCount; calls of any other tier are left out.
func (c *Core) CallsByTier() []TierCalls {
	counts := make([]TierCalls, domain.TierCount)
	for i := range counts {
		counts[i].Tier = domain.Tier(i)
	}
	for _, cl := range c.calls.byID {
		if int(cl.class.Tier) >= len(counts) {
			continue
		}
		if cl.stage == stageHandedOver {
			counts[cl.class.Tier].Running++
			continue
		}
		counts[cl.class.Tier].Waiting++
	}
	return counts
}
