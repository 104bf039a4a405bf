package agent

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Config holds the settings of an agent's core.
type Config struct {
	EndpointID  domain.EndpointID
	Incarnation domain.Incarnation
	// Slots is the initial limit of concurrent attempts. The adaptive limit stays
	// between MinSlots and MaxSlots.
	Slots    int
	MinSlots int
	MaxSlots int
	// MaxQueued and MaxQueueBytes bound the number of queued reservations and the
	// memory that they use.
	MaxQueued     int
	MaxQueueBytes int
	// GuardMinGap is the minimum number of grants in priority order between two
	// grants of the starvation guard.
	GuardMinGap uint32
	// RefusedTTL is how long a reservation that was refused by a full queue remains
	// eligible for a grant of the starvation guard.
	RefusedTTL time.Duration
	// HeadroomTTL is how long lower tiers leave some slots free (the headroom) for a
	// tier after its last reservation.
	HeadroomTTL time.Duration
	// AssumedServiceTime is used as the mean service time before the first sample.
	AssumedServiceTime time.Duration
	// MinBackoff and MaxBackoff bound the backoff after the endpoint was unreachable,
	// during which no slots are granted.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// GrantTTL is how long a grant is valid for a hand-over, on the agent's clock.
	GrantTTL time.Duration
	// ReservationTTL is how long a queued reservation is kept if it is not repeated.
	ReservationTTL time.Duration
	// HeartbeatInterval is the time between two heartbeats to an entry.
	HeartbeatInterval time.Duration
	// EntryGracePeriod is the time without messages after which an entry counts as
	// gone: its reservations and grants are dropped and its idempotent runs cancelled.
	EntryGracePeriod time.Duration
	// PauseThreshold is the minimum time between two ticks that counts as a pause of the
	// agent process.
	PauseThreshold time.Duration
	// ResendTimeout is the time after which an unacknowledged frame is sent again.
	ResendTimeout time.Duration
	// ResendBatch is the maximum number of frames of one run that are resent per tick.
	ResendBatch int
	// LeaseTTL is the duration of a lease on the endpoint.
	LeaseTTL time.Duration
	// LeaseMargin is the safety margin before the end of the agent's own lease and
	// after the end of another holder's lease. It covers clock drift and orders in
	// transit.
	LeaseMargin time.Duration
	// WeightLoadInterval is the minimum time between two loads from the weight store
	// by all agents together.
	WeightLoadInterval time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay before a failed request to the
	// table service or a failed order is retried.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// MaxUnackedBytes bounds the memory of unacknowledged answer frames.
	MaxUnackedBytes int
	// Retention is how long the records of ended runs, tombstones, operator changes
	// and gone entries are kept.
	Retention time.Duration
	// DocumentsInterval is the minimum time between two requests for documents.
	DocumentsInterval time.Duration
}

// DefaultConfig returns the production defaults. EndpointID and Incarnation are not set.
func DefaultConfig() Config {
	return Config{
		Slots:              8,
		MinSlots:           1,
		MaxSlots:           64,
		MaxQueued:          1024,
		MaxQueueBytes:      512 * 1024,
		GuardMinGap:        16,
		RefusedTTL:         2 * time.Second,
		HeadroomTTL:        time.Minute,
		AssumedServiceTime: time.Second,
		MinBackoff:         250 * time.Millisecond,
		MaxBackoff:         5 * time.Second,
		GrantTTL:           250 * time.Millisecond,
		ReservationTTL:     6 * time.Second,
		HeartbeatInterval:  time.Second,
		EntryGracePeriod:   15 * time.Second,
		PauseThreshold:     500 * time.Millisecond,
		ResendTimeout:      time.Second,
		ResendBatch:        64,
		LeaseTTL:           10 * time.Second,
		LeaseMargin:        2 * time.Second,
		WeightLoadInterval: 5 * time.Second,
		MinRetryDelay:      500 * time.Millisecond,
		MaxRetryDelay:      30 * time.Second,
		MaxUnackedBytes:    64 * 1024 * 1024,
		Retention:          10 * time.Minute,
		DocumentsInterval:  time.Second,
	}
}
