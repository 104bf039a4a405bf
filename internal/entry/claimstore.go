package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

const (
	// abandonedClaimAge is the time after which a claim without an outcome counts as
	// abandoned: repeats are told that the outcome is unknown.
	abandonedClaimAge = 15 * time.Minute
	// claimRetention is how long a claim and its outcome are kept. A repeat
	// after it is a new call.
	claimRetention = 24 * time.Hour
	// maxClaimsPerRequest is the number of claims in one request.
	maxClaimsPerRequest = 32
	// maxClaimRequestsInFlight is the number of requests in flight.
	maxClaimRequestsInFlight = 4
	// maxClaimTries is the number of requests without a reply after which a call is given up.
	maxClaimTries = 3
	// storeRetryInterval is the time without new claims after the table service has failed.
	storeRetryInterval = time.Second
	// maxLostReplies is the number of lost replies in a row after which the
	// table service counts as down.
	maxLostReplies = 2
)

// claimBatch is the claims in one request.
type claimBatch struct {
	claims []*claim
	// readOnly is set for the first request, which asks for the service's time and the rows.
	readOnly bool
}

// claimTable holds the claims by row key, and those to write in order.
type claimTable struct {
	byKey          map[string]*claim
	queue          []*claim
	flushAt        domain.Instant // end of the window in which claims are collected
	batches        map[uint64]claimBatch
	lastRequestID  uint64
	unwrittenBytes int // bytes of answers to write

	downUntil      domain.Instant // no new claims before
	lostReplies    int            // replies lost in a row
	timeKnown      bool
	time           time.Time      // of the table service
	timeReceivedAt domain.Instant // on this entry's clock
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[string]*claim{}, batches: map[uint64]claimBatch{}}
}

// unsettled returns the number of claims that a stopping entry still has to write.
func (t *claimTable) unsettled() int { return len(t.byKey) }

// enqueueClaim has a claim's record written with the next group.
func (c *Core) enqueueClaim(cm *claim) {
	if cm.queued || cm.inFlight {
		return
	}
	if len(c.claims.queue) == 0 {
		c.claims.flushAt = c.now.Add(c.cfg.ClaimWindow)
	}
	cm.queued = true
	c.claims.queue = append(c.claims.queue, cm)
}

func (c *Core) removeClaim(cm *claim) {
	if c.claims.byKey[cm.key] == cm {
		delete(c.claims.byKey, cm.key)
	}
	c.claims.unwrittenBytes -= cm.record.Answer.size()
	cm.record.Answer = nil
	cm.stage = 0
}

// flushClaims sends the claims that were collected, in groups, so that the
// number of transactions stays bounded.
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
			return // the others wait for the service's time
		}
	}
}

// nextBatch takes the claims of one request from the queue.
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
			continue // removed since
		}
		claims = append(claims, cm)
		if cm.sendAlone {
			break
		}
	}
	return claims
}

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

// onStoreReply takes the table service's answer to a group.
func (c *Core) onStoreReply(in StoreReply) {
	if in.ID == c.sweep.requestID {
		c.updateStoreState(in.Reply)
		c.onSweepReply(in.Reply)
		return
	}
	g, ok := c.claims.batches[in.ID]
	if !ok {
		return
	}
	delete(c.claims.batches, in.ID)
	for _, cm := range g.claims {
		cm.inFlight = false
	}
	c.updateStoreState(in.Reply)
	switch in.Reply.Status {
	case table.StatusOK:
		c.onClaimsOK(g, in.Reply)
	case table.StatusConflict:
		c.onClaimsConflict(g, in.Reply)
	case table.StatusUnavailable:
		for _, cm := range g.claims {
			c.onClaimFailed(cm)
		}
	default:
		c.onClaimsLost(g)
	}
	if c.now < c.claims.downUntil {
		c.failQueuedClaims()
	}
}

// failQueuedClaims gives up at once the calls that wait to be claimed by a
// table service that is down.
func (c *Core) failQueuedClaims() {
	queue := c.claims.queue
	c.claims.queue = nil
	for _, cm := range queue {
		cm.queued = false
		switch cm.stage {
		case 0:
		case claimPending:
			c.finishStoreDown(cm.call)
		default:
			c.enqueueClaim(cm)
		}
	}
}

// updateStoreState learns from a reply whether the service is up, and its time.
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

// storeTime estimates the table service's clock. It is never ahead of it but
// for the drift of this entry's clock since the last reply.
func (c *Core) storeTime() time.Time {
	return c.claims.time.Add(c.now.Sub(c.claims.timeReceivedAt))
}

func (c *Core) onClaimsOK(g claimBatch, reply table.Reply) {
	for _, cm := range g.claims {
		if !g.readOnly {
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

// onClaimWritten goes on after a write that took effect.
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

// onClaimsConflict settles the claims whose rows came back. The others of the
// group were not written for no fault of their own, and go again.
func (c *Core) onClaimsConflict(g claimBatch, reply table.Reply) {
	found := 0
	for _, cm := range g.claims {
		row, ok := findRow(reply.Rows, cm.key)
		if ok {
			found++
			c.onClaimFound(cm, row)
			continue
		}
		if len(g.claims) == 1 {
			cm.version = 0 // the row has been removed since
		}
		c.enqueueClaim(cm)
	}
	if found == 0 {
		for _, cm := range g.claims {
			cm.sendAlone = true
		}
	}
}

// onClaimsLost goes on after a request without a reply. Its writes may have
// taken effect or still may. The next write has the same condition, so that it
// either takes effect or brings the row back, by which an own write is known.
func (c *Core) onClaimsLost(g claimBatch) {
	for _, cm := range g.claims {
		cm.uncertain = cm.uncertain || !g.readOnly
		cm.tries++
		if cm.stage == claimPending && cm.tries < maxClaimTries && c.now >= c.claims.downUntil {
			c.enqueueClaim(cm)
			continue
		}
		c.onClaimFailed(cm)
	}
}

// onClaimFailed gives up a call that can't be claimed now, and keeps trying to
// write what has to be written.
func (c *Core) onClaimFailed(cm *claim) {
	if cm.stage == claimPending {
		c.finishStoreDown(cm.call)
		return
	}
	c.enqueueClaim(cm)
}

// onClaimFound goes on from the row that the table service has for a key.
func (c *Core) onClaimFound(cm *claim, row table.Row) {
	record, err := decodeRecord(row.Value)
	switch {
	case err == nil && record.Owner == cm.owner:
		c.onOwnClaimFound(cm, record, row.Version)
	case cm.stage != claimPending:
		c.removeClaim(cm) // another's row shows that ours is not there
	case err != nil:
		cm.uncertain = false
		c.finishClaimUnreadable(cm.call)
	default:
		c.answerFromStoredClaim(cm, record, row.Version, c.storeTime())
	}
}

// onOwnClaimFound resolves a lost confirmation.
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
