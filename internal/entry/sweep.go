package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

const (
	// sweepInterval is the time between two reads of the table of claims.
	sweepInterval = time.Minute
	// sweepBusyInterval is the time to the next read after expired claims were found.
	sweepBusyInterval = time.Second
	// sweepPageSize is the most rows in one read.
	sweepPageSize = 100
)

// claimSweep is the state of the removal of expired claims from the table
// service, a page at a time.
type claimSweep struct {
	nextRead  domain.Instant // 0 before the first tick
	requestID uint64         // request in flight, 0 for none
	reading   bool           // the request in flight is a read
	after     string         // last key of the previous page, empty at the start
}

// processSweep reads the next page of claims when it is due. The first read is
// at a time that depends on the seed, so that not all entries read at once.
func (c *Core) processSweep() {
	s := &c.sweep
	if s.nextRead == 0 {
		s.nextRead = c.now.Add(time.Duration(policy.Mix64(c.settings.Seed) % uint64(sweepInterval)))
	}
	if s.requestID != 0 || c.now < s.nextRead || c.now < c.claims.downUntil || c.stopping {
		return
	}
	s.reading = true
	s.nextRead = c.now.Add(sweepInterval)
	c.sendSweep(table.Request{Scans: []table.Scan{{Table: table.Claims, After: s.after, Limit: sweepPageSize}}})
}

func (c *Core) sendSweep(r table.Request) {
	c.claims.lastRequestID++
	c.sweep.requestID = c.claims.lastRequestID
	c.emit(StoreRequest{ID: c.sweep.requestID, Request: r})
}

// onSweepReply removes the expired claims of a page. A removal that fails is
// tried again when the page is next read.
//
// Invariant: a claim is removed only if its row still has the version that was
// read as expired.
func (c *Core) onSweepReply(reply table.Reply) {
	s := &c.sweep
	s.requestID = 0
	if !s.reading || reply.Status != table.StatusOK {
		return
	}
	s.reading = false
	s.after = ""
	if len(reply.Rows) >= sweepPageSize {
		s.after = reply.Rows[len(reply.Rows)-1].Key
	}
	var removal table.Request
	for _, row := range reply.Rows {
		record, err := decodeRecord(row.Value)
		if err != nil || record.age(reply.Time) <= claimRetention {
			continue
		}
		removal.Conditions = append(removal.Conditions, table.Condition{Table: table.Claims, Key: row.Key, Version: row.Version})
		removal.Writes = append(removal.Writes, table.Write{Table: table.Claims, Key: row.Key, Delete: true})
	}
	if len(removal.Writes) > 0 {
		s.nextRead = c.now.Add(sweepBusyInterval)
		c.sendSweep(removal)
	}
}
