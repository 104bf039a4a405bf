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

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
	"github.com/dunlinpulley/dunlinpulley/internal/metrics"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// hostListInterval is the minimum time between two reads of the platform's host list.
	hostListInterval = 5 * time.Second
	// intervalPerHost is the minimum time between two reads of the host list, per host
	// on it: after reading a list of n hosts, the next read is at least
	// n*intervalPerHost later. This limits the bytes read per second for any number of
	// hosts.
	intervalPerHost = 250 * time.Millisecond
)

// EntrySettings are the settings of an entry.
type EntrySettings struct {
	// Name is the entry's name in the declarations.
	Name string
	// DataCentre is the data centre that this host is in.
	DataCentre string
	// Listen is the address of the caller API.
	Listen string
	// AdminAddress is the address of the operator API.
	AdminAddress string
	// PeerListen is the address where other entries connect.
	PeerListen string
	// Store is the URL of the platform's table service and host list.
	Store string
	// BootstrapTokenHash is the hash of the bootstrap token, which authenticates an
	// operator while no operator is declared. Zero means that there is no such token.
	BootstrapTokenHash domain.KeyHash
	// Peers are the entries to get the first configuration from.
	Peers []wire.PeerTarget
	// StopNotice is the time between failing readiness and refusing new calls, in
	// which load balancers stop sending calls here. Zero refuses at once.
	StopNotice time.Duration
}

// Entry is a running entry process. It has two cores, each run by a loop of its
// own: core (the call core, in the call loop) decides on calls, and config.core on
// the configuration.
type Entry struct {
	settings   EntrySettings
	loop       *loop[entry.Input, entry.Output]
	core       *entry.Core
	config     *configController
	agentLinks *wire.AgentLinks
	subset     *agentSubset
	peerLinks  *wire.PeerLinks
	store      *platform.Client
	metrics    *entryMetrics
	calls      openCalls
	stopping   atomic.Bool // set by Shutdown
	idle       atomic.Bool // core.Idle after the last iteration
	// latestLeaving holds the endpoints whose hosts are leaving according to the
	// last host list that was read. Nil before the first.
	latestLeaving atomic.Pointer[[]domain.EndpointID]

	// The addresses on which the entry serves callers, operators and other entries,
	// with the actual ports.
	CallerAddress string
	AdminAddress  string
	PeerAddress   string

	caller *http.Server
	admin  *http.Server
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// StartEntry starts an entry and returns once it listens on its addresses.
func StartEntry(s EntrySettings) (*Entry, error) {
	return startProcess[*Entry](s.Name,
		func() EntrySettings { return s },
		func() *metrics.Registry { return metrics.New("entry") },
		newEntryMetrics,
		newStore(s.Store),
		newEntryCore,
		newConfigController,
		newEntry,
	)
}

func newEntryCore(s EntrySettings, inc domain.Incarnation) *entry.Core {
	cfg := entry.DefaultConfig()
	cfg.EntryID = domain.EntryID(s.Name)
	cfg.Incarnation = inc
	cfg.DataCentre = domain.DataCentre(s.DataCentre)
	cfg.Seed = uint64(inc)
	return entry.New(cfg)
}

func newEntry(
	s EntrySettings, core *entry.Core, config *configController, inc domain.Incarnation, clk clock,
	store *platform.Client, m *entryMetrics,
) *Entry {
	e := &Entry{settings: s, core: core, config: config, store: store, metrics: m}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.loop = newLoop[entry.Input, entry.Output](core, clk, e.perform)
	e.loop.publishState = e.publishState
	self := wire.Identity{Name: s.Name, Incarnation: inc, Revision: config.revision}
	e.subset = newAgentSubset(s, e.updateAgentLinks)
	e.agentLinks = wire.NewAgentLinks(self, e, wire.Options{})
	e.peerLinks = wire.NewPeerLinks(self, e, wire.Options{})
	config.setEntry(e)
	return e
}

func (e *Entry) start() error {
	var listeners [3]net.Listener
	for i, address := range []string{e.settings.Listen, e.settings.AdminAddress, e.settings.PeerListen} {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			closeListeners(listeners[:i])
			return errors.Wrapf(err, "step=listen peer=%s", address)
		}
		listeners[i] = ln
	}
	e.CallerAddress, e.AdminAddress, e.PeerAddress = listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String()
	e.caller = callerapi.NewServer(callerapi.New(callerapi.Options{
		CallHandler: e, Config: e.config.configInForce, Ready: e.notReadyError, Metrics: e.metrics.handler,
	}))
	e.admin = &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: headerTimeout}
	if err := e.peerLinks.SetTargets(e.settings.Peers); err != nil {
		return err
	}
	e.wg.Go(func() { e.loop.run(e.ctx) })
	e.wg.Go(func() { e.config.loop.run(e.ctx) })
	e.wg.Go(func() { logServeError("caller API", e.caller.Serve(hangup.Listen(listeners[0]))) })
	e.wg.Go(func() { logServeError("operator API", e.admin.Serve(listeners[1])) })
	e.wg.Go(func() { logServeError("peer links", e.peerLinks.Serve(e.ctx, listeners[2])) })
	e.wg.Go(e.pollHosts)
	klog.InfoS("entry started", "entry", e.settings.Name, "listen", e.CallerAddress, "admin", e.AdminAddress, "peer", e.PeerAddress)
	return nil
}

