package agent

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// weightLoadsKey is the row in table.Leases that rate-limits the loads of all agents from
// the weight store.
const weightLoadsKey = "rate/weights"

// weightLoadsValue is the JSON value of the row with weightLoadsKey.
type weightLoadsValue struct {
	// NextLoad is the earliest start of the next load, on the table service's clock.
	NextLoad time.Time `json:"next"`
	// Endpoint, Incarnation and WriteID identify the last write.
	Endpoint    domain.EndpointID  `json:"endpoint"`
	Incarnation domain.Incarnation `json:"incarnation"`
	WriteID     uint64             `json:"draw"`
}

// weightPermit is the agent's permit for one load from the weight store. Permits are
// written to the row with weightLoadsKey, which all agents share.
type weightPermit struct {
	granted      bool
	startAt      domain.Instant
	writeID      uint64         // of the last write
	writeStartAt domain.Instant // start of the permit if the last write took effect
	uncertain    bool           // whether the last write took effect is unknown
}

// acquireLoadPermit reports whether a load may start now, and requests a permit if the
// agent has none.
//
// Invariant: each load uses one permit, and the permits of all agents start at least
// WeightLoadInterval apart. A permit that is not used within WeightLoadInterval expires.
func (c *Core) acquireLoadPermit(now domain.Instant) bool {
	p := &c.weights
	p.granted = p.granted && now.Before(p.startAt.Add(c.cfg.WeightLoadInterval))
	if p.granted {
		return !now.Before(p.startAt)
	}
	if c.storeReady(now) {
		c.readRow(now, storeReadWeights, weightLoadsKey)
	}
	return false
}

// handleWeightsRead writes a permit that starts at NextLoad of the row, or now if that has
// passed. A write that took effect without a reply is recognized by its ID. If another
// agent's write has replaced it since, the agent writes another permit, which only delays
// the loads further.
func (c *Core) handleWeightsRead(now domain.Instant, reply table.Reply) {
	if reply.Status != table.StatusOK && reply.Status != table.StatusConflict {
		return
	}
	row := findRow(reply, weightLoadsKey)
	var value weightLoadsValue
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			c.store.retryAt = now.Add(c.cfg.MaxRetryDelay)
			c.emit(Fault{Step: StepWeights, Peer: string(table.Leases), Err: errors.Wrapf(err, "decode row %s", weightLoadsKey)})
			return
		}
	}
	p := &c.weights
	own := p.uncertain && value.Endpoint == c.cfg.EndpointID && value.Incarnation == c.cfg.Incarnation && value.WriteID == p.writeID
	if row.Version > 0 && own {
		p.grant()
		return
	}
	start := reply.Time
	if value.NextLoad.After(start) {
		start = value.NextLoad
	}
	p.uncertain = true
	p.writeID++
	p.writeStartAt = now.Add(start.Sub(reply.Time))
	c.writeRow(now, storeWriteWeights, weightLoadsKey, row.Version, encodeRow(weightLoadsValue{
		NextLoad:    start.Add(c.cfg.WeightLoadInterval),
		Endpoint:    c.cfg.EndpointID,
		Incarnation: c.cfg.Incarnation,
		WriteID:     p.writeID,
	}))
}

// grant records that the last write took effect and its permit is valid.
func (p *weightPermit) grant() {
	p.granted = true
	p.uncertain = false
	p.startAt = p.writeStartAt
}

// handleWeightsWritten processes the reply to a write.
func (c *Core) handleWeightsWritten(now domain.Instant, reply table.Reply) {
	switch reply.Status {
	case table.StatusOK:
		c.weights.grant()
	case table.StatusConflict:
		c.handleWeightsRead(now, reply)
	}
}
