package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

const (
	// abandonedClaimAge is the age at which a claim without an outcome counts as
	// abandoned. Repeats then end with outcome unknown at once, instead of waiting
	// for its call. An outcome that the call still writes later replaces the claim.
	abandonedClaimAge = 15 * time.Minute
	// claimRetention is how long a claim and its outcome are kept. A later call
	// with the key counts as new.
	claimRetention = 24 * time.Hour
	// maxClaimsPerRequest bounds a transaction of the table service.
	maxClaimsPerRequest = 32
	// maxClaimRequestsInFlight bounds the concurrent transactions of an entry.
	maxClaimRequestsInFlight = 4
	// maxClaimTries is the number of requests without a reply after which a
	// pending claim fails.
	maxClaimTries = 3
	// storeRetryInterval is the time without new claims after the table service
	// was found to be down. It is also the Retry-After of calls refused meanwhile.
	storeRetryInterval = time.Second
	// maxLostReplies is the number of consecutive lost replies after which the
	// table service counts as down.
	maxLostReplies = 2
)

// claimBatch is the claims in one request to the table service.
type claimBatch struct {
	claims []*claim
	// readOnly is set for requests before the service's time is known. They
	// read the time and the rows of the keys, and write nothing.
	readOnly bool
}

// claimTable holds this entry's open claims, the queue of claims to write, and
// the availability and clock of the table service.
type claimTable struct {
	byKey          map[string]*claim
	queue          []*claim
	flushAt        domain.Instant // end of the current ClaimWindow
	batches        map[uint64]claimBatch
	lastRequestID  uint64
	unwrittenBytes int // of stored answers that are not written yet

	downUntil      domain.Instant // no requests before, as the service is down
	lostReplies    int            // consecutive
	timeKnown      bool
	time           time.Time      // of the table service, in its last reply
	timeReceivedAt domain.Instant // of that reply, on this entry's clock
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[string]*claim{}, batches: map[uint64]claimBatch{}}
}

// openCount returns the number of open claims: those whose call is in progress, or
// whose outcome or release is not written.
func (t *claimTable) openCount() int { return len(t.byKey) }

// enqueueClaim queues a claim's record for the next batch. A claim in flight is
// queued again, if necessary, when its reply comes.
func (c *Core) enqueueClaim(cm *claim) {
	if cm.queued || cm.inFlight {
		return
	}
	if len(c.claims.queue) == 0 {
		c.claims.flushAt = c.now.Add(c.settings.ClaimWindow)
	}
	cm.queued = true
	c.claims.queue = append(c.claims.queue, cm)
}

// removeClaim drops a claim that has nothing left to write.
func (c *Core) removeClaim(cm *claim) {
	if c.claims.byKey[cm.key] == cm {
		delete(c.claims.byKey, cm.key)
	}
	c.claims.unwrittenBytes -= cm.record.Answer.size()
	cm.record.Answer = nil
	cm.stage = 0 // removed
}

// flushClaims sends the queued claims, up to maxClaimsPerRequest in a request and
// maxClaimRequestsInFlight requests at a time, which bounds the number of
// transactions. Until the service's time is known it
// sends at most one request per tick, a read: the reply has the time that records need.
func (c *Core) flushClaims() {
	t := &c.claims
	if c.now < t.flushAt || c.now < t.downUntil {
		return
	}
	for len(t.queue) > 0 && len(t.batches) < maxClaimRequestsInFlight {
		if claims := t.nextBatch(); len(claims) > 0 {
			c.sendClaims(claims)
		}
		if !t.timeKnown {
			return // records need the service's time
		}
	}
}

// nextBatch takes the claims for one request from the queue. It may return none,
// as removed claims are skipped.
func (t *claimTable) nextBatch() []*claim {
	var claims []*claim
	for len(t.queue) > 0 && len(claims) < maxClaimsPerRequest {
		cm := t.queue[0]
		if cm.sendAlone && len(claims) > 0 {
			break
		}
		t.queue = t.queue[1:]
		cm.queued = false
		if cm.stage == 0 {
			continue // removed while queued
		}
		claims = append(claims, cm)
		if cm.sendAlone {
			break
		}
	}
	return claims
}

// sendClaims sends one request for a batch. Each write is conditional on the last
// known version of its row.
func (c *Core) sendClaims(claims []*claim) {
	var request table.Request
	for _, cm := range claims {
		cm.inFlight = true
		if !c.claims.timeKnown {
			request.Gets = append(request.Gets, table.Get{Table: table.Claims, Key: cm.key})
			continue
		}
		cm.record.TimeMS = c.storeTime().UnixMilli()
		cm.sentState = cm.record.State
		request.Conditions = append(request.Conditions, table.Condition{Table: table.Claims, Key: cm.key, Version: cm.version})
		request.Writes = append(request.Writes, table.Write{Table: table.Claims, Key: cm.key, Value: cm.record.encode()})
	}
	c.claims.lastRequestID++
	c.claims.batches[c.claims.lastRequestID] = claimBatch{claims: claims, readOnly: !c.claims.timeKnown}
	c.emit(StoreRequest{ID: c.claims.lastRequestID, Request: request})
}

