package revision

import (
	"fmt"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// applyTimeout is the maximum time from an Apply to its ApplyResult.
	applyTimeout = 10 * time.Second
	// jobRetryInterval is the pause before a job is retried after a failed or
	// unanswered store request.
	jobRetryInterval = 500 * time.Millisecond
)

// jobStage is the next or current step of a job.
type jobStage uint8

const (
	// jobLookup reads the row of the change, if it exists, and the head.
	jobLookup jobStage = iota
	// jobCatchUp waits until the head's revision is in force in this process.
	jobCatchUp
	// jobCommit runs the transaction that commits the change.
	jobCommit
)

// job is a change to be committed to the store. Jobs run one at a time, in the
// order in which operators requested them.
type job struct {
	request Apply
	// order is the operator's order that the job records, or nil for an Apply.
	order        *order
	stage        jobStage
	storeRequest uint64         // ID of the outstanding StoreRequest, or 0
	retryAt      domain.Instant // earliest time of the next step
	deadline     domain.Instant // of an Apply; unused for orders
	// commitUnconfirmed is set if the reply to a commit was lost.
	commitUnconfirmed bool
	// timedOut is set if the ApplyResult was sent at the deadline, before the job ended.
	timedOut bool
	ended    bool
	// base, docs and record are those of the latest commit sent. head is the
	// store's newest revision at the latest lookup.
	base   domain.Revision
	docs   []*pb.Document
	record ChangeRecord
	head   domain.Revision
	// endpointRevisionAtLookup is the revision of the last change to the document of
	// the order's endpoint, as of the latest lookup.
	endpointRevisionAtLookup domain.Revision
}

func (c *Core) handleApply(now domain.Instant, in Apply) {
	c.jobs = append(c.jobs, &job{request: in, deadline: now.Add(applyTimeout)})
}

// runJobs advances the oldest unfinished job and reports the jobs that are past
// their deadline.
func (c *Core) runJobs(now domain.Instant) {
	for _, j := range c.jobs {
		c.expireJob(now, j)
	}
	for len(c.jobs) > 0 {
		j := c.jobs[0]
		if !j.ended {
			c.advanceJob(now, j)
		}
		if !j.ended {
			return
		}
		c.jobs = c.jobs[1:]
	}
}

// expireJob reports an Apply that is past its deadline. The job still handles the
// reply to an outstanding store request, but sends no further request.
func (c *Core) expireJob(now domain.Instant, j *job) {
	if j.order != nil || j.ended || j.timedOut || now.Before(j.deadline) {
		return
	}
	committing := j.storeRequest != 0 && j.stage == jobCommit
	status := ApplyUnavailable
	if committing || j.commitUnconfirmed {
		status = ApplyUnknown
	}
	c.emit(ApplyResult{ID: j.request.ID, Status: status, Revision: c.newestKnown()})
	j.timedOut = true
	j.ended = j.storeRequest == 0
}

// advanceJob starts the next step of a job unless it is waiting for a reply or a retry.
func (c *Core) advanceJob(now domain.Instant, j *job) {
	if j.storeRequest != 0 || now.Before(j.retryAt) {
		return
	}
	switch j.stage {
	case jobLookup:
		c.startLookup(j)
	case jobCatchUp:
		if c.set.Revision() < j.head {
			c.scheduleRead(now)
			return
		}
		c.startCommit(now, j)
	case jobCommit:
		c.startCommit(now, j)
	}
}

// startLookup requests the rows of the change and the head. For an order it also
// requests the audit row of the endpoint's last change.
func (c *Core) startLookup(j *job) {
	j.stage = jobLookup
	gets := []table.Get{
		{Table: table.Changes, Key: string(j.request.Change)},
		{Table: table.Head, Key: headKey},
	}
	if j.order != nil {
		j.endpointRevisionAtLookup = c.endpointRevision(j.order.endpoint)
		gets = append(gets, table.Get{Table: table.Audit, Key: auditKey(j.endpointRevisionAtLookup)})
	}
	j.storeRequest = c.requestStore(table.Request{Gets: gets})
}

// handleJobReply processes the reply to the oldest job's store request.
func (c *Core) handleJobReply(now domain.Instant, in StoreReply) {
	if len(c.jobs) == 0 || c.jobs[0].storeRequest != in.ID {
		return
	}
	j := c.jobs[0]
	j.storeRequest = 0
	switch {
	case in.Reply.Status == table.StatusOK && j.stage == jobCommit:
		c.handleCommitted(j)
	case in.Reply.Status == table.StatusOK:
		c.handleLookup(now, j, in.Reply.Rows)
	case in.Reply.Status == table.StatusConflict:
		c.handleConflict(now, j, in.Reply.Rows)
	case in.Reply.Status == table.StatusLost && j.stage == jobCommit:
		j.commitUnconfirmed = true
		c.retryJob(now, j)
	default:
		c.retryJob(now, j)
	}
	if j.timedOut {
		j.ended = true
	}
}

// retryJob restarts a job from the lookup after a pause. The lookup shows whether
// an earlier commit took effect.
func (c *Core) retryJob(now domain.Instant, j *job) {
	j.stage = jobLookup
	j.retryAt = now.Add(jobRetryInterval)
}

