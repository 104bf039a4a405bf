package agent

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// leaseValue is the JSON value of an endpoint's row in table.Leases.
type leaseValue struct {
	Holder domain.Incarnation `json:"holder"`
	// Fencing rises with each acquisition.
	Fencing uint64 `json:"fencing"`
	// Expires is on the table service's clock. It is zero after a release.
	Expires time.Time `json:"expires"`
}

// leaseState is the agent's own lease on its endpoint.
type leaseState struct {
	held       bool
	fencing    uint64
	version    uint64 // of the row
	validUntil domain.Instant
	// attemptedFencing is the fencing number of the last write that is not confirmed, 0
	// for none. The write may have taken effect although its reply was lost.
	attemptedFencing uint64
	// attemptedAt is the time of the first write with attemptedFencing.
	attemptedAt domain.Instant
}

// leaseValid reports whether orders may be sent under the lease.
//
// Invariant: orders are sent only until LeaseMargin before the end of the lease on the
// agent's own clock, counted from when the acquiring request was sent. An agent that
// was paused beyond that sends no order until it has acquired a new lease.
func (c *Core) leaseValid(now domain.Instant) bool {
	return c.lease.held && now.Before(c.lease.validUntil)
}

// acquireLease starts to acquire the lease by reading its row.
func (c *Core) acquireLease(now domain.Instant) {
	c.lease.held = false
	c.readRow(now, storeReadLease, string(c.cfg.EndpointID))
}

// handleLeaseRead processes a row that was read or returned with a conflict. It adopts a
// write of this agent whose reply was lost, waits for an earlier holder, or writes the
// lease. If a later incarnation has acquired the lease, even if it has released it since,
// this incarnation sends no more orders.
func (c *Core) handleLeaseRead(now domain.Instant, reply table.Reply) {
	if reply.Status != table.StatusOK && reply.Status != table.StatusConflict {
		return
	}
	row := findRow(reply, string(c.cfg.EndpointID))
	value, err := decodeLease(row)
	if err != nil {
		c.reportLeaseFault(now, err)
		return
	}
	own := row.Version > 0 && value.Holder == c.cfg.Incarnation
	if own && value.Fencing == c.lease.attemptedFencing {
		c.setLease(value.Fencing, row.Version, c.lease.attemptedAt)
		if c.leaseValid(now) {
			return
		}
	}
	if value.Holder > c.cfg.Incarnation {
		c.order.superseded = true
		c.reportLeaseFault(now, errors.Newf("a later incarnation %d holds the lease", value.Holder))
		return
	}
	if wait := c.leaseWait(value, reply.Time); !own && wait > 0 {
		c.store.retryAt = now.Add(wait)
		return
	}
	c.writeLease(now, row, value.Fencing+1, reply.Time)
}

// leaseWait returns how long to wait for the end of an earlier holder's lease. There is
// no wait if the lease was released or the endpoint itself rejects old fencing numbers.
//
// Invariant: if the endpoint does not check fencing numbers, no order is sent until an
// earlier holder's lease and LeaseMargin have passed on the table service's clock.
func (c *Core) leaseWait(value leaseValue, tableTime time.Time) time.Duration {
	if c.desired.endpoint.ChecksFencing || value.Expires.IsZero() {
		return 0
	}
	return value.Expires.Add(c.cfg.LeaseMargin).Sub(tableTime)
}

// writeLease writes the lease if the row still has the version that was read. tableTime is
// the table service's time in the reply with the row. tableTime plus the time since the
// read was sent is not before the service's current time, so the written expiry is not
// earlier than the end of the lease on the agent's own clock.
func (c *Core) writeLease(now domain.Instant, row table.Row, fencing uint64, tableTime time.Time) {
	sinceRead := now.Sub(c.store.sentAt)
	value := leaseValue{
		Holder:  c.cfg.Incarnation,
		Fencing: fencing,
		Expires: tableTime.Add(sinceRead + c.cfg.LeaseTTL),
	}
	if c.lease.attemptedFencing != fencing {
		c.lease.attemptedFencing = fencing
		c.lease.attemptedAt = now
	}
	c.writeRow(now, storeWriteLease, row.Key, row.Version, encodeRow(value))
	c.lease.version = row.Version + 1 // used only if the write is confirmed
}

// handleLeaseWritten processes the reply to a write. A write without a reply may have
// taken effect; the next read detects that by the holder and fencing number.
func (c *Core) handleLeaseWritten(now domain.Instant, reply table.Reply) {
	switch reply.Status {
	case table.StatusOK:
		c.setLease(c.lease.attemptedFencing, c.lease.version, c.store.sentAt)
	case table.StatusConflict:
		c.handleLeaseRead(now, reply)
	}
}

// setLease marks the lease as held. sentAt is when the acquiring request was sent.
func (c *Core) setLease(fencing, version uint64, sentAt domain.Instant) {
	c.lease = leaseState{
		held:       true,
		fencing:    fencing,
		version:    version,
		validUntil: sentAt.Add(c.cfg.LeaseTTL - c.cfg.LeaseMargin),
	}
}

// releaseLease releases the lease when there are no orders to send, so that a later
// incarnation does not have to wait. After a failed order, which may still be in
// transit, the lease is no longer held here and expires without a release.
func (c *Core) releaseLease(now domain.Instant) {
	if !c.lease.held || !c.storeReady(now) {
		return
	}
	c.lease.held = false
	value := leaseValue{Holder: c.cfg.Incarnation, Fencing: c.lease.fencing}
	c.writeRow(now, storeReleaseLease, string(c.cfg.EndpointID), c.lease.version, encodeRow(value))
}

// reportLeaseFault logs that the lease can't be acquired and delays the next request by
// MaxRetryDelay.
func (c *Core) reportLeaseFault(now domain.Instant, err error) {
	c.store.retryAt = now.Add(c.cfg.MaxRetryDelay)
	c.emit(Fault{Step: StepLease, Peer: string(table.Leases), Err: err})
}

// decodeLease returns the value of a lease row, or the zero value if the row is absent.
func decodeLease(row table.Row) (leaseValue, error) {
	var value leaseValue
	if row.Version == 0 {
		return value, nil
	}
	err := json.Unmarshal(row.Value, &value)
	return value, errors.Wrapf(err, "decode lease row %s", row.Key)
}

// encodeRow returns the JSON value of a row. It panics on an error, which the row types
// can't cause.
func encodeRow(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode row"))
	}
	return raw
}