func closeListeners(listeners []net.Listener) {
	for _, ln := range listeners {
		logCloseError("entry listener", ln.Close())
	}
}

// notReadyError returns why the readiness probe fails, or nil when the entry is ready.
func (e *Entry) notReadyError() error {
	if e.stopping.Load() {
		return errors.New("shutting down")
	}
	if !e.config.ready.Load() {
		return errors.New("no configuration yet, or a newer one is known")
	}
	return nil
}

// adminHandler returns the handler of the operator API and of the liveness probe,
// which needs no token.
func (e *Entry) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", serveLiveness)
	r.Mount("/", operatorapi.New(operatorBackend{e}, operatorapi.Options{BootstrapTokenHash: e.settings.BootstrapTokenHash, Now: time.Now}))
	return r
}

// install passes a configuration to the call core and updates the links to agents
// and other entries accordingly.
func (e *Entry) install(set *declaration.Set) {
	e.loop.enqueue(entry.NewConfig{Config: set})
	e.subset.install(set)
	e.updatePeerLinks(set)
	e.loop.enqueue(entry.AvoidedAgents{Agents: e.avoidedEndpoints()})
	klog.InfoS("configuration in force", "entry", e.settings.Name, "revision", uint64(set.Revision()))
}

// Submit passes a call from the caller API to the core. The answer goes to sink.
func (e *Entry) Submit(call entry.Call, sink callerapi.Sink) {
	e.calls.add(call.ID, newOpenCall(e.config.configInForce(), call, sink))
	e.loop.enqueue(entry.CallArrived{Call: call})
}

// CallerDisconnected reports that the caller has disconnected.
func (e *Entry) CallerDisconnected(call domain.CallID) { e.loop.enqueue(entry.CallerGone{Call: call}) }

// perform carries out one output of the core. It never waits for the core.
func (e *Entry) perform(out entry.Output) {
	switch o := out.(type) {
	case entry.SendAgent:
		if handOver := o.Message.GetHandOver(); handOver != nil {
			e.calls.recordHandOver(domain.CallID(handOver.Call), handOver.Attempt)
		}
		e.agentLinks.Send(o.Agent, o.Message)
	case entry.SendPeer:
		e.peerLinks.Send(o.Peer, o.Message)
	case entry.Reconnect:
		e.metrics.agentLinks.silent.Inc(1)
		klog.InfoS("link silent", "self", e.settings.Name, "peer", o.Agent)
		e.agentLinks.Reconnect(o.Agent)
	case entry.StoreRequest:
		e.sendStoreRequest(o.Request, func(reply table.Reply) { e.loop.enqueue(entry.StoreReply{ID: o.ID, Reply: reply}) })
	case entry.CallerHead:
		e.calls.putHead(o)
	case entry.CallerData:
		e.calls.putData(o)
	case entry.CallerEnd:
		if call := e.calls.finish(o); call != nil {
			e.metrics.recordEnd(call, o)
		}
	}
}

// publishState copies core.Idle for Shutdown and updates the gauges when they are
// due. The call loop calls it after each iteration.
func (e *Entry) publishState() {
	e.idle.Store(e.core.Idle())
	if !e.metrics.gaugeTimer.due(e.loop.clock.now()) {
		return
	}
	e.metrics.update(e.core)
	e.metrics.callInbox.update(e.loop.takeMaxBatch())
	e.metrics.agentLinks.update(e.agentLinks.Dropped())
	e.metrics.peerLinks.update(e.peerLinks.Dropped())
}

// sendStoreRequest sends a request to the table service in the background and
// calls onReply exactly once.
func (e *Entry) sendStoreRequest(request table.Request, onReply func(table.Reply)) {
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
		defer cancel()
		reply := e.store.Do(ctx, request)
		e.metrics.store.recordReply(reply)
		onReply(reply)
	})
}

// AgentUp reports a connection to an agent.
func (e *Entry) AgentUp(id domain.EndpointID, inc domain.Incarnation) {
	e.loop.enqueue(entry.AgentUp{Agent: id, Incarnation: inc})
	e.config.loop.enqueue(revision.AgentUp{Agent: id})
}

// AgentDown reports a lost connection to an agent.
func (e *Entry) AgentDown(id domain.EndpointID) {
	e.loop.enqueue(entry.AgentDown{Agent: id})
	e.config.loop.enqueue(revision.AgentDown{Agent: id})
}