// onStoreReply handles the table service's reply to a batch or to the sweep.
func (c *Core) onStoreReply(in StoreReply) {
	if in.ID == c.sweep.requestID {
		c.updateStoreState(in.Reply)
		c.onSweepReply(in.Reply)
		return
	}
	batch, ok := c.claims.batches[in.ID]
	if !ok {
		return
	}
	delete(c.claims.batches, in.ID)
	for _, cm := range batch.claims {
		cm.inFlight = false
	}
	c.updateStoreState(in.Reply)
	switch in.Reply.Status {
	case table.StatusOK:
		c.onClaimsOK(batch, in.Reply)
	case table.StatusConflict:
		c.onClaimsConflict(batch, in.Reply)
	case table.StatusUnavailable:
		for _, cm := range batch.claims {
			c.onClaimFailed(cm)
		}
	default:
		c.onClaimsLost(batch)
	}
	if c.now < c.claims.downUntil {
		c.failQueuedClaims()
	}
}

// failQueuedClaims ends all calls with queued pending claims while the table
// service is down. Outcomes and releases stay queued.
func (c *Core) failQueuedClaims() {
	queue := c.claims.queue
	c.claims.queue = nil
	for _, cm := range queue {
		cm.queued = false
		switch cm.stage {
		case 0: // removed while queued
		case claimPending:
			c.finishNotClaimed(cm.call)
		default:
			c.enqueueClaim(cm)
		}
	}
}

// updateStoreState updates the service's availability and time from a reply.
func (c *Core) updateStoreState(reply table.Reply) {
	t := &c.claims
	switch reply.Status {
	case table.StatusOK, table.StatusConflict:
		t.lostReplies = 0
		t.downUntil = 0
		if !reply.Time.IsZero() {
			t.timeKnown = true
			t.time = reply.Time
			t.timeReceivedAt = c.now
		}
	case table.StatusUnavailable:
		t.downUntil = c.now.Add(storeRetryInterval)
	default:
		t.lostReplies++
		if t.lostReplies >= maxLostReplies {
			t.downUntil = c.now.Add(storeRetryInterval)
		}
	}
}

// storeTime estimates the table service's time. Apart from clock drift since the
// last reply, the estimate is never ahead of the service's clock.
func (c *Core) storeTime() time.Time {
	return c.claims.time.Add(c.now.Sub(c.claims.timeReceivedAt))
}

// onClaimsOK handles the reply to a batch that was read or written.
func (c *Core) onClaimsOK(batch claimBatch, reply table.Reply) {
	for _, cm := range batch.claims {
		if !batch.readOnly {
			cm.version++
			c.onClaimWritten(cm)
			continue
		}
		if row, ok := findRow(reply.Rows, cm.key); ok {
			c.onClaimFound(cm, row)
		} else {
			c.enqueueClaim(cm)
		}
	}
}

// onClaimWritten handles a confirmed write.
func (c *Core) onClaimWritten(cm *claim) {
	switch {
	case cm.sentState != cm.record.State:
		c.enqueueClaim(cm) // the call ended while its claim was in flight
	case cm.stage == claimPending:
		c.confirmClaim(cm)
	default:
		c.removeClaim(cm)
	}
}

// onClaimsConflict handles a batch of which nothing was written because some
// rows were not at the expected version. Claims whose rows were returned are
// resolved by them; the others are sent again. If no row identifies the
// conflicting claim, each claim is sent in a request of its own.
func (c *Core) onClaimsConflict(batch claimBatch, reply table.Reply) {
	found := 0
	for _, cm := range batch.claims {
		row, ok := findRow(reply.Rows, cm.key)
		if ok {
			found++
			c.onClaimFound(cm, row)
			continue
		}
		if len(batch.claims) == 1 {
			cm.version = 0 // the row was deleted
		}
		c.enqueueClaim(cm)
	}
	if found == 0 {
		for _, cm := range batch.claims {
			cm.sendAlone = true
		}
	}
}

// onClaimsLost handles a request without a reply. Its writes may have taken
// effect, or still may. The next write has the same condition, so it either
// takes effect or returns the row, whose owner identifies this entry's write.
func (c *Core) onClaimsLost(batch claimBatch) {
	for _, cm := range batch.claims {
		cm.uncertain = cm.uncertain || !batch.readOnly
		cm.tries++
		if cm.stage == claimPending && cm.tries < maxClaimTries && c.now >= c.claims.downUntil {
			c.enqueueClaim(cm)
			continue
		}
		c.onClaimFailed(cm)
	}
}

// onClaimFailed ends the call of a pending claim that could not be written. The
// write of an outcome or a release is tried again.
func (c *Core) onClaimFailed(cm *claim) {
	if cm.stage == claimPending {
		c.finishNotClaimed(cm.call)
		return
	}
	c.enqueueClaim(cm)
}

// onClaimFound handles the row that the table service returned for a claim's key.
func (c *Core) onClaimFound(cm *claim, row table.Row) {
	record, err := decodeRecord(row.Value)
	switch {
	case err == nil && record.Owner == cm.owner:
		c.onOwnClaimFound(cm, record, row.Version)
	case cm.stage != claimPending:
		c.removeClaim(cm) // the row of another call proves that ours is gone
	case err != nil:
		cm.uncertain = false
		c.finishClaimUnreadable(cm.call)
	default:
		c.onKeyClaimedInStore(cm, record, row.Version, c.storeTime())
	}
}

// onOwnClaimFound handles a row that this claim wrote, after a lost reply.
func (c *Core) onOwnClaimFound(cm *claim, record claimRecord, version uint64) {
	cm.version = version
	cm.uncertain = false
	switch {
	case cm.stage == claimPending:
		c.confirmClaim(cm)
	case record.State == cm.record.State:
		c.removeClaim(cm)
	default:
		c.enqueueClaim(cm)
	}
}

func findRow(rows []table.Row, key string) (table.Row, bool) {
	for _, row := range rows {
		if row.Key == key {
			return row, true
		}
	}
	return table.Row{}, false
}
