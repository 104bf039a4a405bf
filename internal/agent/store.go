package agent

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// storePurpose is the purpose of a request to the store, which is the platform's table
// service. The weight store is another service, which the agent does not call.
type storePurpose uint8

const (
	storeReadLease storePurpose = iota + 1
	storeWriteLease
	storeReleaseLease
	storeReadWeights
	storeWriteWeights
)

// storeState is the state of requests to the table service. At most one is pending.
type storeState struct {
	lastID   uint64
	pending  bool // the request with lastID has no reply yet
	purpose  storePurpose
	sentAt   domain.Instant
	retryAt  domain.Instant
	failures int // consecutive
}

// storeReady reports whether a request may be sent now.
func (c *Core) storeReady(now domain.Instant) bool {
	return !c.store.pending && !now.Before(c.store.retryAt)
}

// request sends a request to the table service.
func (c *Core) request(now domain.Instant, purpose storePurpose, request table.Request) {
	s := &c.store
	s.lastID++
	s.pending = true
	s.purpose = purpose
	s.sentAt = now
	c.emit(StoreRequest{ID: s.lastID, Request: request})
}

// readRow requests a row of table.Leases.
func (c *Core) readRow(now domain.Instant, purpose storePurpose, key string) {
	get := table.Get{Table: table.Leases, Key: key}
	c.request(now, purpose, table.Request{Gets: []table.Get{get}})
}

// writeRow writes a row of table.Leases on the condition that it still has the given
// version.
func (c *Core) writeRow(now domain.Instant, purpose storePurpose, key string, version uint64, value []byte) {
	c.request(now, purpose, table.Request{
		Conditions: []table.Condition{{Table: table.Leases, Key: key, Version: version}},
		Writes:     []table.Write{{Table: table.Leases, Key: key, Value: value}},
	})
}

// handleStoreReply dispatches a reply by the purpose of its request. After a failed request,
// or one whose effect is unknown, the next one is a read after a retry delay. The reply to
// storeReleaseLease needs no action: a lease that was not released expires.
func (c *Core) handleStoreReply(now domain.Instant, in StoreReply) {
	s := &c.store
	if !s.pending || in.ID != s.lastID {
		return
	}
	s.pending = false
	reply := in.Reply
	switch reply.Status {
	case table.StatusOK, table.StatusConflict:
		s.failures = 0
	default:
		s.failures++
		s.retryAt = now.Add(c.retryDelay(s.failures))
	}
	switch s.purpose {
	case storeReadLease:
		c.handleLeaseRead(now, reply)
	case storeWriteLease:
		c.handleLeaseWritten(now, reply)
	case storeReadWeights:
		c.handleWeightsRead(now, reply)
	case storeWriteWeights:
		c.handleWeightsWritten(now, reply)
	}
}

// findRow returns the row of a key in a reply, or a row with version 0 if it is absent.
func findRow(reply table.Reply, key string) table.Row {
	for _, row := range reply.Rows {
		if row.Key == key {
			return row
		}
	}
	return table.Row{Key: key}
}

// retryDelay returns an exponential backoff with jitter for a number of consecutive
// failures, at least 1. The result is between half and all of the backoff. The jitter comes
// from a hash of endpoint and request, so that agents don't all retry at the same time
// after an outage.
func (c *Core) retryDelay(failures int) time.Duration {
	const maxDoublings = 10 // prevents an overflow of the shift
	delay := c.cfg.MinRetryDelay << min(failures-1, maxDoublings)
	delay = min(delay, c.cfg.MaxRetryDelay)
	seed := string(c.cfg.EndpointID) + "/" + strconv.FormatUint(c.store.lastID, 10)
	half := uint64(delay / 2)
	return time.Duration(half + xxhash.Sum64String(seed)%(half+1))
}