// handleLookup finishes the job if the change is in the store or based on an
// outdated revision. Otherwise the job continues towards its commit.
func (c *Core) handleLookup(now domain.Instant, j *job, rows []table.Row) {
	if record, ok := findChange(rows); ok {
		c.finishExisting(now, j, record)
		return
	}
	head, winner := findHead(rows)
	c.observeHead(now, head)
	if !j.request.AnyBase && head != j.request.Base {
		c.finishApply(j, ApplyResult{Status: ApplyConflict, Revision: head, Winner: winner})
		return
	}
	if j.order != nil {
		j.order.superseded = isSuperseded(j.order, decodeAuditRows(rows))
	}
	j.head = head
	j.stage = jobCatchUp
}

// finishExisting ends a job whose change is already in the store. If the job
// itself committed that change but the reply was lost, the change is installed
// and pushed here. The recorded order is the job's own if it has the same request
// time, or if an earlier commit of the job may have recorded it. Otherwise an
// earlier order had the same identifier.
func (c *Core) finishExisting(now domain.Instant, j *job, record ChangeRecord) {
	if j.commitUnconfirmed && record == j.record && c.installDelta(j.base, record.Revision, j.docs) {
		c.pushToPeers(j.base)
	}
	c.observeHead(now, record.Revision)
	if j.order != nil {
		sameOrder := j.commitUnconfirmed || record.RequestedAtMicros == j.request.At.UnixMicro()
		c.recorded(j, record.Revision, !sameOrder)
		return
	}
	c.finishApply(j, ApplyResult{Status: ApplyAccepted, Revision: record.Revision, Repeated: !j.commitUnconfirmed})
}

// handleConflict handles a commit whose conditions failed. The commit wrote
// nothing, but an earlier one of the same change may have been applied.
func (c *Core) handleConflict(now domain.Instant, j *job, rows []table.Row) {
	if record, ok := findChange(rows); ok {
		c.finishExisting(now, j, record)
		return
	}
	head, winner := findHead(rows)
	c.observeHead(now, head)
	if j.request.AnyBase {
		j.stage = jobLookup
		return
	}
	c.finishApply(j, ApplyResult{Status: ApplyConflict, Revision: head, Winner: winner})
}

// startCommit validates the change against the set in force and sends the
// transaction. If the revision or the order's endpoint has changed since the
// lookup, it retries from the lookup instead. A change that records an order is
// committed even if its validation fails, because the order may already be in
// effect at the agent.
func (c *Core) startCommit(now domain.Instant, j *job) {
	endpointChanged := j.order != nil && c.endpointRevision(j.order.endpoint) != j.endpointRevisionAtLookup
	if c.set.Revision() != j.head || endpointChanged {
		c.retryJob(now, j)
		return
	}
	docs, ok := c.changedDocuments(j)
	if !ok {
		return
	}
	j.base = c.set.Revision()
	j.docs = docs
	for _, doc := range docs {
		doc.Revision = uint64(j.base + 1)
	}
	next, err := c.set.With(j.base+1, docs)
	if err == nil {
		err = declaration.ValidateChange(c.set, next, docs)
	}
	if err != nil && j.order == nil {
		c.finishApply(j, ApplyResult{Status: ApplyInvalid, Revision: j.base, Message: err.Error()})
		return
	}
	j.record = c.newChangeRecord(j)
	record := AuditRecord{
		ChangeRecord: j.record,
		RequestedAt:  j.request.At.UTC(),
		Operation:    j.operationText(),
		Documents:    describeChanges(c.set, docs),
	}
	j.stage = jobCommit
	j.storeRequest = c.requestStore(commitRequest(j.base, record, docs))
}

// newChangeRecord returns the record of a change with a new transaction identifier.
func (c *Core) newChangeRecord(j *job) ChangeRecord {
	c.lastCommit++
	return ChangeRecord{
		Revision:          j.base + 1,
		Change:            j.request.Change,
		Operator:          j.request.Operator,
		RequestedAtMicros: j.request.At.UnixMicro(),
		Commit:            fmt.Sprintf("%s/%d/%d", c.self, c.incarnation, c.lastCommit),
	}
}

// operationText returns the operation that the audit trail lists for the job.
func (j *job) operationText() string {
	if j.order != nil {
		return j.order.text()
	}
	return "apply"
}

// changedDocuments returns the documents that the job changes. If there are none
// or they are invalid, it ends the job and returns false.
func (c *Core) changedDocuments(j *job) ([]*pb.Document, bool) {
	if j.order != nil {
		return c.orderDocuments(j)
	}
	docs, err := c.set.NormalizeChanges(j.request.Documents)
	if err != nil {
		c.finishApply(j, ApplyResult{Status: ApplyInvalid, Revision: c.set.Revision(), Message: err.Error()})
		return nil, false
	}
	if len(docs) == 0 {
		c.finishApply(j, ApplyResult{Status: ApplyUnchanged, Revision: c.set.Revision()})
		return nil, false
	}
	return docs, true
}

// handleCommitted installs a change whose commit was confirmed and pushes it to the peers.
func (c *Core) handleCommitted(j *job) {
	revision := j.base + 1
	c.store.head = max(c.store.head, revision)
	if c.installDelta(j.base, revision, j.docs) {
		c.pushToPeers(j.base)
	}
	if j.order != nil {
		c.recorded(j, revision, false)
		return
	}
	c.finishApply(j, ApplyResult{Status: ApplyAccepted, Revision: revision})
}

// finishApply ends a job and emits its result, unless expireJob has already reported it.
func (c *Core) finishApply(j *job, result ApplyResult) {
	j.ended = true
	if j.timedOut {
		return
	}
	result.ID = j.request.ID
	c.emit(result)
}
