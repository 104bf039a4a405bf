package revision

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Options configures a Core.
type Options struct {
	Self        domain.EntryID
	Incarnation domain.Incarnation
	// Seed initializes the random poll intervals. A different seed in each entry
	// keeps the entries from polling the store at the same time.
	Seed uint64
}

const (
	// minPollInterval and maxPollInterval bound the random time between two regular
	// polls of the store's head revision.
	minPollInterval = 2 * time.Second
	maxPollInterval = 3 * time.Second
	// heartbeatInterval is the time between heartbeats to a peer.
	heartbeatInterval = time.Second
	// peerTimeout is the time without a message from a peer after which it is reconnected.
	peerTimeout = 3 * time.Second
	// documentsRetryInterval is the time without progress after which a request
	// for documents is repeated.
	documentsRetryInterval = time.Second
	// initialPeerWait is the time from the start during which a core without
	// access to the store waits for peers that hold a newer revision.
	initialPeerWait = 3 * time.Second
)

// Core decides which configuration is in force in one entry. It is not safe for
// concurrent use.
type Core struct {
	self        domain.EntryID
	incarnation domain.Incarnation
	// rng randomizes the poll intervals. It is seeded from Options, because the
	// same inputs must produce the same outputs.
	rng       *rand.Rand
	started   bool
	startedAt domain.Instant

	set     *declaration.Set
	history history
	ready   bool

	peers            orderedMap[domain.EntryID, *peer]
	agents           orderedMap[domain.EndpointID, *agent]
	documentsRequest documentsRequest

	read  storeRead // the read in progress, or the wait for the next one
	store storeStatus

	jobs        []*job
	orders      []*order
	lastOrderAt time.Time
	// recordedOrders holds the most recently recorded orders, oldest first.
	recordedOrders []domain.ChangeID
	audits         map[uint64]uint64 // AuditRequest ID by StoreRequest ID

	lastStoreID uint64
	lastCommit  uint64
	out         []Output
}

// storeStatus is the state of the store as seen in its replies.
type storeStatus struct {
	up       bool            // last request was answered
	failed   bool            // at least one request failed since the start
	headRead bool            // head was read at least once since the start
	head     domain.Revision // newest revision seen in the store
}

// New returns a core with an empty configuration at revision 0.
func New(options Options) *Core {
	return &Core{
		self:        options.Self,
		incarnation: options.Incarnation,
		// NewPCG takes two words; only Seed has to differ between entries.
		rng:    rand.New(rand.NewPCG(options.Seed, uint64(len(options.Self)))),
		set:    declaration.Empty(),
		audits: make(map[uint64]uint64),
	}
}

// Step processes one input at the given time.
func (c *Core) Step(now domain.Instant, in Input) {
	c.start(now)
	switch in := in.(type) {
	case PeerUp:
		c.handlePeerUp(now, in)
	case PeerDown:
		c.handlePeerDown(in.Peer)
	case PeerMessage:
		c.handlePeerMessage(now, in)
	case AgentUp:
		c.handleAgentUp(in)
	case AgentDown:
		c.handleAgentDown(in.Agent)
	case AgentMessage:
		c.handleAgentMessage(in)
	case StoreReply:
		c.handleStoreReply(now, in)
	case Apply:
		c.handleApply(now, in)
	case OperateRequest:
		c.handleOperate(now, in)
	case AuditRequest:
		c.handleAudit(in)
	}
	c.runAll(now)
}

// Tick runs all timed actions that are due.
func (c *Core) Tick(now domain.Instant) {
	c.start(now)
	c.runAll(now)
}

// Take returns the pending outputs in order and clears them.
func (c *Core) Take() []Output {
	out := c.out
	c.out = nil
	return out
}

// Ready reports whether the newest revision known from the store and the connected
// peers has been in force. It requires that the store's head was read, or that the
// store failed and the initial wait for peers has passed. At revision 0, an empty
// configuration, it is false. Once true, it stays true.
func (c *Core) Ready() bool { return c.ready }

// Set returns the declaration set in force.
func (c *Core) Set() *declaration.Set { return c.set }

// start records the time of the first input or tick.
func (c *Core) start(now domain.Instant) {
	if !c.started {
		c.started = true
		c.startedAt = now
	}
}

// runAll runs all timed actions, in a fixed order.
func (c *Core) runAll(now domain.Instant) {
	c.runJobs(now)
	c.runOrders(now)
	c.pollHead(now)
	c.requestDocuments(now)
	c.sendHeartbeats(now)
	c.updateReady(now)
}

