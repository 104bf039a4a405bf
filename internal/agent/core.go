package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Core is the agent's decision core. It is not safe for concurrent use.
type Core struct {
	cfg Config
	tables
	out []Output

	now       domain.Instant // of the newest Step or Tick
	lastTick  domain.Instant
	lastOrder uint64       // of reservations
	lastNonce domain.Nonce // of the newest grant
	lastRun   RunID
	// forgotten is the highest nonce of a run whose record was dropped.
	forgotten domain.Nonce
	held      int // slots held by grants and active runs
	guardHeld int // those of them given by the starvation guard
	keptBytes int // of frames that are not acknowledged

	queue     queueState
	load      loadState
	desired   desiredState
	documents documentsState
	store     storeState
	lease     leaseState
	weights   weightsState
	order     orderState
}

// New returns the core of an agent that has just started.
func New(cfg Config) *Core {
	return &Core{
		cfg:    cfg,
		tables: newTables(),
		queue:  newQueueState(cfg),
		load:   newLoadState(cfg),
	}
}

// Step takes one input. Decisions that do not answer the input itself wait for
// the next Tick, which the shell calls after each batch of inputs.
func (c *Core) Step(now domain.Instant, in Input) {
	c.now = now
	switch in := in.(type) {
	case EntryUp:
		c.entryUp(now, in.Peer)
	case EntryDown:
		c.entryDown(in.Peer)
	case EntryMessage:
		c.entryMessage(now, in.Peer, in.Message)
	case EngineHead:
		c.engineHead(now, in)
	case EngineData:
		c.engineData(now, in)
	case EngineEnd:
		c.engineEnd(now, in)
	case EngineReport:
		c.load.limit.RecordReportedQueue(in.Queued)
	case EndpointConfig:
		c.endpointConfig(in)
	case OrderEnd:
		c.orderEnd(now, in)
	case StoreReply:
		c.storeReply(now, in)
	case Shutdown:
		c.desired.shutdown = true
	}
}

// Tick runs the systems in their fixed order. Each sees what those before it left:
//
//   - liveness drops the work of entries that are gone;
//   - drain refuses what is queued when no new work is taken;
//   - queue forgets and refuses reservations that have passed their time;
//   - slots frees those of expired grants and adapts the limit;
//   - grant offers free slots to the reservations that are next;
//   - preempt cancels a run where a higher tier would miss its target;
//   - answer sends unacknowledged frames again and bounds their memory;
//   - run drops old records;
//   - order sends what the declaration asks of the endpoint;
//   - heartbeat tells the entries the result;
//   - exit ends the process once nothing is in progress.
func (c *Core) Tick(now domain.Instant) {
	c.now = now
	c.tickLiveness(now)
	c.tickDrain()
	c.tickQueue(now)
	c.tickSlots(now)
	c.tickGrant(now)
	c.tickPreempt(now)
	c.tickAnswer(now)
	c.tickRun(now)
	c.tickOrder(now)
	c.tickHeartbeat(now)
	c.tickExit()
	c.lastTick = now
}

// Take returns the outputs since the last Take, in order.
func (c *Core) Take() []Output {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(out Output) { c.out = append(c.out, out) }

func (c *Core) send(peer Peer, message *pb.ToEntry) {
	c.emit(SendEntry{Peer: peer, Message: message})
}

// entryMessage passes a message to the system that handles it. A message of an
// older incarnation of the entry is ignored: nobody waits for its answer.
func (c *Core) entryMessage(now domain.Instant, peer Peer, message *pb.ToAgent) {
	if !c.heard(now, peer) {
		return
	}
	switch m := message.GetKind().(type) {
	case *pb.ToAgent_Hello:
		c.peerRevision(now, peer, domain.Revision(m.Hello.GetRevision()))
	case *pb.ToAgent_Heartbeat:
		c.peerRevision(now, peer, domain.Revision(m.Heartbeat.GetRevision()))
	case *pb.ToAgent_Reserve:
		c.reserve(now, peer, m.Reserve)
	case *pb.ToAgent_Withdraw:
		c.withdraw(keyOf(peer, m.Withdraw))
	case *pb.ToAgent_Revoke:
		c.revoke(now, peer, m.Revoke)
	case *pb.ToAgent_HandOver:
		c.handOver(now, peer, m.HandOver)
	case *pb.ToAgent_Ack:
		c.ack(now, peer, m.Ack)
	case *pb.ToAgent_Cancel:
		c.cancel(now, keyOf(peer, m.Cancel))
	case *pb.ToAgent_Operate:
		c.operate(now, peer, m.Operate)
	}
}

// attemptMessage is a message that names an attempt.
type attemptMessage interface {
	GetCall() uint64
	GetAttempt() uint32
}

func keyOf(peer Peer, m attemptMessage) attemptKey {
	return attemptKey{
		peer:    peer,
		call:    domain.CallID(m.GetCall()),
		attempt: domain.Attempt(m.GetAttempt()),
	}
}
