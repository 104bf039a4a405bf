package revision

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// maxReadDeltaRevisions is the maximum number of revisions in a delta read from
	// the store. If the store is further ahead, a snapshot is read.
	maxReadDeltaRevisions = 64
	// maxReadDeltaDocuments is the maximum number of documents in a delta read from
	// the store, which takes one request. Above it a snapshot is read in pages.
	maxReadDeltaDocuments = 500
	// minHeadReadInterval is the minimum time between two polls of the head when a
	// newer revision is known to exist. It does not apply to the lookups of jobs,
	// which read the head too.
	minHeadReadInterval = 500 * time.Millisecond
	// pageSize is the number of documents of a snapshot read per request.
	pageSize = 1000
)

// readStage is a step of reading a newer revision from the store: the head first,
// then either the audit rows and the documents that they list, or a snapshot.
type readStage uint8

const (
	readHead readStage = iota
	readAudit
	readDelta
	readSnapshot
)

// storeRead is the state of the read in progress, or of the wait for the next
// one. All requests after the one for the head are conditional on the head being
// unchanged, so that they read a single revision.
type storeRead struct {
	request  uint64 // ID of the outstanding StoreRequest, or 0
	stage    readStage
	nextAt   domain.Instant
	polled   bool              // the head was requested at least once
	polledAt domain.Instant    // time of the latest request for the head, if polled
	head     domain.Revision   // revision to read
	after    domain.Revision   // revision in force when the delta was requested
	keys     []declaration.Key // documents of the delta
	lastKey  string            // last key of the previous page of a snapshot
	docs     []*pb.Document    // documents of the previous pages
}

// pollHead requests the head if the next read is due and none is in progress.
func (c *Core) pollHead(now domain.Instant) {
	if c.read.request != 0 || now.Before(c.read.nextAt) {
		return
	}
	c.read = storeRead{stage: readHead, polled: true, polledAt: now}
	c.read.request = c.requestStore(table.Request{Gets: []table.Get{{Table: table.Head, Key: headKey}}})
}

// scheduleRead makes the next read as early as minHeadReadInterval allows, unless one
// is in progress.
func (c *Core) scheduleRead(now domain.Instant) {
	earliest := now
	if c.read.polled {
		earliest = max(now, c.read.polledAt.Add(minHeadReadInterval))
	}
	if c.read.request == 0 && earliest.Before(c.read.nextAt) {
		c.read.nextAt = earliest
	}
}

// observeHead records the store's newest revision and schedules a read if it is
// newer than the one in force.
func (c *Core) observeHead(now domain.Instant, head domain.Revision) {
	c.store.head = max(c.store.head, head)
	if c.set.Revision() < c.store.head {
		c.scheduleRead(now)
	}
}

// finishRead ends a read and schedules the next one after a random poll interval.
func (c *Core) finishRead(now domain.Instant) {
	jitter := time.Duration(c.rng.Int64N(int64(maxPollInterval - minPollInterval)))
	c.read = storeRead{nextAt: now.Add(minPollInterval + jitter), polled: true, polledAt: c.read.polledAt}
}

// handleReadReply processes the reply to the read in progress. A failed read is
// abandoned until the next poll.
func (c *Core) handleReadReply(now domain.Instant, reply table.Reply) {
	c.read.request = 0
	switch reply.Status {
	case table.StatusOK:
	case table.StatusConflict: // the head has changed since it was read; start again
		c.finishRead(now)
		c.scheduleRead(now)
		return
	default:
		c.finishRead(now)
		return
	}
	switch c.read.stage {
	case readHead:
		c.handleHeadReply(now, reply.Rows)
	case readAudit:
		c.handleAuditReply(now, reply.Rows)
	case readDelta:
		c.handleDeltaReply(now, reply.Rows)
	case readSnapshot:
		c.handleSnapshotReply(now, reply.Rows)
	}
}

