package revision_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// storeMode is the behaviour of the simulated store.
type storeMode int

const (
	storeUp           storeMode = iota
	storeDown                   // rejects every request
	storeLosesReply             // applies the request and loses the reply
	storeLosesRequest           // loses the request
	storeAppliesLate            // loses the reply and applies the request later
	storeSlow                   // delays requests and replies
	storeModeCount    = iota
)

// testStore is an in-memory table service.
type testStore struct {
	mode storeMode
	rows map[table.Name]map[string]table.Row
	// committed holds the documents of each revision, as "key value" lines.
	committed map[uint64][]string
}

func newTestStore() *testStore {
	return &testStore{rows: make(map[table.Name]map[string]table.Row), committed: make(map[uint64][]string)}
}

func (s *testStore) transact(r table.Request) table.Reply {
	var failed []table.Row
	conflict := false
	for _, cond := range r.Conditions {
		row, ok := s.rows[cond.Table][cond.Key]
		if row.Version != cond.Version {
			conflict = true
		}
		if row.Version != cond.Version && ok {
			failed = append(failed, row)
		}
	}
	if conflict {
		return table.Reply{Status: table.StatusConflict, Rows: failed}
	}
	for _, w := range r.Writes {
		if s.rows[w.Table] == nil {
			s.rows[w.Table] = make(map[string]table.Row)
		}
		if w.Delete {
			delete(s.rows[w.Table], w.Key)
			continue
		}
		version := s.rows[w.Table][w.Key].Version + 1
		s.rows[w.Table][w.Key] = table.Row{Table: w.Table, Key: w.Key, Version: version, Value: w.Value}
	}
	if len(r.Writes) > 0 {
		var lines []string
		for _, row := range s.scan(table.Scan{Table: table.Documents}) {
			lines = append(lines, row.Key+" "+string(row.Value))
		}
		s.committed[s.rows[table.Head]["head"].Version] = lines
	}
	reply := table.Reply{Status: table.StatusOK}
	for _, g := range r.Gets {
		if row, ok := s.rows[g.Table][g.Key]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	for _, scan := range r.Scans {
		reply.Rows = append(reply.Rows, s.scan(scan)...)
	}
	return reply
}

func (s *testStore) scan(scan table.Scan) []table.Row {
	var rows []table.Row
	for key, row := range s.rows[scan.Table] {
		if key > scan.After {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	if limit := int(scan.Limit); limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

// event is a scheduled action. Events at the same time run in order of seq.
type event struct {
	at  domain.Instant
	seq int
	run func()
}

// testAgent applies documents and orders as docs/PROTOCOL.md specifies.
type testAgent struct {
	declaration.AgentState
	desired       domain.DesiredState
	stateHistory  []domain.DesiredState // each state once per change, in order
	unreachable   bool
	appliedOrders map[string]bool // change identifiers of the orders applied
	lastOrder     string          // change identifier of the last order applied
}

// node is one incarnation of an entry.
type node struct {
	core        *revision.Core
	incarnation int
	maxRevision domain.Revision
}

// network simulates entries, agents and a store on one simulated clock.
type network struct {
	now          domain.Instant
	seq          int
	events       []event
	store        *testStore
	entryIDs     []domain.EntryID
	nodes        map[domain.EntryID]*node
	agents       map[domain.EndpointID]*testAgent
	partitioned  map[[2]domain.EntryID]bool
	withoutStore domain.EntryID // entry without access to the store
	applied      map[uint64]revision.ApplyResult
	orders       map[uint64]revision.OperateResult
	audits       map[uint64]revision.AuditResult
	violations   []string
	trace        []string // text of all outputs, in order
}

const (
	messageDelay = time.Millisecond
	tick         = 50 * time.Millisecond
	// convergenceBound is the maximum time for a change to be in force in all
	// processes once its committer or the store is reachable. It allows for the longest
	// poll interval (3 s), the timeout of a peer (3 s), and a heartbeat and a repeated
	// request for documents (1 s each).
	convergenceBound = 8 * time.Second
)

func newNetwork(entries int) *network {
	n := &network{
		store:       newTestStore(),
		nodes:       make(map[domain.EntryID]*node),
		agents:      make(map[domain.EndpointID]*testAgent),
		partitioned: make(map[[2]domain.EntryID]bool),
		applied:     make(map[uint64]revision.ApplyResult),
		orders:      make(map[uint64]revision.OperateResult),
		audits:      make(map[uint64]revision.AuditResult),
	}
	for i := range entries {
		n.entryIDs = append(n.entryIDs, domain.EntryID(fmt.Sprintf("entry-%d", i+1)))
	}
	for _, id := range []domain.EndpointID{"desk-01", "desk-02", "ticketing-01"} {
		n.agents[id] = &testAgent{AgentState: declaration.AgentState{Endpoint: id}, appliedOrders: make(map[string]bool)}
	}
	for _, name := range n.entryIDs {
		n.start(name)
	}
	return n
}

// start starts a new incarnation of an entry and connects it.
func (n *network) start(name domain.EntryID) {
	incarnation := 1
	if old := n.nodes[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	options := revision.Options{Self: name, Incarnation: domain.Incarnation(incarnation), Seed: uint64(incarnation) + uint64(name[len(name)-1])}
	n.nodes[name] = &node{core: revision.New(options), incarnation: incarnation}
	for _, other := range n.entryIDs {
		if other != name && n.nodes[other] != nil {
			n.connect(name, other)
		}
	}
	for _, id := range n.agentIDs() {
		n.input(name, revision.AgentUp{Agent: id, Revision: n.agents[id].Revision})
	}
}

func (n *network) agentIDs() []domain.EndpointID {
	return []domain.EndpointID{"desk-01", "desk-02", "ticketing-01"}
}

func (n *network) connect(a, b domain.EntryID) {
	if n.partitioned[entryPair(a, b)] {
		return
	}
	n.input(a, revision.PeerUp{Peer: b, Revision: n.nodes[b].core.Set().Revision()})
	n.input(b, revision.PeerUp{Peer: a, Revision: n.nodes[a].core.Set().Revision()})
}

func entryPair(a, b domain.EntryID) [2]domain.EntryID {
	if a > b {
		a, b = b, a
	}
	return [2]domain.EntryID{a, b}
}

func (n *network) schedule(d time.Duration, do func()) {
	n.seq++
	n.events = append(n.events, event{n.now.Add(d), n.seq, do})
}

// advance advances the clock by d, with a Tick of all entries every tick.
func (n *network) advance(d time.Duration) {
	end := n.now.Add(d)
	for next := n.now.Add(tick); next <= end; next = next.Add(tick) {
		n.runUntil(next)
		for _, name := range n.entryIDs {
			n.nodes[name].core.Tick(n.now)
			n.executeOutputs(name)
		}
	}
}

func (n *network) runUntil(end domain.Instant) {
	for {
		first := -1
		for i, e := range n.events {
			if e.at <= end && (first < 0 || e.at < n.events[first].at || e.at == n.events[first].at && e.seq < n.events[first].seq) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		e := n.events[first]
		n.events = slices.Delete(n.events, first, first+1)
		n.now = max(n.now, e.at)
		e.run()
	}
	n.now = end
}

func (n *network) input(name domain.EntryID, in revision.Input) {
	n.nodes[name].core.Step(n.now, in)
	n.executeOutputs(name)
}

// executeOutputs executes the outputs of an entry and adds them to the trace.
func (n *network) executeOutputs(name domain.EntryID) {
	entry := n.nodes[name]
	for _, out := range entry.core.Take() {
		n.trace = append(n.trace, fmt.Sprintf("%d %s %s", n.now, name, outputText(out)))
		switch out := out.(type) {
		case revision.SendPeer:
			n.sendPeer(name, out)
		case revision.SendAgent:
			n.schedule(messageDelay, func() { n.sendToAgent(name, out) })
		case revision.ReconnectPeer:
			n.schedule(messageDelay, func() { n.connect(name, out.Peer) })
		case revision.StoreRequest:
			n.sendToStore(name, entry.incarnation, out)
		case revision.Installed:
			if out.Set.Revision() <= entry.maxRevision {
				n.violations = append(n.violations, fmt.Sprintf("%s went from revision %d to %d", name, entry.maxRevision, out.Set.Revision()))
			}
			entry.maxRevision = out.Set.Revision()
			n.checkInstalled(name, out.Set)
		case revision.ApplyResult:
			if _, ok := n.applied[out.ID]; ok {
				n.violations = append(n.violations, fmt.Sprintf("two results of apply %d", out.ID))
			}
			n.applied[out.ID] = out
		case revision.OperateResult:
			n.orders[out.ID] = out
		case revision.AuditResult:
			n.audits[out.ID] = out
		}
	}
}

// outputText formats an output with its message in deterministic encoding.
func outputText(out revision.Output) string {
	deterministic := proto.MarshalOptions{Deterministic: true}
	switch out := out.(type) {
	case revision.SendPeer:
		data, _ := deterministic.Marshal(out.Message)
		return fmt.Sprintf("peer %s %x", out.Peer, data)
	case revision.SendAgent:
		data, _ := deterministic.Marshal(out.Message)
		return fmt.Sprintf("agent %s %x", out.Agent, data)
	case revision.Installed:
		return fmt.Sprintf("installed %d", out.Set.Revision())
	}
	return fmt.Sprintf("%T %+v", out, out)
}

// checkInstalled records a violation unless a set has exactly the documents
// committed at its revision.
func (n *network) checkInstalled(name domain.EntryID, set *declaration.Set) {
	var lines []string
	for _, doc := range set.Documents() {
		lines = append(lines, fmt.Sprintf(`%s {"revision":%d,"body":%s}`, declaration.DocumentKey(doc), doc.GetRevision(), doc.GetBody()))
	}
	if want := n.store.committed[uint64(set.Revision())]; !slices.Equal(lines, want) {
		n.violations = append(n.violations, fmt.Sprintf("%s at revision %d has\n%v\nbut the store has\n%v", name, set.Revision(), lines, want))
	}
}

func (n *network) sendPeer(from domain.EntryID, out revision.SendPeer) {
	if n.partitioned[entryPair(from, out.Peer)] {
		return
	}
	n.schedule(messageDelay, func() { n.input(out.Peer, revision.PeerMessage{Peer: from, Message: out.Message}) })
}

func (n *network) sendToStore(name domain.EntryID, incarnation int, out revision.StoreRequest) {
	reply := func(d time.Duration, r table.Reply) {
		n.schedule(d, func() {
			if n.nodes[name].incarnation == incarnation {
				n.input(name, revision.StoreReply{ID: out.ID, Reply: r})
			}
		})
	}
	if name == n.withoutStore {
		reply(messageDelay, table.Reply{Status: table.StatusUnavailable})
		return
	}
	lost := table.Reply{Status: table.StatusLost}
	switch n.store.mode {
	case storeDown:
		reply(messageDelay, table.Reply{Status: table.StatusUnavailable})
	case storeLosesReply:
		n.store.transact(out.Request)
		reply(time.Second, lost)
	case storeLosesRequest:
		reply(time.Second, lost)
	case storeAppliesLate:
		n.schedule(3*time.Second, func() { n.store.transact(out.Request) })
		reply(time.Second, lost)
	case storeSlow:
		n.schedule(700*time.Millisecond, func() { reply(700*time.Millisecond, n.store.transact(out.Request)) })
	default:
		n.schedule(messageDelay, func() { reply(messageDelay, n.store.transact(out.Request)) })
	}
}

func (n *network) sendToAgent(from domain.EntryID, out revision.SendAgent) {
	a := n.agents[out.Agent]
	if a.unreachable {
		return
	}
	defer func() {
		if len(a.stateHistory) == 0 || a.stateHistory[len(a.stateHistory)-1] != a.desired {
			a.stateHistory = append(a.stateHistory, a.desired)
		}
	}()
	switch m := out.Message.GetKind().(type) {
	case *pb.ToAgent_Documents:
		before := a.View.Changed
		if _, err := a.Apply(m.Documents); err != nil {
			n.violations = append(n.violations, err.Error())
		}
		if a.View.Changed > before {
			a.desired = a.View.Endpoint.Desired
		}
	case *pb.ToAgent_Operate:
		stale := domain.Revision(m.Operate.GetRevision()) < a.View.Changed
		if !a.appliedOrders[m.Operate.GetChange()] && !stale {
			a.appliedOrders[m.Operate.GetChange()] = true
			a.lastOrder = m.Operate.GetChange()
			a.desired = domain.DesiredState(m.Operate.GetDesired())
		}
		reply := &pb.OperateReply{Change: m.Operate.GetChange(), Desired: pb.DesiredState(a.desired)}
		message := &pb.ToEntry{Kind: &pb.ToEntry_OperateReply{OperateReply: reply}}
		n.schedule(messageDelay, func() { n.input(from, revision.AgentMessage{Agent: out.Agent, Message: message}) })
	}
}

// reportAgentRevisions sends a request for documents with each agent's revision to
// every entry.
func (n *network) reportAgentRevisions() {
	for _, id := range n.agentIDs() {
		for _, name := range n.entryIDs {
			request := &pb.DocumentsRequest{After: uint64(n.agents[id].Revision)}
			message := &pb.ToEntry{Kind: &pb.ToEntry_DocumentsRequest{DocumentsRequest: request}}
			n.input(name, revision.AgentMessage{Agent: id, Message: message})
		}
	}
}
