package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/metrics"
	"github.com/dunlinpulley/dunlinpulley/internal/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	// Endpoint is the endpoint's name in the declarations.
	Endpoint string
	// DataCentre is the data centre that this host is in.
	DataCentre string
	// Listen is the address where entries connect.
	Listen string
	// AdminAddress is the address of the health and metrics pages.
	AdminAddress string
	// EndpointAddress is the address of the model engine or plain service.
	EndpointAddress string
	// Kind is KindModel or KindPlain.
	Kind string
	// Slots is the maximum number of concurrent attempts.
	Slots int
	// Store is the URL of the platform's table service.
	Store string
}

// Endpoint kinds of AgentSettings.Kind.
const (
	KindModel = "model"
	KindPlain = "plain"
)

func (s AgentSettings) serviceKind() domain.ServiceKind {
	if s.Kind == KindPlain {
		return domain.ServicePlain
	}
	return domain.ServiceModel
}

// Agent is a running agent process.
type Agent struct {
	settings       AgentSettings
	loop           *loop[agent.Input, agent.Output]
	core           *agent.Core
	links          *wire.EntryLinks
	engine         *engine.Client
	store          *platform.Client
	metrics        *agentMetrics
	endpointConfig agentConfig
	running        atomic.Int64 // runs in progress
	stopping       atomic.Bool  // set by Shutdown

	// The addresses on which the agent serves entries, and health and metrics, with
	// the actual ports.
	Listen       string
	AdminAddress string

	admin    *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	exited   chan struct{}
	exitOnce sync.Once
	wg       sync.WaitGroup
}

// StartAgent starts an agent and returns once it listens on its addresses.
func StartAgent(s AgentSettings) (*Agent, error) {
	return startProcess[*Agent](s.Endpoint,
		func() AgentSettings { return s },
		func() *metrics.Registry { return metrics.New("agent") },
		newAgentMetrics,
		newStore(s.Store),
		newEngineClient,
		newAgentCore,
		newAgent,
	)
}

func newEngineClient(s AgentSettings) *engine.Client {
	return engine.New(engine.Options{Address: s.EndpointAddress, Kind: s.serviceKind()})
}

func newAgentCore(s AgentSettings, inc domain.Incarnation) *agent.Core {
	cfg := agent.DefaultConfig()
	cfg.EndpointID = domain.EndpointID(s.Endpoint)
	cfg.Incarnation = inc
	cfg.Slots = s.Slots
	cfg.MaxSlots = s.Slots
	return agent.New(cfg)
}

func newAgent(
	s AgentSettings, core *agent.Core, inc domain.Incarnation, clk clock,
	store *platform.Client, eng *engine.Client, m *agentMetrics,
) *Agent {
	a := &Agent{settings: s, core: core, store: store, engine: eng, metrics: m, exited: make(chan struct{})}
	a.endpointConfig.endpoint = domain.EndpointID(s.Endpoint)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.loop = newLoop[agent.Input, agent.Output](core, clk, a.perform)
	a.loop.publishState = a.publishState
	self := wire.Identity{
		Name:        s.Endpoint,
		Incarnation: inc,
		Revision:    a.endpointConfig.revisionInForce,
	}
	a.links = wire.NewEntryLinks(self, a, wire.Options{})
	return a
}

func (a *Agent) start() error {
	ln, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return errors.Wrapf(err, "step=listen peer=%s", a.settings.Listen)
	}
	adminLn, err := net.Listen("tcp", a.settings.AdminAddress)
	if err != nil {
		logCloseError("agent links", ln.Close())
		return errors.Wrapf(err, "step=listen peer=%s", a.settings.AdminAddress)
	}
	a.Listen, a.AdminAddress = ln.Addr().String(), adminLn.Addr().String()
	a.admin = &http.Server{Handler: a.adminHandler(), ReadHeaderTimeout: headerTimeout}
	a.wg.Go(func() { a.engine.PollReports(a.ctx, engineEvents{a}) })
	if a.settings.Kind == KindModel {
		a.wg.Go(func() { a.engine.PollCacheEvents(a.ctx, engineEvents{a}) })
	}
	a.wg.Go(func() { a.loop.run(a.ctx) })
	a.wg.Go(func() { logServeError("agent links", a.links.Serve(a.ctx, ln)) })
	a.wg.Go(func() { logServeError("agent admin", a.admin.Serve(adminLn)) })
	klog.InfoS("agent started", "endpoint", a.settings.Endpoint, "listen", a.Listen, "admin", a.AdminAddress,
		"engine", a.settings.EndpointAddress)
	return nil
}

