package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Core is the state machine of an agent. It is not safe for concurrent use.
type Core struct {
	cfg Config
	records
	out []Output

	now            domain.Instant // of the last Step or Tick
	lastTick       domain.Instant
	lastArrivalSeq uint64       // of the last queued reservation
	lastNonce      domain.Nonce // of the last grant
	lastRun        RunID
	// maxForgottenNonce is the highest nonce among runs whose records were dropped. A
	// nonce up to it may have been used.
	maxForgottenNonce domain.Nonce
	heldSlots         int // slots held by grants and active runs
	guardHeldSlots    int // held slots that the starvation guard granted
	unackedBytes      int // memory of unacknowledged frames

	queue     queueState
	load      loadState
	desired   desiredState
	documents documentsState
	store     storeState
	lease     leaseState
	weights   weightPermit
	order     orderState
}

// New returns the core of an agent that has just started.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		records: newRecords(),
		queue:   newQueueState(cfg),
		load:    newLoadState(cfg),
	}
}

// Step processes one input. It emits direct replies to the input; all other decisions
// are made by the next Tick, which the caller runs after each batch of inputs.
func (c *Core) Step(now domain.Instant, in Input) {
	c.now = now
	switch in := in.(type) {
	case EntryUp:
		c.handleEntryUp(now, in.Peer)
	case EntryDown:
		c.handleEntryDown(in.Peer)
	case EntryMessage:
		c.handleEntryMessage(now, in.Peer, in.Message)
	case EngineHead:
		c.handleEngineHead(now, in)
	case EngineData:
		c.handleEngineData(now, in)
	case EngineEnd:
		c.handleEngineEnd(now, in)
	case EngineReport:
		c.load.limit.RecordReportedQueue(in.Queued)
	case EndpointConfig:
		c.handleEndpointConfig(in)
	case OrderEnd:
		c.handleOrderEnd(now, in)
	case StoreReply:
		c.handleStoreReply(now, in)
	case Shutdown:
		c.desired.shutdown = true
	}
}

// Tick runs the phases below in this order. Each uses the results of the previous ones:
//
//   - liveness drops the reservations and grants of entries that are gone and cancels
//     their idempotent runs;
//   - drain refuses queued reservations if the agent is draining;
//   - queue drops reservations that are no longer repeated, and refuses those whose
//     deadline has passed if a late answer is not wanted;
//   - slots frees the slots of expired grants and adapts the limit;
//   - grant grants free slots to queued reservations;
//   - preempt cancels a run if a request of a higher tier would miss its target;
//   - answer resends unacknowledged frames and limits their memory;
//   - run drops old records;
//   - order sends the declared orders to the endpoint;
//   - heartbeat reports the resulting state to the entries;
//   - exit emits Exit if the agent is stopping and no work is in progress.
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

// Take returns the outputs since the previous Take, in order, and clears them.
func (c *Core) Take() []Output {
	out := c.out
	c.out = nil
	return out
}

// emit adds an output.
func (c *Core) emit(out Output) { c.out = append(c.out, out) }

// send emits a message to an entry.
func (c *Core) send(peer Peer, message *pb.ToEntry) {
	c.emit(SendEntry{Peer: peer, Message: message})
}

// handleEntryMessage dispatches a message of an entry. It ignores a message of an older
// incarnation of the entry, which no longer waits for a reply. Documents are not handled
// here: the caller decodes them and passes them as EndpointConfig.
func (c *Core) handleEntryMessage(now domain.Instant, peer Peer, message *pb.ToAgent) {
	if !c.recordMessage(now, peer) {
		return
	}
	switch m := message.GetKind().(type) {
	case *pb.ToAgent_Hello:
		c.handlePeerRevision(now, peer, domain.Revision(m.Hello.GetRevision()))
	case *pb.ToAgent_Heartbeat:
		c.handlePeerRevision(now, peer, domain.Revision(m.Heartbeat.GetRevision()))
	case *pb.ToAgent_Reserve:
		c.handleReserve(now, peer, m.Reserve)
	case *pb.ToAgent_Withdraw:
		c.withdraw(attemptKeyOf(peer, m.Withdraw))
	case *pb.ToAgent_Revoke:
		c.handleRevoke(now, peer, m.Revoke)
	case *pb.ToAgent_HandOver:
		c.handleHandOver(now, peer, m.HandOver)
	case *pb.ToAgent_Ack:
		c.handleAck(now, peer, m.Ack)
	case *pb.ToAgent_Cancel:
		c.handleCancel(now, attemptKeyOf(peer, m.Cancel))
	case *pb.ToAgent_Operate:
		c.handleOperate(now, peer, m.Operate)
	}
}

// attemptMessage is a message that identifies an attempt of a call.
type attemptMessage interface {
	GetCall() uint64
	GetAttempt() uint32
}

// attemptKeyOf returns the key of the attempt that a message of a peer names.
func attemptKeyOf(peer Peer, m attemptMessage) attemptKey {
	return attemptKey{
		peer:    peer,
		call:    domain.CallID(m.GetCall()),
		attempt: domain.Attempt(m.GetAttempt()),
	}
}
