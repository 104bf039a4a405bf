package integration

import (
	"fmt"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// tick is the interval between two ticks of the cores.
	tick          = 5 * time.Millisecond
	agentSlots    = 2
	tokenInterval = 30 * time.Millisecond
	// serviceTime is the duration of a plain service's run, and of an agent's order
	// to its endpoint.
	serviceTime = 60 * time.Millisecond
)

// process is the simulated operating system process of an entry or agent. It can
// terminate and start again, pause, and has its own clock.
type process struct {
	sim            *simulation
	incarnation    domain.Incarnation
	alive          bool
	paused         bool
	origin         domain.Instant // simulated time at which the process's clock read 0
	deferredInputs []func()
	// deferredOutputs holds outputs of a step during which a pause began. The tests
	// pause processes only between steps, so it stays empty.
	deferredOutputs []func()
}

func (p *process) running() bool { return p.alive && !p.paused }

func (p *process) clock() domain.Instant { return p.sim.time.now - p.origin }

// deliver runs fn, an input to incarnation inc, at once or when the process
// resumes. Inputs to an earlier incarnation or a terminated process are dropped.
func (p *process) deliver(inc domain.Incarnation, fn func()) {
	if !p.alive || p.incarnation != inc {
		return
	}
	if p.paused {
		p.deferredInputs = append(p.deferredInputs, fn)
		return
	}
	fn()
}

// startIncarnation starts the process with an incarnation that is unique in the
// simulation, and an unrelated clock.
func (p *process) startIncarnation() {
	p.alive = true
	p.paused = false
	p.deferredInputs = nil
	p.deferredOutputs = nil
	p.sim.processStarts++
	p.incarnation = domain.Incarnation(1000 + p.sim.processStarts)
	p.origin = p.sim.time.now - domain.Instant(p.sim.rng.Int64N(int64(time.Hour)))
}

// resume ends a pause: it performs the deferred outputs, then delivers the
// inputs received during the pause.
func (p *process) resume() {
	p.paused = false
	deferredOutputs, deferredInputs := p.deferredOutputs, p.deferredInputs
	p.deferredOutputs, p.deferredInputs = nil, nil
	for _, fn := range append(deferredOutputs, deferredInputs...) {
		p.deliver(p.incarnation, fn)
	}
}

// terminate ends the process. Deferred inputs and outputs are lost.
func (p *process) terminate() {
	p.alive = false
	p.paused = false
	p.deferredOutputs, p.deferredInputs = nil, nil
}

// entryNode is an entry process. It performs the outputs of its core.
type entryNode struct {
	process
	id   domain.EntryID
	core *entry.Core
}

func (n *entryNode) start() {
	n.startIncarnation()
	cfg := entry.DefaultConfig()
	cfg.EntryID = n.id
	cfg.Incarnation = n.incarnation
	cfg.DataCentre = "dc-1"
	cfg.Seed = n.sim.rng.Uint64()
	n.core = entry.New(cfg)
	n.step(entry.NewConfig{Config: n.sim.config})
}

func (n *entryNode) step(in entry.Input) {
	n.core.Step(n.clock(), in)
	n.flush()
}

func (n *entryNode) input(in entry.Input) {
	n.deliver(n.incarnation, func() { n.step(in) })
}

// flush performs the core's outputs, or defers them while the process is paused.
func (n *entryNode) flush() {
	for _, out := range n.core.Take() {
		n.sim.traceEntry(n, out)
		if n.paused {
			n.deferredOutputs = append(n.deferredOutputs, func() { n.perform(out) })
			continue
		}
		n.perform(out)
	}
}

func (n *entryNode) perform(out entry.Output) {
	inc := n.incarnation
	switch o := out.(type) {
	case entry.SendAgent:
		l := n.sim.linkBetween(n, o.Agent)
		a, agentInc := l.agent, l.agent.incarnation
		n.sim.transmit(l, func() {
			a.deliver(agentInc, func() {
				a.step(agent.EntryMessage{Peer: agent.Peer{Entry: n.id, Incarnation: inc}, Message: o.Message})
			})
		})
	case entry.SendPeer:
		for _, peer := range n.sim.entries {
			if peer.id == o.Peer && peer != n {
				peer.input(entry.PeerMessage{Peer: n.id, Message: o.Message})
			}
		}
	case entry.Reconnect:
		n.sim.counts[faultReconnect]++
		n.sim.disconnect(n.sim.linkBetween(n, o.Agent), false, true)
	case entry.StoreRequest:
		n.sim.store.handle(o.Request, func(reply tableReply) {
			n.deliver(inc, func() { n.step(entry.StoreReply{ID: o.ID, Reply: reply}) })
		})
	case entry.CallerHead, entry.CallerData, entry.CallerEnd:
		n.sim.oracle.checkOutput(n, out)
	}
}

