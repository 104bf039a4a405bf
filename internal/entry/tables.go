package entry

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// stage is where a call stands on its way.
type stage uint8

const (
	stageLimitWait  stage = iota + 1 // waits for its account's limits
	stageClaiming                    // its key is being claimed
	stageReserving                   // reserved with agents, no grant yet
	stageHandedOver                  // handed over, one attempt in progress
	stageEnded
)

// reservation is one agent asked for a slot for a call's current attempt.
type reservation struct {
	agent    *agent
	lastSent domain.Instant // last time that Reserve was sent
}

// avoidedAgent notes that an agent refused a call until a time.
type avoidedAgent struct {
	agent *agent
	until domain.Instant
}

// attempt is one hand-over of a call.
type attempt struct {
	number       domain.Attempt
	agent        *agent
	incarnation  domain.Incarnation
	nonce        domain.Nonce
	handedOverAt domain.Instant // first hand-over
	lastSent     domain.Instant // last hand-over or revoke
	lastReceived domain.Instant // last word or frame of this attempt
	started      bool           // the agent said so, or a frame came
	ended        bool           // its last frame came

	nextSeq         uint64               // sequence number of the next frame in order
	buffered        map[uint64]*pb.Frame // frames that wait for an earlier one
	digest          *xxhash.Digest       // of the data delivered
	ackedSeq        uint64
	ackDue          domain.Instant // zero when nothing is to be acknowledged
	deliveredTokens uint32         // delivered by this attempt
}

// call is a caller's request until its end.
type call struct {
	Call
	class       domain.Class
	kind        domain.ServiceKind
	accountHash uint32
	classHash   uint32

	stage     stage
	arrived   domain.Instant
	deadline  domain.Instant // end of the wait for a grant
	nextWake  domain.Instant // next time a system looks at the call
	nextWiden domain.Instant // next time one more agent is asked

	number        domain.Attempt // of the current attempt
	reservations  []reservation
	refusedBy     []*agent // that refused the current attempt
	avoidedAgents []avoidedAgent
	widenInterval time.Duration
	refusals      uint32
	overloaded    bool     // the last refusal was for want of room
	attempt       *attempt // nil until handed over
	unstarted     uint32   // attempts proved not run
	runs          uint32   // attempts that may have run
	preemptions   uint32   // of runs, those that an agent took away for a higher tier

	headSent        bool
	deliveredBytes  uint64 // bytes given to the caller
	deliveredTokens uint32 // deliveredTokens given to the caller
	resumeText      []byte // delivered text that another attempt can go on from
	corrupted       bool   // what was delivered failed its checksum
	endReported     bool   // the caller was told the end; the call goes on for its claim

	waitingBytes int // counted as waiting, 0 when it is not

	limitDeadline domain.Instant // end of the wait for the limits
	limitsCharged bool           // counted against the limits
	tokensCharged float64

	claim          *claim         // nil without a key to claim, or once it is settled
	claimStarted   domain.Instant // when the claim began
	keyInUse       bool           // another call with the key was seen in progress
	nextKeyCheck   domain.Instant // when to look at the key again, 0 for not
	answer         storedAnswer
	answerTooLarge bool
}

// agent is an agent that this entry has been connected to.
type agent struct {
	id                  domain.EndpointID
	incarnation         domain.Incarnation
	connected           bool
	disconnectedAt      domain.Instant // since when it is not up
	lastControl         domain.Instant // on Control
	answersDeadline     domain.Instant // when Answers counts as silent, 0 while nothing is expected on it
	nextHeartbeat       domain.Instant
	leaving             bool
	load                pb.AgentHeartbeat
	loadKnown           bool
	refusing            bool // has refused all reservations since its last heartbeat
	outstanding         int  // own reservations and hand-overs outstanding
	outstandingAtReport int  // of those, when the load was reported
	local               bool
	pools               []*pool // in which it is a candidate
}

// callTable holds the open calls by number.
type callTable struct {
	byID    map[domain.CallID]*call
	ordered []*call // in order of arrival, with ended calls not yet removed
	timers  timerHeap
}

func newCallTable() callTable { return callTable{byID: map[domain.CallID]*call{}} }

func (t *callTable) add(cl *call) {
	t.byID[cl.ID] = cl
	t.ordered = append(t.ordered, cl)
}

// remove takes out an ended call. The order is compacted once half of it has ended.
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

// wakeAt has the systems look at a call at an instant, or earlier if one is set already.
func (t *callTable) wakeAt(cl *call, at domain.Instant) {
	if cl.nextWake != 0 && cl.nextWake <= at {
		return
	}
	cl.nextWake = at
	heap.Push(&t.timers, timer{at: at, call: cl.ID})
}

// due takes the calls whose time has come, in order of time and number.
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

// agentTable holds the known agents by name, and in order of name.
type agentTable struct {
	byID    map[domain.EndpointID]*agent
	ordered []*agent
}

func newAgentTable() agentTable { return agentTable{byID: map[domain.EndpointID]*agent{}} }

// getOrCreate returns the agent of a name, new if it was not known.
func (t *agentTable) getOrCreate(id domain.EndpointID) *agent {
	if a := t.byID[id]; a != nil {
		return a
	}
	a := &agent{id: id}
	t.byID[id] = a
	at := len(t.ordered)
	for at > 0 && t.ordered[at-1].id > id {
		at--
	}
	t.ordered = append(t.ordered, nil)
	copy(t.ordered[at+1:], t.ordered[at:])
	t.ordered[at] = a
	return a
}
