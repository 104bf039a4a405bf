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

// Options are the settings of a core.
type Options struct {
	Self        domain.EntryID
	Incarnation domain.Incarnation
	// Seed spreads the polls of the entries in time.
	Seed uint64
}

const (
	// pollLeast and pollMost bound the time between two reads of the head.
	pollLeast = 2 * time.Second
	pollMost  = 3 * time.Second
	// peerBeat is the time between two heartbeats to a peer.
	peerBeat = time.Second
	// peerSilence is the time without a word after which a connection is given up.
	peerSilence = 3 * time.Second
	// askAgain is the time after which documents are asked for again.
	askAgain = time.Second
	// peersGrace is the time from the start for peers to be heard, when the store is down.
	peersGrace = 3 * time.Second
)

// Core is the decision core. It is not safe for concurrent use.
type Core struct {
	self domain.EntryID
	life domain.Incarnation
	// random spreads the polls. It is seeded by Options, so that the same inputs
	// give the same times.
	random  *rand.Rand
	started bool
	startAt domain.Instant

	set     *declaration.Set
	history history
	ready   bool

	peers  ordered[domain.EntryID, *peer]
	agents ordered[domain.EndpointID, *agent]
	ask    ask

	read  storeRead
	store storeHealth

	jobs        []*job
	operations  []*operation
	lastOrderAt time.Time
	// recordedOrders are the orders recorded last, oldest first.
	recordedOrders []domain.ChangeID
	audits         map[uint64]uint64 // store request to AuditRequest

	lastStoreID uint64
	lastCommit  uint64
	out         []Output
}

// storeHealth is what the core knows of the store.
type storeHealth struct {
	up       bool
	failed   bool // at least once since the start
	headRead bool // at least once since the start
	head     domain.Revision
}

// New returns a core with no configuration yet.
func New(options Options) *Core {
	return &Core{
		self:   options.Self,
		life:   options.Incarnation,
		random: rand.New(rand.NewPCG(options.Seed, uint64(len(options.Self)))),
		set:    declaration.Empty(),
		audits: make(map[uint64]uint64),
	}
}

// Step takes one input.
func (c *Core) Step(now domain.Instant, in Input) {
	c.start(now)
	switch in := in.(type) {
	case PeerUp:
		c.peerUp(now, in)
	case PeerDown:
		c.peerDown(in.Peer)
	case PeerMessage:
		c.peerMessage(now, in)
	case AgentUp:
		c.agentUp(in)
	case AgentDown:
		c.agentDown(in.Agent)
	case AgentMessage:
		c.agentMessage(in)
	case StoreReply:
		c.storeReply(now, in)
	case Apply:
		c.apply(now, in)
	case OperateRequest:
		c.operate(now, in)
	case AuditRequest:
		c.audit(in)
	}
	c.run(now)
}

// Tick runs what is due by time.
func (c *Core) Tick(now domain.Instant) {
	c.start(now)
	c.run(now)
}

// Take returns what is to be done, in order, and forgets it.
func (c *Core) Take() []Output {
	out := c.out
	c.out = nil
	return out
}

// Ready reports whether the newest configuration that the store or, with the
// store down, any reachable peer holds is in force. Once true it stays so.
func (c *Core) Ready() bool { return c.ready }

// Set returns the set in force.
func (c *Core) Set() *declaration.Set { return c.set }

func (c *Core) start(now domain.Instant) {
	if !c.started {
		c.started = true
		c.startAt = now
	}
}

// run is the fixed order of the systems.
func (c *Core) run(now domain.Instant) {
	c.runJobs(now)
	c.runOperations(now)
	c.runRead(now)
	c.runAsk(now)
	c.runHeartbeats(now)
	c.runReady(now)
}

func (c *Core) runReady(now domain.Instant) {
	own := c.set.Revision()
	if c.ready || own == 0 || own < c.newestKnown() {
		return
	}
	waited := now.Sub(c.startAt) >= peersGrace
	c.ready = c.store.headRead || c.store.failed && waited
}

// newestKnown is the newest revision that the store or a connected peer was seen to hold.
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

// askStore sends a request to the store. The reply comes with the returned number.
func (c *Core) askStore(request table.Request) uint64 {
	c.lastStoreID++
	c.emit(StoreRequest{ID: c.lastStoreID, Request: request})
	return c.lastStoreID
}

func (c *Core) storeReply(now domain.Instant, in StoreReply) {
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
		c.readReply(now, in.Reply)
		return
	}
	c.jobReply(now, in)
}

func (c *Core) audit(in AuditRequest) {
	request := table.Request{Scans: []table.Scan{{Table: table.Audit, After: auditKey(in.After), Limit: in.Limit}}}
	c.audits[c.askStore(request)] = in.ID
}

// install puts a newer set in force. A set that is not newer is dropped.
//
// Invariant: the revision in force never goes back.
func (c *Core) install(next *declaration.Set, changed change) bool {
	if next.Revision() <= c.set.Revision() {
		return false
	}
	c.set = next
	c.history.add(changed)
	c.emit(Installed{Set: next})
	c.pushAgents()
	for _, p := range c.peers.all() {
		p.beatAt = p.beatAt.Add(-peerBeat) // the heartbeat with the revision is due
	}
	c.forgetUndeclared()
	return true
}

// forgetUndeclared drops the processes that are neither declared nor connected.
func (c *Core) forgetUndeclared() {
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

// installDelta puts documents on top of the set in force, which must be of revision after.
func (c *Core) installDelta(after, through domain.Revision, docs []*pb.Document) bool {
	if c.set.Revision() != after {
		return false
	}
	next, err := c.set.With(through, docs)
	if err != nil {
		return false
	}
	return c.install(next, change{after: after, through: through, keys: keysOf(docs)})
}

// installWhole puts a whole set in force.
func (c *Core) installWhole(through domain.Revision, docs []*pb.Document) bool {
	if through <= c.set.Revision() {
		return false
	}
	next, err := declaration.Empty().With(through, docs)
	if err != nil {
		return false
	}
	return c.install(next, change{after: 0, through: through})
}
