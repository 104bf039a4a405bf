package agent

import (
	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// orderKey identifies an order by kind and name (of the model, adapter or role).
type orderKey struct {
	kind OrderKind
	name string
}

// orderRecord is the progress of one declared order.
type orderRecord struct {
	declared bool // in the current declaration
	done     bool // the endpoint has confirmed it
	failures int
	retryAt  domain.Instant
}

// orderState is the state of the order in flight. There is at most one.
type orderState struct {
	lastID   uint64
	inFlight bool
	key      orderKey
	// superseded reports that a later incarnation has acquired the lease. This
	// incarnation then sends no more orders.
	superseded bool
	// uncertainUntil is the time until which a failed order may still be in transit.
	uncertainUntil domain.Instant
}

// updateOrders adds the orders of the current declaration and removes all others.
func (c *Core) updateOrders() {
	for _, record := range c.orders.all {
		record.declared = false
	}
	endpoint := c.desired.endpoint
	for _, model := range endpoint.Models {
		c.declareOrder(OrderLoadModel, string(model))
	}
	for _, adapter := range endpoint.Adapters {
		c.declareOrder(OrderLoadAdapter, adapter)
	}
	if endpoint.Role != "" {
		c.declareOrder(OrderRole, endpoint.Role)
	}
	for key, record := range c.orders.all {
		if !record.declared {
			c.orders.remove(key)
		}
	}
}

// declareOrder marks an order as declared and adds it if it is new.
func (c *Core) declareOrder(kind OrderKind, name string) {
	key := orderKey{kind: kind, name: name}
	if record := c.orders.get(key); record != nil {
		record.declared = true
		return
	}
	c.orders.put(key, &orderRecord{declared: true})
}

// resetOrders marks all orders as not done, because an endpoint that was unreachable may
// have restarted and lost its models, adapters and role.
func (c *Core) resetOrders() {
	for _, record := range c.orders.all {
		record.done = false
	}
}

// tickOrder sends the next due order if the agent holds the lease and, for loads, a
// permit to load from the weight store. Only one order is in flight at a time, so that
// orders can't overtake each other.
func (c *Core) tickOrder(now domain.Instant) {
	if c.order.inFlight || c.desired.exited {
		return
	}
	key, record := c.nextOrder(now)
	if record == nil {
		c.releaseLease(now)
		return
	}
	loadsWeights := key.kind != OrderRole
	if loadsWeights && !c.acquireLoadPermit(now) {
		return
	}
	if !c.leaseValid(now) {
		if c.storeReady(now) {
			c.acquireLease(now)
		}
		return
	}
	if loadsWeights {
		c.weights.granted = false
	}
	c.order.lastID++
	c.order.inFlight = true
	c.order.key = key
	c.emit(Order{
		Order:   c.order.lastID,
		Kind:    key.kind,
		Name:    key.name,
		Fencing: c.lease.fencing,
		Until:   c.lease.validUntil,
	})
}

// nextOrder returns the first order that is due, or nil. If the endpoint does not check
// fencing numbers, there is none while a failed order may still be in transit.
func (c *Core) nextOrder(now domain.Instant) (orderKey, *orderRecord) {
	uncertain := !c.desired.endpoint.ChecksFencing && now.Before(c.order.uncertainUntil)
	unreachable := now.Before(c.load.retryAt)
	if c.stopping() || c.order.superseded || uncertain || unreachable {
		return orderKey{}, nil
	}
	for key, record := range c.orders.all {
		if !record.done && !now.Before(record.retryAt) {
			return key, record
		}
	}
	return orderKey{}, nil
}

// handleOrderEnd processes the result of the order in flight. A failed order may still be
// in transit, so the agent drops its lease and sends the next order under a new fencing
// number.
func (c *Core) handleOrderEnd(now domain.Instant, in OrderEnd) {
	if !c.order.inFlight || in.Order != c.order.lastID {
		return
	}
	c.order.inFlight = false
	record := c.orders.get(c.order.key)
	if in.OK {
		if record != nil {
			record.done = true
			record.failures = 0
		}
		return
	}
	c.lease.held = false
	// validUntil is LeaseMargin before the end of the lease. LeaseMargin after the end, no
	// order of this lease is in transit.
	c.order.uncertainUntil = c.lease.validUntil.Add(2 * c.cfg.LeaseMargin)
	c.emit(Fault{
		Step: StepOrder,
		Peer: string(c.cfg.EndpointID),
		Err:  errors.Newf("%s %s: fenced=%t: %s", c.order.key.kind, c.order.key.name, in.Fenced, in.Message),
	})
	if record != nil {
		record.failures++
		record.retryAt = now.Add(c.retryDelay(record.failures))
	}
}
