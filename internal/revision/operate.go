package revision

import (
	"slices"
	"strings"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// operateRetryInterval is the time after which an unanswered order is sent to the agent again.
	operateRetryInterval = time.Second
	// operateTimeout is the time after which an order that the agent has not
	// accepted is reported as not reached or superseded.
	operateTimeout = 10 * time.Second
	// recordTimeout is the time after which an order in force is reported even if
	// it is not recorded yet.
	recordTimeout = 2 * time.Second
	// recordedOrders is the maximum length of Core.recordedOrders. An order in that
	// list is not recorded again if a peer still reports it as unrecorded.
	recordedOrders = 256
)

// order is the state of an operator's order to an endpoint, from its arrival
// until its result is reported and it is recorded or dropped.
type order struct {
	id        uint64 // of the OperateRequest, or 0 if fromPeer
	operator  string
	at        time.Time // wall-clock time of the operator's request
	change    domain.ChangeID
	endpoint  domain.EndpointID
	desired   domain.DesiredState
	startedAt domain.Instant // when this process received the order
	sentAt    domain.Instant // when the order was last sent to the agent
	sent      bool
	applied   bool // the agent replied that the ordered state is in effect
	// refused is set if the agent replied with the state of a later order or change.
	refused  bool
	recorded bool // in the audit trail, at revision
	// knownRevision is the revision in force when the order was given.
	knownRevision domain.Revision
	repeated      bool            // an earlier order had the same identifier
	dropped       bool            // can't be recorded: the endpoint's document is removed or invalid
	superseded    bool            // a later order or change of the state is recorded
	fromPeer      bool            // received by another entry, which sends it to the agent
	answered      bool            // the OperateResult was emitted; set from the start if fromPeer
	running       uint32          // attempts in progress, as the agent reported
	revision      domain.Revision // at which the order is recorded
}

// orderVerbs holds the name of the order for each desired state.
var orderVerbs = [...]string{"", "undrain", "drain", "stop"}

// text returns the order as listed in the audit trail, such as "drain desk-03".
func (o *order) text() string { return orderVerbs[o.desired] + " " + string(o.endpoint) }

// handleOperate accepts an operator's order. It sends a heartbeat with the order
// to all peers at once, so that the order is recorded even if this process fails.
// It gives orders strictly increasing times, which determine the later of two orders.
func (c *Core) handleOperate(now domain.Instant, in OperateRequest) {
	if _, ok := c.set.Endpoint(in.Endpoint); !ok {
		c.emit(OperateResult{ID: in.ID, Status: OperateUnknownEndpoint, Revision: c.set.Revision()})
		return
	}
	if c.isPending(in.Change) {
		c.emit(OperateResult{ID: in.ID, Status: OperateRepeated, Revision: c.set.Revision()})
		return
	}
	if !in.At.After(c.lastOrderAt) {
		in.At = c.lastOrderAt.Add(time.Microsecond)
	}
	c.lastOrderAt = in.At
	c.addOrder(&order{
		id:            in.ID,
		operator:      in.Operator,
		at:            in.At,
		change:        in.Change,
		endpoint:      in.Endpoint,
		desired:       in.Desired,
		startedAt:     now,
		knownRevision: c.set.Revision(),
	})
	for _, p := range c.peers.all() {
		if p.up {
			c.sendHeartbeat(now, p)
		}
	}
}

// addOrder adds an order and the job that records it.
func (c *Core) addOrder(o *order) {
	c.orders = append(c.orders, o)
	request := Apply{ID: o.id, Operator: o.operator, Change: o.change, AnyBase: true, At: o.at}
	c.jobs = append(c.jobs, &job{request: request, order: o})
}