// OnAgentMessage passes a message from an agent to the call core, the configuration
// core, or both.
func (e *Entry) OnAgentMessage(id domain.EndpointID, m *pb.ToEntry) {
	switch m.GetKind().(type) {
	case *pb.ToEntry_DocumentsRequest, *pb.ToEntry_OperateReply:
		e.config.loop.enqueue(revision.AgentMessage{Agent: id, Message: m})
	case *pb.ToEntry_Heartbeat:
		e.config.loop.enqueue(revision.AgentMessage{Agent: id, Message: m})
		e.loop.enqueue(entry.AgentMessage{Agent: id, Message: m})
	default:
		e.loop.enqueue(entry.AgentMessage{Agent: id, Message: m})
	}
}

// PeerUp reports a connection to another entry.
func (e *Entry) PeerUp(id domain.EntryID, _ domain.Incarnation) {
	e.config.loop.enqueue(revision.PeerUp{Peer: id})
}

// PeerDown reports a lost connection to another entry.
func (e *Entry) PeerDown(id domain.EntryID) {
	e.config.loop.enqueue(revision.PeerDown{Peer: id})
}

// OnPeerMessage passes a message from another entry to the call core or the
// configuration core.
func (e *Entry) OnPeerMessage(id domain.EntryID, m *pb.ToPeer) {
	switch m.GetKind().(type) {
	case *pb.ToPeer_ShareAsk, *pb.ToPeer_ShareLoan:
		e.loop.enqueue(entry.PeerMessage{Peer: id, Message: m})
	default:
		e.config.loop.enqueue(revision.PeerMessage{Peer: id, Message: m})
	}
}

// pollHosts polls the platform's host list for hosts that are about to leave, and
// ends idle links to retired agents. It runs until the entry is closed.
func (e *Entry) pollHosts() {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	var nextRead time.Time
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		e.unlinkIdleRetiredAgents()
		if time.Now().Before(nextRead) {
			continue
		}
		hosts, err := e.store.Hosts(e.ctx)
		if err != nil {
			klog.V(1).ErrorS(err, "failed to read the host list", "step", "hosts", "peer", e.settings.Store)
			continue
		}
		nextRead = time.Now().Add(time.Duration(len(hosts)) * intervalPerHost)
		leavingEndpoints := e.leavingEndpoints(hosts)
		e.latestLeaving.Store(&leavingEndpoints)
		e.loop.enqueue(entry.AvoidedAgents{Agents: e.avoidedEndpoints()})
	}
}

// avoidedEndpoints lists the endpoints that get new calls only if there is no
// other: those on leaving hosts, and those that have left this entry's subset.
func (e *Entry) avoidedEndpoints() []domain.EndpointID {
	ids := e.subset.retiredAgents()
	if leaving := e.latestLeaving.Load(); leaving != nil {
		ids = append(ids, *leaving...)
	}
	return ids
}

// leavingEndpoints lists the endpoints whose hosts are about to leave. The
// platform identifies a host by its IP address, or by the agent's address and
// port if several hosts share an IP address.
func (e *Entry) leavingEndpoints(hosts []table.Host) []domain.EndpointID {
	set := e.config.set.Load()
	if set == nil {
		return nil
	}
	var ids []domain.EndpointID
	for _, ep := range set.AllEndpoints() {
		for _, host := range hosts {
			if host.State == table.HostLeaving && isAgentHost(ep.AgentAddress, host.Address) {
				ids = append(ids, ep.ID)
			}
		}
	}
	return ids
}

// isAgentHost reports whether an agent's address is on a host of the host list.
func isAgentHost(agentAddress, host string) bool {
	ip, _, err := net.SplitHostPort(agentAddress)
	return agentAddress == host || err == nil && ip == host
}

// Shutdown stops the entry gracefully: readiness fails first, new calls are
// refused after the stop notice, and Shutdown returns when all calls in progress
// have ended and the core has nothing left to write to the store.
func (e *Entry) Shutdown() {
	klog.InfoS("entry stopping", "entry", e.settings.Name)
	e.stopping.Store(true)
	time.Sleep(e.settings.StopNotice)
	e.loop.enqueue(entry.Shutdown{})
	logCloseError("caller API", e.caller.Shutdown(context.Background()))
	for !e.idle.Load() {
		time.Sleep(tickInterval)
	}
	klog.InfoS("entry stopped", "entry", e.settings.Name)
	e.Close()
}

// CallsInProgress returns the number of calls in progress.
func (e *Entry) CallsInProgress() int { return e.calls.len() }

// Close stops the entry at once and aborts calls in progress.
func (e *Entry) Close() {
	e.cancel()
	logCloseError("caller API", e.caller.Close())
	logCloseError("operator API", e.admin.Close())
	e.agentLinks.Close()
	e.peerLinks.Close()
	e.wg.Wait()
	e.metrics.close()
}
