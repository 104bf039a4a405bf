package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Config is the settings of a core. DefaultConfig sets all but EntryID,
// Incarnation, DataCentre and Seed.
type Config struct {
	EntryID     domain.EntryID
	Incarnation domain.Incarnation
	DataCentre  domain.DataCentre
	// Seed initialises the core's random numbers.
	Seed uint64

	// HeartbeatInterval is the time between heartbeats to an agent.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a message after which the connection to
	// an agent is replaced.
	SilenceTimeout time.Duration
	// DisconnectTimeout is the time without a connection to an agent after which
	// its attempts of retryable calls fail and are retried elsewhere.
	DisconnectTimeout time.Duration
	// StartTimeout is the time without a reply to a hand-over from a connected
	// agent after which an attempt of a retryable call fails and is retried elsewhere.
	StartTimeout time.Duration
	// ResponseTimeout is the time without a response from an agent after which an
	// attempt fails if neither DisconnectTimeout nor StartTimeout applies.
	ResponseTimeout time.Duration

	// ReserveInterval is the time after which an unanswered reservation is sent again.
	ReserveInterval time.Duration
	// AddReservationInterval is the time after which a waiting call of tier 0 asks
	// a second agent. It doubles for each further one, and is t+1 times as long for tier t.
	AddReservationInterval time.Duration
	// MaxReservations bounds the simultaneous reservations of one call.
	MaxReservations int
	// ExclusionTime is how long a call does not ask an agent after a refusal or a
	// failed attempt there.
	ExclusionTime time.Duration
	// MaxExclusionTime bounds the time for which a call does not ask an agent after a
	// refusal, which doubles with each refusal of the call.
	MaxExclusionTime time.Duration
	// MaxWaitingCalls and MaxWaitingBytes bound the calls that are not handed
	// over to an agent. Calls beyond them are shed, the lowest tier first.
	MaxWaitingCalls int
	MaxWaitingBytes int
	// DefaultMaxWait is the MaxWait of request classes that set none.
	DefaultMaxWait time.Duration

	// LimitWait bounds the time for which a call over its account's limits waits
	// for a loan from another entry or a refill of this entry's share.
	LimitWait time.Duration

	// ClaimWindow is the time for which claims are collected into one transaction.
	ClaimWindow time.Duration
	// ClaimTimeout bounds the time for which a call waits for its claim to be
	// confirmed, or a repeat for the call in progress with its key.
	ClaimTimeout time.Duration
	// KeyPollInterval is the time between two checks of the claim of a call in
	// progress, by a repeat that waits for its answer.
	KeyPollInterval time.Duration
	// MaxStoredAnswer bounds an answer that is stored for repeats, in bytes.
	MaxStoredAnswer int
	// MaxUnwrittenAnswers bounds the sum of the stored answers that are not yet
	// written to the table service, in bytes.
	MaxUnwrittenAnswers int

	// HandOverInterval is the time after which an unanswered hand-over is sent again.
	HandOverInterval time.Duration
	// GrantLifetime equals the agents' GrantTTL. Within this time of a hand-over, a
	// resent one can still start the call. Later the attempt is revoked, to learn
	// whether it has started.
	GrantLifetime time.Duration
	// ProbeInterval is the time without a message after which an agent is asked
	// about a started attempt.
	ProbeInterval time.Duration
	// MaxUnstarted bounds the attempts of one call that are proven not run.
	MaxUnstarted uint32

	// MaxPreemptions bounds how often one call can be preempted. Zero allows none.
	MaxPreemptions uint32

	// AckInterval and AckFrames bound the time and the number of frames until
	// delivered frames are acknowledged.
	AckInterval time.Duration
	AckFrames   uint64
	// MaxBufferedFrames bounds the out-of-order frames of one attempt.
	MaxBufferedFrames int
}

// DefaultConfig returns the values that docs/PROTOCOL.md assumes.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:      time.Second,
		SilenceTimeout:         3 * time.Second,
		DisconnectTimeout:      500 * time.Millisecond,
		StartTimeout:           2 * time.Second,
		ResponseTimeout:        20 * time.Second,
		ReserveInterval:        2 * time.Second,
		AddReservationInterval: 20 * time.Millisecond,
		MaxReservations:        6,
		ExclusionTime:          500 * time.Millisecond,
		MaxExclusionTime:       4 * time.Second,
		MaxWaitingCalls:        4096,
		MaxWaitingBytes:        64 << 20,
		DefaultMaxWait:         60 * time.Second,
		LimitWait:              400 * time.Millisecond,
		ClaimWindow:            5 * time.Millisecond,
		ClaimTimeout:           2 * time.Second,
		KeyPollInterval:        100 * time.Millisecond,
		MaxStoredAnswer:        16 << 10,
		MaxUnwrittenAnswers:    16 << 20,
		HandOverInterval:       100 * time.Millisecond,
		GrantLifetime:          250 * time.Millisecond,
		ProbeInterval:          2 * time.Second,
		MaxUnstarted:           8,
		MaxPreemptions:         3,
		AckInterval:            50 * time.Millisecond,
		AckFrames:              32,
		MaxBufferedFrames:      1024,
	}
}
