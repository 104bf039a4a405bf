package entry

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// TierCalls is the number of open calls of a tier.
type TierCalls struct {
	Tier domain.Tier
	// Waiting is the number of calls not handed over to an agent.
	Waiting int
	// Running is the number of calls handed over.
	Running int
}

// Queues returns the number of open calls of each tier, the highest tier first.
func (c *Core) Queues() []TierCalls {
	queues := make([]TierCalls, domain.Tiers)
	for i := range queues {
		queues[i].Tier = domain.Tier(i)
	}
	for _, cl := range c.calls.byID {
		if int(cl.class.Tier) >= len(queues) {
			continue
		}
		if cl.stage == stageHandedOver {
			queues[cl.class.Tier].Running++
			continue
		}
		queues[cl.class.Tier].Waiting++
	}
	return queues
}
