package agent

import (
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// changeRecord records that an operator's change was applied, so that a repeated message
// does not undo a later change.
type changeRecord struct {
	appliedAt domain.Instant
}

// desiredState is the desired state of the endpoint according to the configuration in
// force, operators' changes and Shutdown. It also holds the state last announced to the
// entries, and whether Exit was emitted.
type desiredState struct {
	configured bool
	revision   domain.Revision
	endpoint   domain.Endpoint
	kind       domain.ServiceKind
	// operatorState is the state that the last operator's change set, 0 for none. It
	// overrides the endpoint's declaration until the declaration has the same state or
	// is changed at a revision above operatorRevision.
	operatorState domain.DesiredState
	// operatorRevision is the revision at which the last operator's change was made.
	operatorRevision domain.Revision
	// changedRevision is the revision that last changed the endpoint's declaration.
	changedRevision domain.Revision
	shutdown        bool
	announced       announcement // sent with the last heartbeats
	exited          bool         // Exit was emitted
}

// state returns the desired state in force: the operator's, else the declared one.
func (d *desiredState) state() domain.DesiredState {
	if d.operatorState != 0 {
		return d.operatorState
	}
	return d.endpoint.Desired
}

// handleEndpointConfig applies a configuration. It ignores one with an older revision.
//
// Invariant: the revision in force never decreases.
func (c *Core) handleEndpointConfig(in EndpointConfig) {
	d := &c.desired
	if d.configured && in.Revision < d.revision {
		return
	}
	d.configured = true
	d.revision = in.Revision
	d.endpoint = in.Endpoint
	d.kind = in.Kind
	d.changedRevision = in.Changed
	recorded := in.Endpoint.Desired == d.operatorState
	superseded := in.Changed > d.operatorRevision
	if recorded || superseded {
		d.operatorState = 0
	}
	c.updateOrders()
}

// handleOperate applies an operator's change at once, even if the store is unavailable.
// It ignores a change that was made at a revision below operatorRevision or
// changedRevision: such a change may have been delayed and would undo a newer one. The
// reply reports the state in force.
func (c *Core) handleOperate(now domain.Instant, peer Peer, m *pb.Operate) {
	change := domain.ChangeID(m.GetChange())
	d := &c.desired
	desired := desiredFromProto(m.GetDesired())
	revision := domain.Revision(m.GetRevision())
	applied := c.changes.get(change) != nil
	if !applied && desired != 0 && revision >= max(d.operatorRevision, d.changedRevision) {
		c.changes.put(change, &changeRecord{appliedAt: now})
		d.operatorState = desired
		d.operatorRevision = revision
	}
	reply := &pb.OperateReply{
		Change:  m.GetChange(),
		Desired: pb.DesiredState(d.state()),
		Running: uint32(c.activeRuns()),
	}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_OperateReply{OperateReply: reply}})
}

// desiredFromProto returns the desired state of a message, or 0 if it is unknown.
func desiredFromProto(s pb.DesiredState) domain.DesiredState {
	switch s {
	case pb.DesiredState_DESIRED_SERVING:
		return domain.EndpointServing
	case pb.DesiredState_DESIRED_DRAINING:
		return domain.EndpointDraining
	case pb.DesiredState_DESIRED_STOPPED:
		return domain.EndpointStopped
	}
	return 0
}

// draining reports whether the agent refuses new work.
func (c *Core) draining() bool {
	state := c.desired.state()
	return c.desired.shutdown || state == domain.EndpointDraining || state == domain.EndpointStopped
}

// stopping reports whether the process is to exit when no work is in progress.
func (c *Core) stopping() bool {
	return c.desired.shutdown || c.desired.state() == domain.EndpointStopped
}

// servesModel reports whether the endpoint serves a model. It is true for every name if
// the service is not a model service.
func (c *Core) servesModel(model domain.ModelName) bool {
	if c.desired.kind != domain.ServiceModel {
		return true
	}
	return slices.Contains(c.desired.endpoint.Models, model)
}

// activeRuns returns the number of active runs. Every held slot belongs to an outstanding
// grant or to an active run.
func (c *Core) activeRuns() int { return c.heldSlots - c.grants.len() }

// tickDrain refuses all queued reservations of a draining agent, so that their entries
// try other endpoints at once. Outstanding grants can still be handed over.
func (c *Core) tickDrain() {
	if !c.draining() {
		return
	}
	for key, res := range c.reservations.all {
		c.dequeue(key)
		c.refuse(res, pb.RefuseReason_REFUSE_DRAINING)
	}
}

// tickExit emits Exit when a stopping agent has no work in progress.
//
// Invariant: Exit is emitted only when there are no grants, runs, queued reservations
// or orders in flight, and every answer is acknowledged unless its entry is gone.
func (c *Core) tickExit() {
	d := &c.desired
	inProgress := c.heldSlots > 0 || c.reservations.len() > 0 || c.order.inFlight
	if !c.stopping() || d.exited || inProgress {
		return
	}
	for _, run := range c.runs.all {
		if run.state == runEnded && !c.peerGone(run.key.peer) {
			return
		}
	}
	d.exited = true
	c.emit(Exit{})
}