// unrecordedOrders returns the orders that may be missing from the audit trail,
// oldest first.
func (c *Core) unrecordedOrders() []*pb.Order {
	var unrecorded []*pb.Order
	for _, o := range c.orders {
		if o.recorded || o.dropped {
			continue
		}
		unrecorded = append(unrecorded, &pb.Order{
			Change:   string(o.change),
			Who:      o.operator,
			Endpoint: string(o.endpoint),
			Desired:  pb.DesiredState(o.desired),
			AtUs:     o.at.UnixMicro(),
		})
	}
	return unrecorded
}

// addPeerOrders adds the orders that a peer reports as unrecorded. Every entry that
// has an order tries to record it, and the first commit takes effect.
func (c *Core) addPeerOrders(reported []*pb.Order) {
	for _, m := range reported {
		change := domain.ChangeID(m.GetChange())
		if c.isPending(change) || slices.Contains(c.recordedOrders, change) {
			continue
		}
		c.addOrder(&order{
			operator: m.GetWho(),
			at:       time.UnixMicro(m.GetAtUs()),
			change:   change,
			endpoint: domain.EndpointID(m.GetEndpoint()),
			desired:  domain.DesiredState(m.GetDesired()),
			fromPeer: true,
			answered: true,
		})
	}
}

// isPending reports whether an order with the identifier is in progress.
func (c *Core) isPending(change domain.ChangeID) bool {
	return slices.ContainsFunc(c.orders, func(o *order) bool { return o.change == change })
}

// runOrders sends orders to their agents, emits results and removes finished orders.
func (c *Core) runOrders(now domain.Instant) {
	for _, o := range c.orders {
		c.sendOrderIfDue(now, o)
		c.answerOrder(now, o)
	}
	c.orders = slices.DeleteFunc(c.orders, func(o *order) bool {
		return o.answered && (o.recorded || o.dropped)
	})
}

// sendOrderIfDue sends an order to its agent, or sends it again after
// operateRetryInterval without a reply. Of several orders to one endpoint only the
// latest is sent.
func (c *Core) sendOrderIfDue(now domain.Instant, o *order) {
	awaitingReply := o.sent && now.Sub(o.sentAt) < operateRetryInterval
	if awaitingReply || o.fromPeer || o.applied || o.recorded || o.dropped || c.latestOrder(o) != o {
		return
	}
	if a, ok := c.agents.get(o.endpoint); !ok || !a.up {
		return
	}
	o.sent = true
	o.sentAt = now
	c.sendOperateMessage(o.endpoint, o.change, o.desired, o.knownRevision)
}

// latestOrder returns the latest order in progress for the endpoint of o.
func (c *Core) latestOrder(o *order) *order {
	latest := o
	for _, other := range c.orders {
		if other.endpoint == o.endpoint && other.isLaterThan(latest) {
			latest = other
		}
	}
	return latest
}

// isLaterThan reports whether o was given later than other. Orders given at the
// same time are compared by identifier.
func (o *order) isLaterThan(other *order) bool {
	if o.at.Equal(other.at) {
		return o.change > other.change
	}
	return o.at.After(other.at)
}

// sendOperateMessage sends an agent the desired state of its endpoint. The agent
// ignores the message if the order or the document in effect there has a higher
// revision than knownRevision, or if it has applied the change identifier before.
func (c *Core) sendOperateMessage(to domain.EndpointID, change domain.ChangeID, desired domain.DesiredState, knownRevision domain.Revision) {
	c.sendAgent(to, &pb.ToAgent{Kind: &pb.ToAgent_Operate{Operate: &pb.Operate{
		Change:   string(change),
		Desired:  pb.DesiredState(desired),
		Revision: uint64(knownRevision),
	}}})
}

// handleOperateReply records whether the agent has applied an order.
func (c *Core) handleOperateReply(from domain.EndpointID, reply *pb.OperateReply) {
	for _, o := range c.orders {
		if o.endpoint == from && o.change == domain.ChangeID(reply.GetChange()) {
			o.applied = domain.DesiredState(reply.GetDesired()) == o.desired
			o.refused = !o.applied
			o.running = reply.GetRunning()
		}
	}
}