func (n *entryNode) linkUp(a *agentNode) {
	n.input(entry.AgentUp{Agent: a.id, Incarnation: a.incarnation})
}

func (n *entryNode) linkDown(a *agentNode) { n.input(entry.AgentDown{Agent: a.id}) }

// agentNode is an agent process and its endpoint. The endpoint generates tokens
// or executes plain requests, and can be slow, reject runs or fail.
type agentNode struct {
	process
	index     int
	id        domain.EndpointID
	core      *agent.Core
	runs      []*run // in progress at the endpoint, in order of start
	slow      int    // multiplies the endpoint's token interval and service time
	refuse    bool
	drainAt   domain.Instant // time of the request to drain or stop; 0 while serving
	stopping  bool
	grantedAt map[uint64]domain.Instant // unused grants of this incarnation by nonce
}

// run is one execution at an endpoint.
type run struct {
	id               agent.RunID
	handOver         *pb.HandOver
	ended            bool
	tokens           int
	agentIncarnation domain.Incarnation
	plain            bool
}

func (n *agentNode) start() {
	n.startIncarnation()
	n.drainAt = 0
	n.stopping = false
	n.grantedAt = make(map[uint64]domain.Instant)
	cfg := agent.DefaultConfig()
	cfg.EndpointID = n.id
	cfg.Incarnation = n.incarnation
	cfg.Slots = agentSlots
	n.core = agent.New(cfg)
	n.configure()
}

// configure gives the agent the newest configuration of its endpoint.
func (n *agentNode) configure() {
	ep := n.sim.config.endpoints[n.index]
	in := agent.EndpointConfig{
		Revision: n.sim.config.revision, Changed: n.sim.config.lastChanged[n.index], Endpoint: ep, Kind: n.sim.config.kind(n.index),
	}
	n.deliver(n.incarnation, func() {
		n.setDraining(ep.Desired != domain.EndpointServing)
		n.step(in)
	})
}

// setDraining records for the oracle that a request to drain or to serve again has
// reached the agent, from an operator or in a configuration, or that it received
// Shutdown. A stopping agent never serves again.
func (n *agentNode) setDraining(draining bool) {
	switch {
	case draining && n.drainAt == 0:
		n.drainAt = n.sim.time.now
	case !draining && !n.stopping:
		n.drainAt = 0
	}
}

func (n *agentNode) step(in agent.Input) {
	n.core.Step(n.clock(), in)
	n.flush()
}

func (n *agentNode) input(in agent.Input) {
	n.deliver(n.incarnation, func() { n.step(in) })
}

// flush performs the core's outputs, or defers them while the process is paused.
func (n *agentNode) flush() {
	for _, out := range n.core.Take() {
		n.trackGrants(out)
		n.sim.traceAgent(n, out)
		if n.paused {
			n.deferredOutputs = append(n.deferredOutputs, func() { n.perform(out) })
			continue
		}
		n.perform(out)
	}
}

// trackGrants records when each grant is issued, and has the oracle check the
// grant of each started run.
func (n *agentNode) trackGrants(out agent.Output) {
	switch o := out.(type) {
	case agent.SendEntry:
		if g := o.Message.GetGrant(); g != nil {
			n.grantedAt[g.Nonce] = n.sim.time.now
		}
	case agent.EngineStart:
		n.sim.oracle.checkGrant(n, o.HandOver)
	}
}

func (n *agentNode) perform(out agent.Output) {
	inc := n.incarnation
	switch o := out.(type) {
	case agent.SendEntry:
		n.send(o)
	case agent.EngineStart:
		n.startRun(o)
	case agent.EngineCancel:
		n.cancelRun(o.Run)
	case agent.StoreRequest:
		n.sim.store.handle(o.Request, func(reply tableReply) {
			n.deliver(inc, func() { n.step(agent.StoreReply{ID: o.ID, Reply: reply}) })
		})
	case agent.Order:
		n.sim.time.after(serviceTime, func() {
			n.deliver(inc, func() { n.step(agent.OrderEnd{Order: o.Order, OK: true}) })
		})
	case agent.Exit:
		n.sim.oracle.checkExit(n)
		n.crash()
	}
}