// adminHandler returns the handler of the health and metrics pages.
func (a *Agent) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", serveLiveness)
	r.Get("/readyz", readinessHandler(func() bool { return !a.stopping.Load() && a.endpointConfig.revisionInForce() > 0 }))
	r.Handle("/metrics", a.metrics.handler)
	return r
}

// Shutdown starts a graceful shutdown and returns at once. Exited is closed when
// no work is in progress.
func (a *Agent) Shutdown() {
	a.stopping.Store(true)
	klog.InfoS("agent stopping", "endpoint", a.settings.Endpoint)
	a.loop.enqueue(agent.Shutdown{})
}

// Exited is closed once the agent has no work in progress after Shutdown or an
// operator's stop order.
func (a *Agent) Exited() <-chan struct{} { return a.exited }

// Running returns the number of runs in progress.
func (a *Agent) Running() int { return int(a.running.Load()) }

// Close stops the agent without draining it: it drops the links to entries, then
// waits for the runs and orders in progress at the endpoint to end or time out.
func (a *Agent) Close() {
	a.cancel()
	a.links.Close()
	logCloseError("agent admin", a.admin.Close())
	a.engine.Close()
	a.wg.Wait()
	a.metrics.close()
}

// perform carries out one output of the core. It never waits for the core.
func (a *Agent) perform(out agent.Output) {
	switch o := out.(type) {
	case agent.SendEntry:
		if o.Message.GetGrant() != nil {
			a.metrics.grants.Inc(1)
		}
		a.links.Send(o.Peer.Entry, o.Peer.Incarnation, o.Message)
	case agent.EngineStart:
		a.metrics.runsStarted.Inc(1)
		a.running.Add(1)
		klog.V(1).InfoS("run started", "run", uint64(o.Run), "request", o.HandOver.RequestId, "attempt", o.HandOver.Attempt)
		a.engine.Start(uint64(o.Run), o.HandOver, engineEvents{a})
	case agent.EngineCancel:
		increment(a.metrics.runsCancelled, a.core.CancelCause(o.Run))
		a.engine.Cancel(uint64(o.Run))
	case agent.Order:
		a.sendOrder(o)
	case agent.StoreRequest:
		a.wg.Go(func() {
			ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
			defer cancel()
			reply := a.store.Do(ctx, o.Request)
			a.metrics.store.recordReply(reply)
			a.loop.enqueue(agent.StoreReply{ID: o.ID, Reply: reply})
		})
	case agent.Fault:
		increment(a.metrics.faults, o.Step)
		klog.ErrorS(o.Err, "agent fault", "endpoint", a.settings.Endpoint, "step", o.Step, "peer", o.Peer)
	case agent.Exit:
		a.exitOnce.Do(func() { close(a.exited) })
	}
}

// publishState updates the gauges when they are due. The loop calls it after
// each iteration.
func (a *Agent) publishState() {
	if !a.metrics.gaugeTimer.due(a.loop.clock.now()) {
		return
	}
	a.metrics.update(a.core.Status())
	a.metrics.inbox.update(a.loop.takeMaxBatch())
	a.metrics.entryLinks.update(a.links.Dropped())
}

// sendOrder sends an order to the endpoint unless the lease under which the core
// made it has ended.
func (a *Agent) sendOrder(o agent.Order) {
	// The process may have been paused since the core made the order; another process
	// may hold the lease by now.
	if a.loop.clock.now() >= o.Until {
		increment(a.metrics.ordersEnded, orderNotSent)
		klog.InfoS("order not sent", "endpoint", a.settings.Endpoint, "order", o.Order, "kind", o.Kind, "name", o.Name, "reason", "lease ended")
		// In a goroutine, because perform must not block on its own loop.
		a.wg.Go(func() { a.loop.enqueue(agent.OrderEnd{Order: o.Order, Message: "lease ended"}) })
		return
	}
	increment(a.metrics.ordersSent, o.Kind)
	klog.InfoS("order sent", "endpoint", a.settings.Endpoint, "order", o.Order, "kind", o.Kind, "name", o.Name, "fencing", o.Fencing)
	a.engine.Order(o.Order, string(o.Kind), o.Name, o.Fencing, engineEvents{a})
}

