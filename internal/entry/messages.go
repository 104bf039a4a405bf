// Package entry is the decision core of an entry. It admits calls, reserves
// slots with agents, hands each call to the first agent that grants it one, and
// carries the answer to the caller.
//
// The core is deterministic: it has no I/O, goroutine or clock. Inputs come in
// by Step and Tick with the time, and Take returns what is to be done. The same
// inputs give the same outputs, byte for byte.
package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Input is a message into the core.
type Input interface{ isInput() }

// Call is a caller's request that the caller API has parsed and authenticated.
type Call struct {
	// ID is chosen by the caller API, rising, unique within the incarnation.
	ID domain.CallID
	// Request is the identifier that the caller sees.
	Request domain.RequestID
	Account domain.AccountID
	// Class is empty for the account's default class.
	Class   domain.ClassName
	Service domain.ServiceName
	// Model is empty for plain services.
	Model domain.ModelName
	// Key is the idempotency key, or empty.
	Key domain.IdempotencyKey
	// Fingerprint is a hash of what was asked, to tell a repeat from a misuse of the key.
	Fingerprint uint64
	// Prefix is a hash of account and prompt prefix, for affinity.
	Prefix uint64
	// PromptTokens estimates the prompt's length.
	PromptTokens uint32
	MaxTokens    uint32
	Method       string
	Path         string
	Headers      []Header
	Body         []byte
}

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// CallArrived brings a call. The core answers with CallerEnd in every case.
type CallArrived struct{ Call Call }

// CallerGone says that the caller hung up.
type CallerGone struct{ Call domain.CallID }

// AgentUp says that a connection to an agent stands, after both Hellos.
type AgentUp struct {
	Agent       domain.EndpointID
	Incarnation domain.Incarnation
}

// AgentDown says that the connection to an agent is lost. What the agent does is unknown.
type AgentDown struct{ Agent domain.EndpointID }

// AgentMessage is a message from an agent.
type AgentMessage struct {
	Agent domain.EndpointID
	// Incarnation is that of the agent's Hello on the connection by which the
	// message came. Zero stands for that of the last AgentUp.
	Incarnation domain.Incarnation
	Message     *pb.ToEntry
}

// PeerMessage is a message from another entry about shares of limits.
type PeerMessage struct {
	Peer    domain.EntryID
	Message *pb.ToPeer
}

// StoreReply answers a StoreRequest.
type StoreReply struct {
	ID    uint64
	Reply table.Reply
}

// NewConfig puts a configuration in force. One of a lower revision is ignored.
type NewConfig struct{ Config domain.Config }

// HostsLeaving is the platform's list of hosts about to leave, a hint that lags.
type HostsLeaving struct{ Agents []domain.EndpointID }

// Shutdown starts a graceful shutdown: calls in progress finish, new ones are refused.
type Shutdown struct{}

func (CallArrived) isInput()  {}
func (CallerGone) isInput()   {}
func (AgentUp) isInput()      {}
func (AgentDown) isInput()    {}
func (AgentMessage) isInput() {}
func (PeerMessage) isInput()  {}
func (StoreReply) isInput()   {}
func (NewConfig) isInput()    {}
func (HostsLeaving) isInput() {}
func (Shutdown) isInput()     {}

// Output is something for the shell to do.
type Output interface{ isOutput() }

// SendAgent sends a message to an agent. It may be lost without notice.
type SendAgent struct {
	Agent   domain.EndpointID
	Message *pb.ToAgent
}

// SendPeer sends a message to another entry. It may be lost without notice.
type SendPeer struct {
	Peer    domain.EntryID
	Message *pb.ToPeer
}

// Reconnect asks for a new connection to an agent that has gone silent. The
// shell drops the old one and reports AgentUp when the new one stands.
type Reconnect struct{ Agent domain.EndpointID }

// StoreRequest asks the platform's table service. Exactly one StoreReply follows.
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

// CallerData is a part of the answer, in order.
type CallerData struct {
	Call   domain.CallID
	Data   []byte
	Tokens uint32
}

// Step names where a call ended, for errors.
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

// Failure says why a call did not end complete.
type Failure struct {
	Code    Code
	Step    Step
	Peer    string // endpoint or store at which it arose, empty for the entry itself
	Message string
}

// CallerEnd ends a call. It comes exactly once for each CallArrived.
type CallerEnd struct {
	Call         domain.CallID
	Outcome      domain.Outcome
	Failure      Failure // zero when complete
	RetryAfter   time.Duration
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
