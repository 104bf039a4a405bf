package entry

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Core is the decision core of one entry. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	now         domain.Instant
	randomState uint64
	config      domain.Config
	stopping    bool
	calls       callTable
	agents      agentTable
	accounts    accountTable
	claims      claimTable
	waiting     waitingTable
	sweep       claimSweep
	pools       poolTable
	out         []Output

	startTime       domain.Instant // first time that was told
	timeSet         bool
	previous []previousConfig // configurations whose shares may be in use
	sharesEffective domain.Instant   // when the newest shares are in use
	loansIssued     uint64           // told by this incarnation

	nextLivenessCheck domain.Instant
}

// New returns a core without configuration, which refuses all calls.
func New(cfg Config) *Core {
	return &Core{
		cfg:         cfg,
		randomState: cfg.Seed,
		calls:       newCallTable(),
		agents:      newAgentTable(),
		accounts:    newAccountTable(),
		claims:      newClaimTable(),
		pools:       newPoolTable(),
	}
}

// Step takes one input at a time not before that of earlier inputs.
func (c *Core) Step(now domain.Instant, in Input) {
	c.advance(now)
	switch in := in.(type) {
	case NewConfig:
		c.onConfig(in.Config)
	case AgentUp:
		c.onAgentUp(in)
	case AgentDown:
		c.onAgentDown(in.Agent)
	case AgentMessage:
		c.onAgentMessage(in)
	case HostsLeaving:
		c.onHostsLeaving(in.Agents)
	case CallArrived:
		c.onCallArrived(in.Call)
	case CallerGone:
		c.onCallerGone(in.Call)
	case PeerMessage:
		c.onPeerMessage(in)
	case StoreReply:
		c.onStoreReply(in)
	case Shutdown:
		c.stopping = true
	}
}

// Tick runs the systems over the tables, in this order.
func (c *Core) Tick(now domain.Instant) {
	c.advance(now)
	c.checkLiveness()
	due := c.calls.due(c.now)
	for _, cl := range due {
		c.processLimitWait(cl)
	}
	for _, cl := range due {
		c.processClaim(cl)
	}
	c.flushClaims()
	c.processSweep()
	for _, cl := range due {
		c.processReservations(cl)
	}
	for _, cl := range due {
		c.processHandOver(cl)
	}
	for _, cl := range due {
		c.processAcks(cl)
	}
}

// Take returns what is to be done since the last Take, in order.
func (c *Core) Take() []Output {
	out := c.out
	c.out = nil
	return out
}

// OpenCalls returns the number of calls that have not ended.
func (c *Core) OpenCalls() int { return len(c.calls.byID) }

// WaitingCalls returns the number of open calls that are not handed over.
func (c *Core) WaitingCalls() int { return c.waiting.count }

// UnwrittenClaims returns the number of keys whose call is in progress, or whose
// outcome or release is not yet in the table service.
func (c *Core) UnwrittenClaims() int { return c.claims.unsettled() }

// Idle reports whether nothing is in progress or left to write, so that a
// stopping process may end.
func (c *Core) Idle() bool { return len(c.calls.byID) == 0 && c.claims.unsettled() == 0 }

// Revision returns the revision of the configuration in force, zero before the first.
func (c *Core) Revision() domain.Revision {
	if c.config == nil {
		return 0
	}
	return c.config.Revision()
}

// AgentStatus is what an entry knows of an agent.
type AgentStatus struct {
	ID          domain.EndpointID
	Incarnation domain.Incarnation
	Up          bool
	Serving     bool // a candidate for new work
	Draining    bool
	Leaving     bool // on the platform's list of leaving hosts
	Revision    domain.Revision
	FreeSlots   uint32
	Slots       uint32
	Queued      uint32
	// Open is the number of this entry's reservations and hand-overs at the agent.
	Open int
}

// Agents returns the status of all known agents, sorted by name.
func (c *Core) Agents() []AgentStatus {
	statuses := make([]AgentStatus, 0, len(c.agents.ordered))
	for _, a := range c.agents.ordered {
		statuses = append(statuses, AgentStatus{
			ID:          a.id,
			Incarnation: a.incarnation,
			Up:          a.connected,
			Serving:     len(a.pools) > 0,
			Draining:    a.load.GetDraining(),
			Leaving:     a.leaving,
			Revision:    domain.Revision(a.load.GetRevision()),
			FreeSlots:   a.load.GetFreeSlots(),
			Slots:       a.load.GetSlots(),
			Queued:      a.load.GetQueued(),
			Open:        a.outstanding,
		})
	}
	return statuses
}

func (c *Core) advance(now domain.Instant) {
	if !c.timeSet {
		c.timeSet = true
		c.startTime = now
	}
	if now > c.now {
		c.now = now
	}
}

func (c *Core) emit(out Output) { c.out = append(c.out, out) }

// nextRandom returns the next number of the core's own random source.
func (c *Core) nextRandom() uint64 {
	c.randomState++
	return policy.Mix(c.randomState)
}

func (c *Core) onAgentMessage(in AgentMessage) {
	a := c.agents.byID[in.Agent]
	if a == nil || in.Incarnation != 0 && in.Incarnation != a.incarnation {
		return
	}
	a.recordReceived(in.Message, c.now)
	switch m := in.Message.GetKind().(type) {
	case *pb.ToEntry_Heartbeat:
		c.onHeartbeat(a, m.Heartbeat)
	case *pb.ToEntry_Grant:
		c.onGrant(a, m.Grant)
	case *pb.ToEntry_ReserveReply:
		c.onReserveReply(a, m.ReserveReply)
	case *pb.ToEntry_HandOverReply:
		c.onStartState(a, m.HandOverReply.GetCall(), m.HandOverReply.GetAttempt(), m.HandOverReply.GetState())
	case *pb.ToEntry_RevokeReply:
		c.onStartState(a, m.RevokeReply.GetCall(), m.RevokeReply.GetAttempt(), m.RevokeReply.GetState())
	case *pb.ToEntry_Frame:
		c.onFrame(a, m.Frame)
	}
}