// handleHeadReply starts reading the store's newest revision if it is newer than
// the one in force.
func (c *Core) handleHeadReply(now domain.Instant, rows []table.Row) {
	head, _ := findHead(rows)
	c.store.headRead = true
	c.store.head = max(c.store.head, head)
	own := c.set.Revision()
	if head <= own {
		c.finishRead(now)
		return
	}
	c.read.head = head
	if own == 0 || head-own > maxReadDeltaRevisions {
		c.requestSnapshotPage()
		return
	}
	c.read.stage = readAudit
	c.read.after = own
	scan := table.Scan{Table: table.Audit, After: auditKey(own), Limit: maxReadDeltaRevisions}
	c.read.request = c.requestStore(c.conditionalOnHead(table.Request{Scans: []table.Scan{scan}}))
}

// conditionalOnHead makes a request conditional on the head being the one read.
func (c *Core) conditionalOnHead(request table.Request) table.Request {
	request.Conditions = []table.Condition{{Table: table.Head, Key: headKey, Version: uint64(c.read.head)}}
	return request
}

// handleAuditReply requests the documents that the audit rows list as changed. It
// falls back to a snapshot if rows are missing or there are too many documents.
func (c *Core) handleAuditReply(_ domain.Instant, rows []table.Row) {
	records := decodeAuditRows(rows)
	var keys []declaration.Key
	for _, record := range records {
		for _, doc := range record.Documents {
			keys = append(keys, doc.Key)
		}
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	complete := len(records) == int(c.read.head-c.read.after)
	if !complete || len(keys) > maxReadDeltaDocuments {
		c.requestSnapshotPage()
		return
	}
	c.read.stage = readDelta
	c.read.keys = keys
	request := table.Request{}
	for _, key := range keys {
		request.Gets = append(request.Gets, table.Get{Table: table.Documents, Key: string(key)})
	}
	c.read.request = c.requestStore(c.conditionalOnHead(request))
}

// handleDeltaReply installs a delta. A requested document that the store does not
// have was removed.
func (c *Core) handleDeltaReply(now domain.Instant, rows []table.Row) {
	docs, ok := decodeDocumentRows(rows)
	if !ok {
		c.finishRead(now)
		return
	}
	found := documentKeys(docs)
	for _, key := range c.read.keys {
		if !slices.Contains(found, key) {
			kind, name := key.Split()
			docs = append(docs, &pb.Document{Kind: string(kind), Name: name, Revision: uint64(c.read.head)})
		}
	}
	c.installDelta(c.read.after, c.read.head, docs)
	c.finishRead(now)
}

// requestSnapshotPage requests the first or the next page of a snapshot.
func (c *Core) requestSnapshotPage() {
	c.read.stage = readSnapshot
	scan := table.Scan{Table: table.Documents, After: c.read.lastKey, Limit: pageSize}
	c.read.request = c.requestStore(c.conditionalOnHead(table.Request{Scans: []table.Scan{scan}}))
}

// handleSnapshotReply adds a page to the snapshot, and installs it after the last one.
func (c *Core) handleSnapshotReply(now domain.Instant, rows []table.Row) {
	docs, ok := decodeDocumentRows(rows)
	if !ok {
		c.finishRead(now)
		return
	}
	c.read.docs = append(c.read.docs, docs...)
	if len(docs) == pageSize {
		c.read.lastKey = string(declaration.DocumentKey(docs[len(docs)-1]))
		c.requestSnapshotPage()
		return
	}
	c.installSnapshot(c.read.head, c.read.docs)
	c.finishRead(now)
}

// decodeDocumentRows returns the documents among rows. It returns false if one
// can't be decoded. The error is not reported: the read is abandoned and repeated
// at the next poll.
func decodeDocumentRows(rows []table.Row) ([]*pb.Document, bool) {
	docs := make([]*pb.Document, 0, len(rows))
	for _, row := range rows {
		if row.Table != table.Documents {
			continue
		}
		doc, err := decodeDocumentRow(row)
		if err != nil {
			return nil, false
		}
		docs = append(docs, doc)
	}
	return docs, true
}