// answerOrder emits the result of an order once it is known or has timed out. An
// order that the agent refused is still in force if the configuration wants the
// same state.
func (c *Core) answerOrder(now domain.Instant, o *order) {
	if o.answered {
		return
	}
	waited := now.Sub(o.startedAt)
	status := OperateInForce
	switch {
	case o.dropped:
		status = OperateUnknownEndpoint
	case o.repeated:
		status = OperateRepeated
	case o.applied && (o.recorded || waited >= recordTimeout): // in force
	case o.refused && o.recorded:
		if endpoint, _ := c.set.Endpoint(o.endpoint); endpoint.Desired != o.desired {
			status = OperateSuperseded
		}
	case !o.applied && c.latestOrder(o) != o, o.refused && waited >= operateTimeout:
		status = OperateSuperseded
	case waited >= operateTimeout:
		status = OperateNotReached
	default:
		return
	}
	o.answered = true
	c.emit(OperateResult{ID: o.id, Status: status, Running: o.running, Recorded: o.recorded, Revision: max(o.revision, c.set.Revision())})
}

// orderDocuments returns the endpoint's document with the desired state of
// the latest order, or with the current one if the order is superseded. Recording
// an earlier order must not undo a later one. If the endpoint is no longer declared
// or its document is invalid, the order is dropped.
func (c *Core) orderDocuments(j *job) ([]*pb.Document, bool) {
	desired := c.latestOrder(j.order).desired
	old, ok := c.set.Document(declaration.KeyOf(declaration.KindEndpoint, string(j.order.endpoint)))
	if !ok {
		j.order.dropped = true
		j.ended = true
		return nil, false
	}
	if endpoint, _ := c.set.Endpoint(j.order.endpoint); j.order.superseded {
		desired = endpoint.Desired
	}
	doc, err := declaration.WithDesiredState(old, desired)
	if err != nil {
		j.order.dropped = true
		j.ended = true
		return nil, false
	}
	return []*pb.Document{doc}, true
}

// endpointRevision returns the revision of the last change to an endpoint's
// document, or 0 if there is no such document.
func (c *Core) endpointRevision(id domain.EndpointID) domain.Revision {
	doc, _ := c.set.Document(declaration.KeyOf(declaration.KindEndpoint, string(id)))
	return domain.Revision(doc.GetRevision())
}

// isSuperseded reports whether one of the audit rows is a later order to the
// endpoint or a later change of its desired state. The operation of an order's row
// is its text, such as "drain desk-03", and thus ends in the endpoint.
func isSuperseded(o *order, rows []AuditRecord) bool {
	key := declaration.KeyOf(declaration.KindEndpoint, string(o.endpoint))
	for _, row := range rows {
		if !row.RequestedAt.After(o.at) {
			continue
		}
		if strings.HasSuffix(row.Operation, " "+string(o.endpoint)) {
			return true
		}
		for _, doc := range row.Documents {
			isDesired := func(f declaration.FieldChange) bool { return f.Field == "desired" }
			if doc.Key == key && slices.ContainsFunc(doc.Fields, isDesired) {
				return true
			}
		}
	}
	return false
}

// recorded ends the job of an order that is in the audit trail. If the order
// repeats an earlier one and was already sent, the agent may have applied it
// again. The agent is then sent the state that the configuration holds, under
// another change identifier, because it ignores one that it has applied.
func (c *Core) recorded(j *job, revision domain.Revision, repeated bool) {
	j.ended = true
	o := j.order
	o.recorded = true
	o.revision = revision
	c.recordedOrders = append(c.recordedOrders, o.change)
	if len(c.recordedOrders) > recordedOrders {
		c.recordedOrders = slices.Delete(c.recordedOrders, 0, 1)
	}
	o.repeated = repeated
	endpoint, ok := c.set.Endpoint(o.endpoint)
	if repeated && o.sent && ok {
		c.sendOperateMessage(o.endpoint, o.change+"-repeated", endpoint.Desired, c.set.Revision())
	}
}
