package app

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// configController runs an entry's configuration core in a loop of its own and holds
// the declarations in force.
type configController struct {
	core *revision.Core
	loop *loop[revision.Input, revision.Output]
	// set is nil before the first configuration.
	set   atomic.Pointer[declaration.Set]
	ready atomic.Bool
	entry *Entry
	// gaugeTimer schedules updates of the loop's inbox gauge. Only the loop uses it.
	gaugeTimer updateTimer

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan revision.Output // by request ID
}

func newConfigController(s EntrySettings, inc domain.Incarnation, clk clock) *configController {
	c := &configController{pending: make(map[uint64]chan revision.Output)}
	c.core = revision.New(revision.Options{Self: domain.EntryID(s.Name), Incarnation: inc, Seed: uint64(inc)})
	c.loop = newLoop[revision.Input, revision.Output](c.core, clk, c.perform)
	c.loop.publishState = c.publishState
	return c
}

// publishState copies the core's readiness for other goroutines and updates the
// inbox gauge. The loop calls it after each iteration.
func (c *configController) publishState() {
	c.ready.Store(c.core.Ready())
	if c.gaugeTimer.due(c.loop.clock.now()) {
		c.entry.metrics.configInbox.update(c.loop.takeMaxBatch())
	}
}

// setEntry sets the entry whose links and store the controller uses. It must be
// called before the loop runs.
func (c *configController) setEntry(e *Entry) { c.entry = e }

// revision returns the revision in force, zero before the first.
func (c *configController) revision() domain.Revision {
	set := c.set.Load()
	if set == nil {
		return 0
	}
	return set.Revision()
}

// configInForce returns the configuration in force, or nil before the first.
func (c *configController) configInForce() domain.Config {
	set := c.set.Load()
	if set == nil {
		return nil
	}
	return set
}

// perform carries out one output of the core. It never waits for the core.
func (c *configController) perform(out revision.Output) {
	switch o := out.(type) {
	case revision.SendPeer:
		c.entry.peerLinks.Send(o.Peer, o.Message)
	case revision.SendAgent:
		c.entry.agentLinks.Send(o.Agent, o.Message)
	case revision.ReconnectPeer:
		c.entry.metrics.peerLinks.silent.Inc(1)
		klog.InfoS("link silent", "self", c.entry.settings.Name, "peer", o.Peer)
		c.entry.peerLinks.Reconnect(o.Peer)
	case revision.StoreRequest:
		c.entry.sendStoreRequest(o.Request, func(reply table.Reply) {
			c.loop.enqueue(revision.StoreReply{ID: o.ID, Reply: reply})
		})
	case revision.Installed:
		c.set.Store(o.Set)
		c.entry.install(o.Set)
	case revision.ApplyResult:
		klog.InfoS("change ended", "entry", c.entry.settings.Name, "status", o.Status, "revision", uint64(o.Revision), "repeated", o.Repeated)
		c.deliverResult(o.ID, o)
	case revision.OperateResult:
		klog.InfoS("order to endpoint ended", "entry", c.entry.settings.Name, "status", o.Status, "running", o.Running, "recorded", o.Recorded)
		c.deliverResult(o.ID, o)
	case revision.AuditResult:
		c.deliverResult(o.ID, o)
	}
}

// deliverResult passes a result to the goroutine that waits for it in
// requestResult, if it still does.
func (c *configController) deliverResult(id uint64, out revision.Output) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.pending[id]; ok {
		ch <- out
		delete(c.pending, id)
	}
}

// requestResult passes an input with a new request ID to the core and waits for
// the output with that ID, or for the end of ctx.
func (c *configController) requestResult(ctx context.Context, input func(id uint64) revision.Input) (revision.Output, error) {
	ch := make(chan revision.Output, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = ch
	c.mu.Unlock()
	c.loop.enqueue(input(id))
	select {
	case out := <-ch:
		return out, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		return nil, errors.Wrap(ctx.Err(), "step=wait for revision core")
	}
}

// operatorBackend implements operatorapi.Backend with an entry's two cores.
type operatorBackend struct{ e *Entry }

// Set returns the configuration in force.
func (b operatorBackend) Set() *declaration.Set {
	if set := b.e.config.set.Load(); set != nil {
		return set
	}
	return declaration.Empty()
}

// Apply commits an operator's change.
func (b operatorBackend) Apply(ctx context.Context, in revision.Apply) (revision.ApplyResult, error) {
	out, err := b.e.config.requestResult(ctx, func(id uint64) revision.Input {
		in.ID = id
		return in
	})
	result, _ := out.(revision.ApplyResult)
	return result, err
}

// SetDesiredState drains, undrains or stops an endpoint. It links the entry to the
// endpoint's agent first, as the agent may be outside the entry's subset.
func (b operatorBackend) SetDesiredState(ctx context.Context, in revision.OperateRequest) (revision.OperateResult, error) {
	b.e.subset.keepForOrder(in.Endpoint)
	out, err := b.e.config.requestResult(ctx, func(id uint64) revision.Input {
		in.ID = id
		return in
	})
	result, _ := out.(revision.OperateResult)
	return result, err
}

// Audit reads a page of the audit trail.
func (b operatorBackend) Audit(ctx context.Context, in revision.AuditRequest) (revision.AuditResult, error) {
	out, err := b.e.config.requestResult(ctx, func(id uint64) revision.Input {
		in.ID = id
		return in
	})
	result, _ := out.(revision.AuditResult)
	return result, err
}

// Status returns the entry's view of revisions, endpoints and queues.
func (b operatorBackend) Status(ctx context.Context) (operatorapi.Status, error) {
	var status operatorapi.Status
	ok := b.e.config.loop.query(ctx, func() { status.Revisions = b.e.config.core.Status() })
	ok = ok && b.e.loop.query(ctx, func() { b.addCallState(&status) })
	if !ok {
		return status, errors.Wrap(ctx.Err(), "step=read status")
	}
	return status, nil
}

// addCallState adds the endpoints and queues to status. It reads the call core
// and must run in the call loop.
func (b operatorBackend) addCallState(status *operatorapi.Status) {
	set := b.Set()
	for _, agent := range b.e.core.Agents() {
		ep, _ := set.Endpoint(agent.ID)
		status.Endpoints = append(status.Endpoints, operatorapi.EndpointStatus{
			Endpoint: agent.ID, Service: ep.Service, DataCentre: ep.DataCentre, Desired: ep.Desired.String(),
			Connected: agent.Up, Draining: agent.Draining, Slots: agent.Slots, FreeSlots: agent.FreeSlots, Queued: agent.Queued,
		})
	}
	for _, queue := range b.e.core.CallsByTier() {
		status.CallsByTier = append(status.CallsByTier, operatorapi.QueueStatus{Tier: queue.Tier, Waiting: queue.Waiting, Running: queue.Running})
	}
}