// updateReady sets ready once the newest known revision is in force and either the
// head was read or the store failed and initialPeerWait has passed.
func (c *Core) updateReady(now domain.Instant) {
	own := c.set.Revision()
	if c.ready || own == 0 || own < c.newestKnown() {
		return
	}
	waited := now.Sub(c.startedAt) >= initialPeerWait
	c.ready = c.store.headRead || c.store.failed && waited
}

// newestKnown returns the newest revision known to be held by the store, a
// connected peer or this process.
func (c *Core) newestKnown() domain.Revision {
	newest := max(c.store.head, c.set.Revision())
	for _, p := range c.peers.all() {
		if p.up {
			newest = max(newest, p.revision)
		}
	}
	return newest
}

func (c *Core) emit(out Output) { c.out = append(c.out, out) }

func (c *Core) sendPeer(to domain.EntryID, message *pb.ToPeer) {
	c.emit(SendPeer{Peer: to, Message: message})
}

// requestStore sends a request to the store and returns the ID of its reply.
func (c *Core) requestStore(request table.Request) uint64 {
	c.lastStoreID++
	c.emit(StoreRequest{ID: c.lastStoreID, Request: request})
	return c.lastStoreID
}

// handleStoreReply updates the status of the store and passes the reply to the
// audit request, read or job that it belongs to.
func (c *Core) handleStoreReply(now domain.Instant, in StoreReply) {
	switch in.Reply.Status {
	case table.StatusOK, table.StatusConflict:
		c.store.up = true
	default:
		c.store.up = false
		c.store.failed = true
	}
	if request, ok := c.audits[in.ID]; ok {
		delete(c.audits, in.ID)
		c.emit(AuditResult{ID: request, Status: in.Reply.Status, Rows: decodeAuditRows(in.Reply.Rows)})
		return
	}
	if in.ID == c.read.request {
		c.handleReadReply(now, in.Reply)
		return
	}
	c.handleJobReply(now, in)
}

func (c *Core) handleAudit(in AuditRequest) {
	request := table.Request{Scans: []table.Scan{{Table: table.Audit, After: auditKey(in.After), Limit: in.Limit}}}
	c.audits[c.requestStore(request)] = in.ID
}

// install puts a newer set in force and reports whether it did. A set that is
// not newer is ignored.
//
// Invariant: the revision in force never decreases.
func (c *Core) install(next *declaration.Set, changes delta) bool {
	if next.Revision() <= c.set.Revision() {
		return false
	}
	c.set = next
	c.history.add(changes)
	c.emit(Installed{Set: next})
	c.pushToAgents()
	for _, p := range c.peers.all() {
		p.heartbeatAt = p.heartbeatAt.Add(-heartbeatInterval) // a heartbeat with the new revision is due now
	}
	c.removeUndeclared()
	return true
}

// removeUndeclared removes the peers and agents that are neither declared nor connected.
func (c *Core) removeUndeclared() {
	for _, p := range slices.Clone(c.peers.all()) {
		if _, declared := c.set.Peer(p.id); !declared && !p.up {
			c.peers.remove(p.id)
		}
	}
	for _, a := range slices.Clone(c.agents.all()) {
		if _, declared := c.set.Endpoint(a.id); !declared && !a.up {
			c.agents.remove(a.id)
		}
	}
}

// installDelta applies changed documents to the set in force and reports whether
// it did. It does nothing if the set in force is not at revision after, or if the
// result is invalid. An invalid result is not reported. Its documents are
// requested again: from the store at the next poll, from a peer immediately.
func (c *Core) installDelta(after, through domain.Revision, docs []*pb.Document) bool {
	if c.set.Revision() != after {
		return false
	}
	next, err := c.set.With(through, docs)
	if err != nil {
		return false
	}
	return c.install(next, delta{after: after, through: through, keys: documentKeys(docs)})
}

// installSnapshot replaces the set in force by a complete set and reports whether
// it did. It does nothing if the set is not newer, or if it is invalid. As with
// installDelta, an invalid set is not reported and its documents are requested again.
func (c *Core) installSnapshot(through domain.Revision, docs []*pb.Document) bool {
	if through <= c.set.Revision() {
		return false
	}
	next, err := declaration.Empty().With(through, docs)
	if err != nil {
		return false
	}
	return c.install(next, delta{after: 0, through: through})
}