// EntryUp reports a connection from an entry.
func (a *Agent) EntryUp(id domain.EntryID, inc domain.Incarnation) {
	a.loop.enqueue(agent.EntryUp{Peer: agent.Peer{Entry: id, Incarnation: inc}})
}

// EntryDown reports a lost connection from an entry.
func (a *Agent) EntryDown(id domain.EntryID, inc domain.Incarnation) {
	a.loop.enqueue(agent.EntryDown{Peer: agent.Peer{Entry: id, Incarnation: inc}})
}

// OnEntryMessage handles a message from an entry. Documents become the endpoint's
// configuration, other messages go to the core.
func (a *Agent) OnEntryMessage(id domain.EntryID, inc domain.Incarnation, m *pb.ToAgent) {
	if docs := m.GetDocuments(); docs != nil {
		a.applyDocuments(id, docs)
		return
	}
	if op := m.GetOperate(); op != nil {
		klog.InfoS("operator order received", "endpoint", a.settings.Endpoint, "peer", id, "change", op.Change, "desired", op.Desired)
	}
	a.loop.enqueue(agent.EntryMessage{Peer: agent.Peer{Entry: id, Incarnation: inc}, Message: m})
}

// applyDocuments updates the endpoint's configuration and passes it to the core.
func (a *Agent) applyDocuments(from domain.EntryID, docs *pb.Documents) {
	config, applied, err := a.endpointConfig.apply(docs)
	if err != nil {
		klog.ErrorS(err, "configuration refused", "endpoint", a.settings.Endpoint, "step", "decode", "peer", from, "revision", docs.Through)
		return
	}
	if !applied {
		return
	}
	klog.InfoS("configuration in force", "endpoint", a.settings.Endpoint, "revision", docs.Through, "peer", from,
		"desired", config.Endpoint.Desired)
	a.loop.enqueue(config)
}

// engineEvents passes events of the endpoint to the core and counts them. It
// implements engine.Events.
type engineEvents struct{ a *Agent }

func (e engineEvents) Head(run uint64, status uint32, headers []*pb.Header) {
	e.a.loop.enqueue(agent.EngineHead{Run: agent.RunID(run), Status: status, Headers: headers})
}

func (e engineEvents) Data(run uint64, data []byte, tokens uint32) {
	e.a.loop.enqueue(agent.EngineData{Run: agent.RunID(run), Data: data, Tokens: tokens})
}

func (e engineEvents) End(run uint64, reason pb.EndReason, finish string, promptTokens, answerTokens uint32, message string) {
	increment(e.a.metrics.runsEnded, reason)
	e.a.running.Add(-1)
	e.a.loop.enqueue(agent.EngineEnd{
		Run: agent.RunID(run), Reason: reason, FinishReason: finish,
		PromptTokens: promptTokens, AnswerTokens: answerTokens, Message: message,
	})
}

func (e engineEvents) Report(running, queued uint32) {
	e.a.loop.enqueue(agent.EngineReport{Running: running, Queued: queued})
}

func (e engineEvents) OrderEnd(order uint64, ok, fenced bool, message string) {
	increment(e.a.metrics.ordersEnded, orderResultOf(ok, fenced))
	klog.InfoS("order ended", "endpoint", e.a.settings.Endpoint, "order", order, "ok", ok, "fenced", fenced, "message", message)
	e.a.loop.enqueue(agent.OrderEnd{Order: order, OK: ok, Fenced: fenced, Message: message})
}

// orderResultOf returns the metric label of an order's end.
func orderResultOf(ok, fenced bool) orderResult {
	switch {
	case ok:
		return orderOK
	case fenced:
		return orderFenced
	}
	return orderFailed
}

func (e engineEvents) CacheEvent(prefix uint64, cached bool) {
	e.a.loop.enqueue(agent.CacheEvent{Prefix: prefix, Cached: cached})
}

// headerTimeout bounds the time to read a request's headers on admin pages.
const headerTimeout = 5 * time.Second
