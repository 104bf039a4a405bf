package entry

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// stage is the internal state of a call. The Step that a failure reports is derived
// from it (see call.step).
type stage uint8

const (
	stageLimitWait  stage = iota + 1 // over its account's limits, waiting for a refill or a loan
	stageClaiming                    // its key is being claimed
	stageReserving                   // waiting for an agent to grant a slot
	stageHandedOver                  // handed over to an agent, one attempt in progress
	stageEnded
)

// reservation is a request for a slot at one agent, for a call's current attempt.
type reservation struct {
	agent    *agent
	lastSent domain.Instant // last transmission of Reserve
}

// excludedAgent excludes an agent from a call's reservations until a time, after
// a refusal or a failure.
type excludedAgent struct {
	agent *agent
	until domain.Instant
}

// attempt is the hand-over of a call to one agent, and the state of its answer.
type attempt struct {
	attemptNumber domain.Attempt
	agent         *agent
	incarnation   domain.Incarnation
	nonce         domain.Nonce
	handedOverAt  domain.Instant // first transmission of HandOver
	lastSent      domain.Instant // last transmission of HandOver, probe or Revoke
	lastReceived  domain.Instant // last start state or frame of this attempt
	started       bool           // reported by the agent, or implied by a frame
	ended         bool           // its End frame was delivered

	nextSeq         uint64               // sequence number of the next frame in order
	buffered        map[uint64]*pb.Frame // frames ahead of nextSeq, by sequence number
	digest          *xxhash.Digest       // checksum of the delivered data
	ackedSeq        uint64
	ackDue          domain.Instant // zero when no acknowledgement is due
	deliveredTokens uint32         // by this attempt
}

// call is the state of an open call.
type call struct {
	Call
	class       domain.Class
	kind        domain.ServiceKind
	accountHash uint32
	classHash   uint32

	stage           stage
	arrived         domain.Instant
	deadline        domain.Instant // for a grant
	nextWake        domain.Instant // earliest pending timer, 0 for none
	nextReservation domain.Instant // when the next agent is asked for a slot

	attemptNumber          domain.Attempt // of the current attempt
	reservations           []reservation
	refusedBy              []*agent // agents that refused the current attempt
	excludedAgents         []excludedAgent
	addReservationInterval time.Duration
	refusals               uint32
	refusedAsFull          bool     // the last refusal was for a full queue, or in favour of a higher tier
	attempt                *attempt // nil until handed over
	unstarted              uint32   // attempts proven not run
	possibleRuns           uint32   // attempts that may have run
	preemptions            uint32   // runs ended by an agent in favour of a higher tier

	headSent        bool
	deliveredBytes  uint64 // given to the caller
	deliveredTokens uint32 // given to the caller by all attempts
	resumeText      []byte // delivered text from which another attempt can resume
	corrupted       bool   // the delivered data failed its checksum
	endReported     bool   // CallerEnd was emitted; the call continues so that its claim gets the answer

	waitingBytes int // size in the waiting table, 0 when not in it

	limitDeadline domain.Instant // of the wait for the limits
	limitsCharged bool           // its limits were charged
	tokensCharged float64

	claim          *claim         // nil without a key to claim, and after settleClaim
	claimStarted   domain.Instant // start of stageClaiming
	keyInUse       bool           // another call with the same key is in progress
	nextKeyCheck   domain.Instant // when the key's claim is checked again, 0 for never
	answer         storedAnswer
	answerTooLarge bool
}

// agent is the state of an agent that this entry has been connected to.
type agent struct {
	id                  domain.EndpointID
	incarnation         domain.Incarnation
	connected           bool
	disconnectedAt      domain.Instant // valid while not connected
	lastControl         domain.Instant // last message on the Control stream
	answersDeadline     domain.Instant // for a message on the Answers stream, 0 while none is expected
	nextHeartbeat       domain.Instant
	avoided             bool // on the list of the last AvoidedAgents
	load                pb.AgentHeartbeat
	loadKnown           bool
	refusing            bool // refused a reservation as draining or not ready since its last heartbeat
	outstanding         int  // this entry's open reservations and hand-overs
	outstandingAtReport int  // value of outstanding at the last load report
	local               bool
	pools               []*pool // pools in which it is a candidate
}

// callTable holds the open calls and their timers.
type callTable struct {
	byID    map[domain.CallID]*call
	ordered []*call // in order of arrival; may contain ended calls
	timers  timerHeap
}

func newCallTable() callTable { return callTable{byID: map[domain.CallID]*call{}} }

func (t *callTable) add(cl *call) {
	t.byID[cl.ID] = cl
	t.ordered = append(t.ordered, cl)
}

// remove deletes an ended call. The ordered list is compacted once its ended calls
// outnumber the open ones by more than 64, so that a short list is rarely compacted.
func (t *callTable) remove(cl *call) {
	delete(t.byID, cl.ID)
	if len(t.ordered) > 2*len(t.byID)+64 {
		t.ordered = t.inArrivalOrder()
	}
}

// inArrivalOrder returns the open calls in order of arrival.
func (t *callTable) inArrivalOrder() []*call {
	open := make([]*call, 0, len(t.byID))
	for _, cl := range t.ordered {
		if cl.stage != stageEnded {
			open = append(open, cl)
		}
	}
	return open
}

// wakeAt makes a call due at an instant. It does nothing if a timer at that time or
// earlier is pending: the process functions, which run at that timer, set the next one.
func (t *callTable) wakeAt(cl *call, at domain.Instant) {
	if cl.nextWake != 0 && cl.nextWake <= at {
		return
	}
	cl.nextWake = at
	heap.Push(&t.timers, timer{at: at, call: cl.ID})
}

// due removes the expired timers and returns their calls, in order of time and call ID.
func (t *callTable) due(now domain.Instant) []*call {
	var due []*call
	for len(t.timers) > 0 && t.timers[0].at <= now {
		tm := heap.Pop(&t.timers).(timer)
		cl := t.byID[tm.call]
		if cl == nil || cl.nextWake != tm.at {
			continue
		}
		cl.nextWake = 0
		due = append(due, cl)
	}
	return due
}

type timer struct {
	at   domain.Instant
	call domain.CallID
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].call < h[j].call
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is for container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// agentTable holds the known agents by ID and in order of ID.
type agentTable struct {
	byID    map[domain.EndpointID]*agent
	ordered []*agent
}

func newAgentTable() agentTable { return agentTable{byID: map[domain.EndpointID]*agent{}} }

// getOrCreate returns the agent with an ID, and adds it if it is not known.
func (t *agentTable) getOrCreate(id domain.EndpointID) *agent {
	if a := t.byID[id]; a != nil {
		return a
	}
	a := &agent{id: id}
	t.byID[id] = a
	pos := len(t.ordered)
	for pos > 0 && t.ordered[pos-1].id > id {
		pos--
	}
	t.ordered = append(t.ordered, nil)
	copy(t.ordered[pos+1:], t.ordered[pos:])
	t.ordered[pos] = a
	return a
}
