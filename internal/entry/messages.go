// Package entry is the decision core of an entry. It admits calls within the
// limits of their client accounts, claims idempotency keys, reserves slots with
// agents, hands each call over to the first agent that grants one, and passes
// the answer to the caller.
//
// The entries divide the limits of each client account into shares. An entry
// admits calls within its share, and can borrow a part of another entry's share
// for a limited time, a loan (SendPeer, PeerMessage).
//
// An entry has two streams to each agent. Answers carries hand-overs, the
// replies to them, and the frames of answers with their acknowledgements.
// Control carries all other messages.
//
// The core is deterministic: it has no I/O, goroutines or clock. The entry
// process passes inputs and the time to Step and Tick, and executes the outputs
// that Take returns. The same inputs give the same outputs, byte for byte. All
// state is in memory; only claims are written, to the platform's table service.
package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Input is an event that the core reacts to.
type Input interface{ isInput() }

// Call is a caller's request that the caller API has parsed and authenticated.
type Call struct {
	// ID is assigned by the caller API in increasing order, unique within the incarnation.
	ID domain.CallID
	// Request is the request identifier shown to the caller.
	Request domain.RequestID
	Account domain.AccountID
	// Class is the request class, empty for the account's default class.
	Class domain.ClassName
	// Service is empty for the service of the class.
	Service domain.ServiceName
	// Model is empty for plain services.
	Model domain.ModelName
	// Key is the idempotency key, empty if the caller sent none.
	Key domain.IdempotencyKey
	// Fingerprint is a hash of the request. It distinguishes a repeat from
	// another request with the same key.
	Fingerprint uint64
	// Prefix is a hash of account and prompt prefix, for prefix affinity.
	Prefix uint64
	// PromptTokens is an estimate of the prompt's length.
	PromptTokens uint32
	// MaxTokens is the caller's bound on the answer, 0 for none.
	MaxTokens uint32
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// CallArrived starts a call. The core ends every call with one CallerEnd.
type CallArrived struct{ Call Call }

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ Call domain.CallID }

// AgentUp reports that a connection to an agent is established and both Hello
// messages were exchanged.
type AgentUp struct {
	Agent       domain.EndpointID
	Incarnation domain.Incarnation
}

// AgentDown reports that the connection to an agent is lost. Its calls may still be running.
type AgentDown struct{ Agent domain.EndpointID }

// AgentMessage is a message from an agent.
type AgentMessage struct {
	Agent domain.EndpointID
	// Incarnation is the agent's, from the Hello on the connection that carried
	// the message. Zero means the incarnation of the last AgentUp.
	Incarnation domain.Incarnation
	Message     *pb.ToEntry
}

// PeerMessage is a loan request from another entry, or the reply of another entry
// to a request of this one.
type PeerMessage struct {
	Peer    domain.EntryID
	Message *pb.ToPeer
}

// StoreReply is the table service's reply to the StoreRequest with the same ID.
type StoreReply struct {
	ID    uint64
	Reply table.Reply
}

// NewConfig puts a configuration in force. One whose revision is not higher
// than that in force is ignored.
type NewConfig struct{ Config domain.Config }

// AvoidedAgents is the full list of agents that get new calls only if a pool has no
// others: those on hosts that the platform lists as leaving, and those outside this
// entry's subset of agents. It is only a hint, as the platform's list may be out of date.
type AvoidedAgents struct{ Agents []domain.EndpointID }

// Shutdown starts a graceful shutdown: calls in progress finish, new ones are refused.
type Shutdown struct{}

func (CallArrived) isInput()   {}
func (CallerGone) isInput()    {}
func (AgentUp) isInput()       {}
func (AgentDown) isInput()     {}
func (AgentMessage) isInput()  {}
func (PeerMessage) isInput()   {}
func (StoreReply) isInput()    {}
func (NewConfig) isInput()     {}
func (AvoidedAgents) isInput() {}
func (Shutdown) isInput()      {}

// Output is a command for the process that runs the core.
type Output interface{ isOutput() }

// SendAgent sends a message to an agent. Delivery is not guaranteed, and a loss is not reported.
type SendAgent struct {
	Agent   domain.EndpointID
	Message *pb.ToAgent
}

// SendPeer sends a message to another entry. Delivery is not guaranteed, and a loss is not reported.
type SendPeer struct {
	Peer    domain.EntryID
	Message *pb.ToPeer
}

// Reconnect replaces the connection to an agent that has not responded within
// Config.SilenceTimeout. AgentUp follows once the new connection is established.
type Reconnect struct{ Agent domain.EndpointID }

// StoreRequest is a request to the platform's table service. Exactly one StoreReply follows.
type StoreRequest struct {
	ID      uint64
	Request table.Request
}

// CallerHead is the status and headers of a plain service's answer.
type CallerHead struct {
	Call    domain.CallID
	Status  int
	Headers []Header
}

// CallerData is the next part of the answer.
type CallerData struct {
	Call   domain.CallID
	Data   []byte
	Tokens uint32
}

// Step names the step of a call at which it failed.
type Step string

// The steps of a call.
const (
	StepAdmit    Step = "admit"
	StepLimit    Step = "limit"
	StepClaim    Step = "claim"
	StepReserve  Step = "reserve"
	StepHandOver Step = "hand-over"
	StepAnswer   Step = "answer"
)

// Code is the machine-readable reason of a failed call.
type Code string

// The reasons of failed calls.
const (
	CodeNone              Code = ""
	CodeUnknownClass      Code = "unknown_class"
	CodeUnknownService    Code = "unknown_service"
	CodeRateLimited       Code = "rate_limited"
	CodeOverloaded        Code = "overloaded"
	CodeNoEndpoint        Code = "no_endpoint"
	CodeShuttingDown      Code = "shutting_down"
	CodeKeyInUse          Code = "idempotency_key_in_use"
	CodeKeyReused         Code = "idempotency_key_reused"
	CodeStoreUnavailable  Code = "store_unavailable"
	CodeEndpointFailed    Code = "endpoint_failed"
	CodeEndpointRefused   Code = "endpoint_refused"
	CodeInvalidRequest    Code = "invalid_request"
	CodeAnswerInterrupted Code = "answer_interrupted"
	CodeCancelled         Code = "cancelled"
)

// Failure is the reason why a call did not end complete.
type Failure struct {
	Code    Code
	Step    Step
	Peer    string // endpoint or store that failed, empty for the entry itself
	Message string
}

// CallerEnd ends a call. It is emitted exactly once for each CallArrived.
type CallerEnd struct {
	Call         domain.CallID
	Outcome      domain.Outcome
	Failure      Failure       // zero when complete
	RetryAfter   time.Duration // zero for none
	FinishReason string
	PromptTokens uint32
	AnswerTokens uint32
}

func (SendAgent) isOutput()    {}
func (SendPeer) isOutput()     {}
func (Reconnect) isOutput()    {}
func (StoreRequest) isOutput() {}
func (CallerHead) isOutput()   {}
func (CallerData) isOutput()   {}
func (CallerEnd) isOutput()    {}
