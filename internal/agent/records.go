package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// attemptKey identifies one attempt of a call.
type attemptKey struct {
	peer    Peer
	call    domain.CallID
	attempt domain.Attempt
}

// entryRecord is the state of the newest known incarnation of an entry.
type entryRecord struct {
	peer          Peer
	connected     bool
	gone          bool // no message for the grace period
	lastMessageAt domain.Instant
	nextHeartbeat domain.Instant // when to send the next heartbeat
	revision      domain.Revision
}

// flowKey identifies a client account within a tier.
type flowKey struct {
	tier    domain.Tier
	account uint32 // hash of the account ID
}

// reservation is an entry's request for a slot for an attempt. It holds no slot; a grant
// does.
type reservation struct {
	policy.QueuedRequest
	key         attemptKey
	account     uint32 // hash of the account ID
	lateOK      bool   // the answer is wanted even after the deadline
	refreshedAt domain.Instant
}

// refusedReservation is the last reservation of a class that a full queue refused.
type refusedReservation struct {
	reservation *reservation
	refusedAt   domain.Instant
}

// heldSlot is an acquired slot. It belongs to a grant and, after the hand-over, to a run.
type heldSlot struct {
	tier           domain.Tier
	flow           *policy.Flow
	charged        time.Duration // expected slot time that was charged to the flow
	grantedByGuard bool          // by the starvation guard
	grantedAt      domain.Instant
}

// grantRecord is an outstanding grant. It holds a slot for one attempt until it expires.
type grantRecord struct {
	heldSlot
	key       attemptKey
	nonce     domain.Nonce
	expiresAt domain.Instant
}

// runState is the state of a run.
type runState uint8

const (
	// runActive means that the run holds a slot.
	runActive runState = iota + 1
	// runEnded means that the End frame has been appended and frames are unacknowledged.
	runEnded
)

// cancelState is whether a run was cancelled and why. CancelCause is its exported form.
type cancelState uint8

const (
	cancelNone cancelState = iota
	cancelByEntry
	cancelByPreemption
	cancelByMemory
)

// unackedFrame is an answer frame that the entry has not acknowledged.
type unackedFrame struct {
	frame  *pb.Frame
	bytes  int
	sentAt domain.Instant
}

// runRecord is the state of an attempt that was started at the endpoint.
type runRecord struct {
	heldSlot
	id           RunID
	key          attemptKey
	nonce        domain.Nonce
	state        runState
	idempotent   bool
	preemptible  bool
	cancel       cancelState
	startedAt    domain.Instant
	dataReceived bool           // at least one EngineData
	lastDataAt   domain.Instant // time of the last EngineData
	endedAt      domain.Instant
	lastSeq      uint64 // sequence number of the last frame
	ackedSeq     uint64
	resync       bool // at the next Ack, resend all frames that it does not cover
	done         bool // the entry needs no more frames
	unacked      []unackedFrame
	unackedBytes int
	checksum     *xxhash.Digest
}

// archivedRun replaces the runRecord of a run that has ended and has no unacknowledged
// frames. It records that the attempt was started.
type archivedRun struct {
	nonce      domain.Nonce
	archivedAt domain.Instant
}

// tombstone prevents an attempt from ever being started.
type tombstone struct {
	addedAt domain.Instant
}

// records holds the records of the core and the indexes on them.
type records struct {
	entries      *orderedMap[domain.EntryID, entryRecord]
	reservations *orderedMap[attemptKey, reservation]
	byArrival    map[uint64]*reservation                 // by arrival sequence number
	refused      *orderedMap[uint32, refusedReservation] // by hash of the class
	flows        *orderedMap[flowKey, policy.Flow]
	grants       *orderedMap[attemptKey, grantRecord]
	runs         *orderedMap[attemptKey, runRecord]
	keyByRun     map[RunID]attemptKey
	archived     *orderedMap[attemptKey, archivedRun]
	tombstones   *orderedMap[attemptKey, tombstone]
	changes      *orderedMap[domain.ChangeID, changeRecord]
	orders       *orderedMap[orderKey, orderRecord]
}

func newRecords() records {
	return records{
		entries:      newOrderedMap[domain.EntryID, entryRecord](),
		reservations: newOrderedMap[attemptKey, reservation](),
		byArrival:    make(map[uint64]*reservation),
		refused:      newOrderedMap[uint32, refusedReservation](),
		flows:        newOrderedMap[flowKey, policy.Flow](),
		grants:       newOrderedMap[attemptKey, grantRecord](),
		archived:     newOrderedMap[attemptKey, archivedRun](),
		runs:         newOrderedMap[attemptKey, runRecord](),
		keyByRun:     make(map[RunID]attemptKey),
		tombstones:   newOrderedMap[attemptKey, tombstone](),
		changes:      newOrderedMap[domain.ChangeID, changeRecord](),
		orders:       newOrderedMap[orderKey, orderRecord](),
	}
}
