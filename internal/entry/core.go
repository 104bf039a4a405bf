package entry

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Core is the decision core of one entry. It holds the open calls, the
// connected agents, the limits of the client accounts and the claims of
// idempotency keys. It is not safe for concurrent use.
type Core struct {
	settings    Config
	now         domain.Instant
	randomState uint64
	config      domain.Config // in force, nil before the first NewConfig
	stopping    bool
	calls       callTable
	agents      agentTable
	accounts    accountTable
	claims      claimTable
	waiting     waitingTable
	sweep       claimSweep
	pools       poolTable
	out         []Output

	startTime       domain.Instant // time of the first input or tick
	timeSet         bool
	previous        []previousConfig // replaced configurations whose shares other entries may still use
	sharesEffective domain.Instant   // when all entries use the shares of the configuration in force
	loansIssued     uint64           // by this incarnation, for loan IDs

	nextLivenessCheck domain.Instant
}

// New returns a core without a configuration. It refuses all calls until the
// first NewConfig.
func New(settings Config) *Core {
	return &Core{
		settings:    settings,
		randomState: settings.Seed,
		calls:       newCallTable(),
		agents:      newAgentTable(),
		accounts:    newAccountTable(),
		claims:      newClaimTable(),
		pools:       newPoolTable(),
	}
}

// Step processes one input. A time before that of an earlier Step or Tick
// counts as the latest time seen.
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
	case AvoidedAgents:
		c.onAvoidedAgents(in.Agents)
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

// Tick sends due heartbeats, replaces connections to agents that have not responded,
// and processes the calls whose timers have expired, one step after the other for all
// of them: limits, claims, reservations, hand-overs, acknowledgements. After the
// claims step it sends the queued claims and the next read of the claim sweep.
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

// Take returns the outputs since the last Take, in order, and clears them.
func (c *Core) Take() []Output {
	out := c.out
	c.out = nil
	return out
}

// OpenCalls returns the number of calls that have not ended.
func (c *Core) OpenCalls() int { return len(c.calls.byID) }

// WaitingCalls returns the number of open calls that are not handed over to an agent.
func (c *Core) WaitingCalls() int { return c.waiting.count }

// OpenClaims returns the number of claimed keys whose call is in progress or whose
// outcome or release has not been written to the table service.
func (c *Core) OpenClaims() int { return c.claims.openCount() }

// Idle reports whether no call and no claim is open (see OpenClaims). A
// stopping process can then exit.
func (c *Core) Idle() bool { return len(c.calls.byID) == 0 && c.claims.openCount() == 0 }

// Revision returns the revision of the configuration in force, zero if there is none.
func (c *Core) Revision() domain.Revision {
	if c.config == nil {
		return 0
	}
	return c.config.Revision()
}

// AgentStatus is an entry's view of an agent. Revision, FreeSlots, Slots and
// Queued are from the agent's last heartbeat, zero before the first.
type AgentStatus struct {
	ID          domain.EndpointID
	Incarnation domain.Incarnation
	Up          bool
	Serving     bool // candidate for new calls
	Draining    bool
	Avoided     bool // on the list of the last AvoidedAgents
	Revision    domain.Revision
	FreeSlots   uint32
	Slots       uint32
	Queued      uint32
	// Outstanding is the number of this entry's reservations and hand-overs at the agent.
	Outstanding int
}

// Agents returns the status of all known agents, sorted by ID.
func (c *Core) Agents() []AgentStatus {
	statuses := make([]AgentStatus, 0, len(c.agents.ordered))
	for _, a := range c.agents.ordered {
		statuses = append(statuses, AgentStatus{
			ID:          a.id,
			Incarnation: a.incarnation,
			Up:          a.connected,
			Serving:     len(a.pools) > 0,
			Draining:    a.load.GetDraining(),
			Avoided:     a.avoided,
			Revision:    domain.Revision(a.load.GetRevision()),
			FreeSlots:   a.load.GetFreeSlots(),
			Slots:       a.load.GetSlots(),
			Queued:      a.load.GetQueued(),
			Outstanding: a.outstanding,
		})
	}
	return statuses
}

// advance sets the current time, which never goes back.
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

// nextRandom returns the next number of a generator seeded by Config.Seed.
func (c *Core) nextRandom() uint64 {
	c.randomState++
	return policy.Mix64(c.randomState)
}

// onAgentMessage dispatches a message of an agent. A message of any other
// incarnation than that of the last AgentUp is ignored.
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
