// Package domain defines the types that the other packages share: identifiers,
// tiers, request classes, outcomes and the resolved configuration. It keeps no state
// and imports no other package of this module.
package domain

import "time"

// AccountID names a client account.
type AccountID string

// ClassName names a request class of a service template.
type ClassName string

// TemplateName names a service template.
type TemplateName string

// ServiceName names a model service or a plain service that endpoints provide.
type ServiceName string

// ModelName names a model as callers request it.
type ModelName string

// EndpointID names an endpoint and its agent.
type EndpointID string

// EntryID names an entry process.
type EntryID string

// DataCentre names a data centre.
type DataCentre string

// RequestID identifies a request to its caller. It is a UUID in text form.
type RequestID string

// IdempotencyKey is a caller's key for a call that must not run twice.
type IdempotencyKey string

// ChangeID identifies a configuration change by an operator.
type ChangeID string

// Revision numbers the versions of the configuration. Zero means that none has been received.
type Revision uint64

// Incarnation distinguishes the runs of a process. It increases with each restart.
type Incarnation uint64

// CallID numbers a call within one incarnation of an entry.
type CallID uint64

// Attempt numbers the attempts of one call, from 1.
type Attempt uint32

// Nonce identifies a grant, an agent's permission to start a call, within one
// incarnation of the agent. It is a counter from 1 and never reused.
type Nonce uint64

// Tier is the priority of a request class. Tier 0 is the highest.
type Tier uint8

// TierCount is the number of tiers, which are numbered from 0.
const TierCount = 6

// Higher reports whether t has priority over other.
func (t Tier) Higher(other Tier) bool { return t < other }

// Instant is a reading of a process's monotonic clock in nanoseconds since the start
// of the process. Instants of different processes can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }

// Outcome is the result of an ended call as its caller receives it.
type Outcome uint8

// The outcomes. docs/OUTCOMES.md lists the events that prove each of them.
const (
	// OutcomeNone means that the call has not ended.
	OutcomeNone Outcome = iota
	// OutcomeComplete means that the caller received the whole answer.
	OutcomeComplete
	// OutcomeNotRun means that the call is proved not to have run.
	OutcomeNotRun
	// OutcomePartial means that a part of the answer was delivered and reported as partial.
	OutcomePartial
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown
)

var outcomeNames = [...]string{"none", "complete", "not-run", "partial", "unknown"}

// String returns the value of the Dunlinpulley-Outcome header.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}