func (n *agentNode) send(o agent.SendEntry) {
	e := n.sim.entryByID(o.Peer.Entry)
	if e == nil || e.incarnation != o.Peer.Incarnation {
		return
	}
	l := n.sim.linkBetween(e, n.id)
	generation, entryInc, inc := l.generation, e.incarnation, n.incarnation
	n.sim.transmit(l, func() {
		if l.generation != generation {
			return
		}
		e.deliver(entryInc, func() { e.step(entry.AgentMessage{Agent: n.id, Incarnation: inc, Message: o.Message}) })
	})
}

func (n *agentNode) linkUp(e *entryNode) {
	n.input(agent.EntryUp{Peer: agent.Peer{Entry: e.id, Incarnation: e.incarnation}})
}

func (n *agentNode) linkDown(e *entryNode) {
	n.input(agent.EntryDown{Peer: agent.Peer{Entry: e.id, Incarnation: e.incarnation}})
}

// crash terminates the agent, whose runs get no end message. The oracle counts
// executions at their start, so these runs stay counted: a plain service
// completes them even without its agent.
func (n *agentNode) crash() {
	n.terminate()
	n.runs = nil
	for _, l := range n.sim.links {
		if l.agent == n {
			n.sim.disconnect(l, !l.cut, false)
		}
	}
}

func (n *agentNode) startRun(o agent.EngineStart) {
	r := &run{id: o.Run, handOver: o.HandOver, agentIncarnation: n.incarnation, plain: n.sim.config.kind(n.index) == domain.ServicePlain}
	n.runs = append(n.runs, r)
	if n.refuse {
		n.sim.counts[faultEngineRefuse]++
		n.endRun(r, pb.EndReason_END_REFUSED, "refused")
		return
	}
	n.sim.oracle.checkStart(n, o.HandOver)
	if r.plain {
		n.sim.time.after(serviceTime*time.Duration(n.slow), func() { n.answerService(r) })
		return
	}
	n.sim.time.after(tokenInterval*time.Duration(n.slow), func() { n.emitToken(r) })
}

// emitToken delivers the next token of a model run, or its end after the last one.
func (n *agentNode) emitToken(r *run) {
	if r.ended || !n.alive || n.incarnation != r.agentIncarnation {
		return
	}
	text := answerTokens(r.handOver.RequestId)
	position := int(r.handOver.ResumeTokens) + r.tokens
	if position >= len(text) {
		n.endRun(r, pb.EndReason_END_COMPLETE, "")
		return
	}
	r.tokens++
	n.sim.oracle.tokens++
	n.input(agent.EngineData{Run: r.id, Data: []byte(text[position]), Tokens: 1})
	n.sim.time.after(tokenInterval*time.Duration(n.slow), func() { n.emitToken(r) })
}

// answerService delivers the complete answer of a plain service.
func (n *agentNode) answerService(r *run) {
	if r.ended || !n.alive || n.incarnation != r.agentIncarnation {
		return
	}
	n.input(agent.EngineHead{Run: r.id, Status: 200})
	n.input(agent.EngineData{Run: r.id, Data: []byte(serviceAnswer(r.handOver.RequestId))})
	n.endRun(r, pb.EndReason_END_COMPLETE, "")
}

func (n *agentNode) cancelRun(id agent.RunID) {
	for _, r := range n.runs {
		if r.id == id {
			n.sim.oracle.checkCancel(n, r)
			n.endRun(r, pb.EndReason_END_CANCELLED, "cancelled")
			return
		}
	}
}

// endRun ends a run, unless it has ended, and delivers the end to the core; a
// paused agent receives it when it resumes.
func (n *agentNode) endRun(r *run, reason pb.EndReason, message string) {
	if r.ended {
		return
	}
	r.ended = true
	remaining := n.runs[:0]
	for _, other := range n.runs {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	n.runs = remaining
	end := agent.EngineEnd{Run: r.id, Reason: reason, AnswerTokens: uint32(r.tokens), Message: message}
	if reason == pb.EndReason_END_COMPLETE {
		end.FinishReason = "stop"
	}
	n.sim.time.after(0, func() { n.deliver(r.agentIncarnation, func() { n.step(end) }) })
}

// failRuns breaks the connections of all runs, as a crash of the endpoint does.
func (n *agentNode) failRuns() {
	for _, r := range append([]*run(nil), n.runs...) {
		n.endRun(r, pb.EndReason_END_BROKEN, "connection reset")
	}
}

// answerTokens returns the tokens of the expected answer to a model request: 1 to
// 17 tokens, unique to the request.
func answerTokens(request string) []string {
	var sum int
	for _, b := range []byte(request) {
		sum += int(b)
	}
	tokens := make([]string, 1+sum%17)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s.%d ", request, i)
	}
	return tokens
}

// serviceAnswer returns the expected answer of a plain service.
func serviceAnswer(request string) string { return "done " + request }
