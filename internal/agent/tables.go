package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// attemptKey names one attempt of a call everywhere.
type attemptKey struct {
	peer    Peer
	call    domain.CallID
	attempt domain.Attempt
}

// entryRow is what the agent knows of an entry's newest incarnation.
type entryRow struct {
	peer      Peer
	up        bool
	gone      bool // lost for longer than the grace period
	heardAt   domain.Instant
	heartbeat domain.Instant // when the next heartbeat is due
	revision  domain.Revision
}

// flowKey names a client account within a tier.
type flowKey struct {
	tier    domain.Tier
	account uint32 // hash
}

// reservation waits for a slot.
type reservation struct {
	policy.QueuedRequest
	key     attemptKey
	account uint32 // hash
	lateOK  bool
	heardAt domain.Instant
}

// refusedRow is the newest reservation of a class that the full queue refused.
type refusedRow struct {
	reservation *reservation
	refusedAt   domain.Instant
}

// slotHold is what a grant, and then its run, holds.
type slotHold struct {
	tier      domain.Tier
	flow      *policy.Flow
	charge    time.Duration // slot time charged to the flow so far
	guarded   bool          // given by the starvation guard
	grantedAt domain.Instant
}

// grantRow holds a slot for one attempt until it expires.
type grantRow struct {
	slotHold
	key     attemptKey
	nonce   domain.Nonce
	expires domain.Instant
}

// runState is the stage of a run.
type runState uint8

const (
	// runActive holds a slot.
	runActive runState = iota + 1
	// runEnded has its End frame and waits for acknowledgement.
	runEnded
)

// cancelCause says why a run was cancelled.
type cancelCause uint8

const (
	cancelNone cancelCause = iota
	cancelByEntry
	cancelByPreemption
	cancelByMemory
)

// keptFrame is a frame that the entry has not acknowledged.
type keptFrame struct {
	frame  *pb.Frame
	bytes  int
	sentAt domain.Instant
}

// runRow is an attempt that was started at the endpoint.
type runRow struct {
	slotHold
	id          RunID
	key         attemptKey
	nonce       domain.Nonce
	state       runState
	idempotent  bool
	preemptible bool
	cancel      cancelCause
	startedAt   domain.Instant
	answering   bool           // data has come
	tokenAt     domain.Instant // of the newest data
	endedAt     domain.Instant
	seq         uint64 // of the newest frame
	acked       uint64
	resync      bool // the next Ack follows a reconnect
	done        bool // the entry wants nothing more
	frames      []keptFrame
	keptBytes   int
	sum         *xxhash.Digest
}

// settledRow remembers that an attempt was started, once nothing else of it is needed.
type settledRow struct {
	nonce     domain.Nonce
	settledAt domain.Instant
}

// tombstone keeps an attempt from ever starting.
type tombstone struct {
	addedAt domain.Instant
}

// tables holds the core's entities.
type tables struct {
	entries      *ordered[domain.EntryID, entryRow]
	reservations *ordered[attemptKey, reservation]
	byOrder      map[uint64]*reservation      // by order of arrival
	refused      *ordered[uint32, refusedRow] // by class
	flows        *ordered[flowKey, policy.Flow]
	grants       *ordered[attemptKey, grantRow]
	runs         *ordered[attemptKey, runRow]
	runKeys      map[RunID]attemptKey
	settled      *ordered[attemptKey, settledRow]
	tombstones   *ordered[attemptKey, tombstone]
	changes      *ordered[domain.ChangeID, changeRow]
	orders       *ordered[orderKey, orderRow]
}

func newTables() tables {
	return tables{
		entries:      newOrdered[domain.EntryID, entryRow](),
		reservations: newOrdered[attemptKey, reservation](),
		byOrder:      make(map[uint64]*reservation),
		refused:      newOrdered[uint32, refusedRow](),
		flows:        newOrdered[flowKey, policy.Flow](),
		grants:       newOrdered[attemptKey, grantRow](),
		settled:      newOrdered[attemptKey, settledRow](),
		runs:         newOrdered[attemptKey, runRow](),
		runKeys:      make(map[RunID]attemptKey),
		tombstones:   newOrdered[attemptKey, tombstone](),
		changes:      newOrdered[domain.ChangeID, changeRow](),
		orders:       newOrdered[orderKey, orderRow](),
	}
}
