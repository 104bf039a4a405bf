package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Config is the settings of a core. DefaultConfig fills in all but the identity.
type Config struct {
	EntryID     domain.EntryID
	Incarnation domain.Incarnation
	DataCentre  domain.DataCentre
	// Seed feeds the core's own random source.
	Seed uint64

	// HeartbeatInterval is the time between heartbeats to an agent.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a message after which an agent gets a new connection.
	SilenceTimeout time.Duration
	// DisconnectTimeout is the time without a connection after which idempotent work is tried elsewhere.
	DisconnectTimeout time.Duration
	// StartTimeout is the time without a word on a hand-over, with the connection
	// standing, after which idempotent work is tried elsewhere.
	StartTimeout time.Duration
	// ResponseTimeout is the time without the agent's word after which a non-idempotent call ends unknown.
	ResponseTimeout time.Duration

	// ReserveInterval is the time after which a waiting reservation is sent again.
	ReserveInterval time.Duration
	// WidenInterval is the time after which a waiting call of tier 0 asks one
	// more agent. A call of tier t waits t+1 times as long.
	WidenInterval time.Duration
	// MaxReservations bounds the agents that are asked at once for one call.
	MaxReservations int
	// AvoidTime is how long a call does not ask an agent again that refused it.
	AvoidTime time.Duration
	// MaxAvoidTime bounds the doubling of AvoidTime for a call that was refused again.
	MaxAvoidTime time.Duration
	// MaxWaitingCalls and MaxWaitingBytes bound the calls that are not handed over.
	MaxWaitingCalls int
	MaxWaitingBytes int
	// DefaultMaxWait applies to classes without one.
	DefaultMaxWait time.Duration

	// LimitWait bounds the time for which a call waits for its account's limits:
	// for a share of another entry, or for this entry's own to refill.
	LimitWait time.Duration

	// ClaimWindow is the time in which claims are collected into one transaction.
	ClaimWindow time.Duration
	// ClaimTimeout bounds the time for which a call waits for its claim.
	ClaimTimeout time.Duration
	// KeyPollInterval is the time between two looks at the claim of a call in
	// progress, for a repeat that waits for its answer.
	KeyPollInterval time.Duration
	// MaxStoredAnswer bounds an answer that is kept for repeats, in bytes.
	MaxStoredAnswer int
	// MaxUnwrittenAnswers bounds the answers that wait for the table service, in bytes.
	MaxUnwrittenAnswers int

	// HandOverInterval is the time after which an unanswered hand-over is sent again.
	HandOverInterval time.Duration
	// GrantLifetime is the time after a hand-over in which the agent may still start it
	// from a repeat; later on the agent is asked for its word.
	GrantLifetime time.Duration
	// ProbeInterval is the time without a frame after which an agent is asked about a running attempt.
	ProbeInterval time.Duration
	// MaxUnstarted bounds the attempts of one call that were proved not run.
	MaxUnstarted uint32

	// MaxPreemptions bounds how often one call is preempted. Zero allows none.
	MaxPreemptions uint32

	// AckInterval and AckFrames bound the time and the frames without an acknowledgement.
	AckInterval time.Duration
	AckFrames   uint64
	// MaxBufferedFrames bounds the frames of one attempt that wait for an earlier one.
	MaxBufferedFrames int
}

// DefaultConfig returns the settings in which docs/PROTOCOL.md is written.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:   time.Second,
		SilenceTimeout:      3 * time.Second,
		DisconnectTimeout:   500 * time.Millisecond,
		StartTimeout:        2 * time.Second,
		ResponseTimeout:     20 * time.Second,
		ReserveInterval:     2 * time.Second,
		WidenInterval:       20 * time.Millisecond,
		MaxReservations:     6,
		AvoidTime:           500 * time.Millisecond,
		MaxAvoidTime:        4 * time.Second,
		MaxWaitingCalls:     4096,
		MaxWaitingBytes:     64 << 20,
		DefaultMaxWait:      60 * time.Second,
		LimitWait:           400 * time.Millisecond,
		ClaimWindow:         5 * time.Millisecond,
		ClaimTimeout:        2 * time.Second,
		KeyPollInterval:     100 * time.Millisecond,
		MaxStoredAnswer:     16 << 10,
		MaxUnwrittenAnswers: 16 << 20,
		HandOverInterval:    100 * time.Millisecond,
		GrantLifetime:       250 * time.Millisecond,
		ProbeInterval:       2 * time.Second,
		MaxUnstarted:        8,
		MaxPreemptions:      3,
		AckInterval:         50 * time.Millisecond,
		AckFrames:           32,
		MaxBufferedFrames:   1024,
	}
}
