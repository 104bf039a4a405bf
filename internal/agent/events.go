// Package agent implements the core of an agent, the process that runs beside one
// endpoint. The core queues reservations, which are entries' requests for a slot, and
// grants slots. It starts attempts that are handed over and stores their answers until
// these are acknowledged. It drains on a configuration, an operator's change or a
// shutdown. It sends orders to the endpoint: to load a model, to load an adapter and to
// set the endpoint's role.
//
// All state is in Core, in memory. The core is deterministic: it does no I/O, starts no
// goroutines and reads no clock. Package app passes inputs with the current time to Step
// and Tick, and executes the outputs that Take returns. The same inputs give the same
// outputs, byte for byte.
package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Peer is one incarnation of an entry. Call IDs are unique within it.
type Peer struct {
	Entry       domain.EntryID
	Incarnation domain.Incarnation
}

// RunID identifies a run, which is an attempt that was started at the endpoint, within one
// incarnation of an agent. The first is 1.
type RunID uint64

// Input is an event for the core.
type Input interface{ isInput() }

// EntryUp reports an established connection from an entry, after both Hello messages.
type EntryUp struct{ Peer Peer }

// EntryDown reports that the connection from an entry is lost.
type EntryDown struct{ Peer Peer }

// EntryMessage is a message received from an entry.
type EntryMessage struct {
	Peer    Peer
	Message *pb.ToAgent
}

// EngineHead reports the HTTP status and headers of a plain service's answer.
type EngineHead struct {
	Run     RunID
	Status  uint32
	Headers []*pb.Header
}

// EngineData reports a part of an answer and the number of tokens in it.
type EngineData struct {
	Run    RunID
	Data   []byte
	Tokens uint32
}

// EngineEnd reports the end of a run. There is exactly one for each EngineStart.
type EngineEnd struct {
	Run          RunID
	Reason       pb.EndReason
	FinishReason string
	PromptTokens uint32
	AnswerTokens uint32
	Message      string
}

// EngineReport is a load report of the endpoint: numbers of requests. It lags behind
// the actual load. The core uses only Queued and counts its own runs.
type EngineReport struct {
	Running uint32
	Queued  uint32
}

// CacheEvent reports that a prompt prefix was added to or evicted from the engine's
// cache. Events are delayed and may be missing. The core ignores them: entries select
// agents by a hash of the prefix, without knowledge of the caches.
type CacheEvent struct {
	Prefix uint64
	Cached bool
}

// EndpointConfig is the declaration of the agent's endpoint in a configuration.
type EndpointConfig struct {
	Revision domain.Revision
	// Changed is the revision that last changed the endpoint's declaration.
	Changed  domain.Revision
	Endpoint domain.Endpoint
	Kind     domain.ServiceKind
}

// OrderEnd reports the result of an order to the endpoint.
type OrderEnd struct {
	Order   uint64
	OK      bool
	Fenced  bool // the endpoint refused an old fencing number
	Message string
}

// StoreReply is the reply to the StoreRequest with the same ID.
type StoreReply struct {
	ID    uint64
	Reply table.Reply
}

// Shutdown starts a graceful shutdown: no new grants, then Exit when all runs have ended.
type Shutdown struct{}

func (EntryUp) isInput()        {}
func (EntryDown) isInput()      {}
func (EntryMessage) isInput()   {}
func (EngineHead) isInput()     {}
func (EngineData) isInput()     {}
func (EngineEnd) isInput()      {}
func (EngineReport) isInput()   {}
func (CacheEvent) isInput()     {}
func (EndpointConfig) isInput() {}
func (OrderEnd) isInput()       {}
func (StoreReply) isInput()     {}
func (Shutdown) isInput()       {}

// Output is an action for the caller of the core.
type Output interface{ isOutput() }

// SendEntry sends a message to an entry. The message may be lost without notice.
type SendEntry struct {
	Peer    Peer
	Message *pb.ToEntry
}

// EngineStart starts an attempt at the endpoint.
type EngineStart struct {
	Run      RunID
	HandOver *pb.HandOver
}

// EngineCancel cancels a run. An EngineEnd still follows.
type EngineCancel struct{ Run RunID }

// OrderKind is the kind of an order to the endpoint. An operator's change (pb.Operate) is
// not an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderRole        OrderKind = "role"
)

// Order sends an order with a fencing number to the endpoint. One OrderEnd follows.
type Order struct {
	Order   uint64
	Kind    OrderKind
	Name    string
	Fencing uint64
	// Until is the end of the lease. The order must not be sent after it.
	Until domain.Instant
}

// StoreRequest sends a request to the platform's table service. Exactly one StoreReply
// follows.
type StoreRequest struct {
	ID      uint64
	Request table.Request
}

// Step is the step of an order at which a fault occurred.
type Step string

// The steps of an order.
const (
	StepLease   Step = "lease"
	StepWeights Step = "weights"
	StepOrder   Step = "order"
)

// Fault is an error to log. The agent continues and retries.
type Fault struct {
	Step Step
	Peer string // endpoint or table that caused the error
	Err  error
}

// Exit reports that no work is in progress and the process can end.
type Exit struct{}

func (SendEntry) isOutput()    {}
func (EngineStart) isOutput()  {}
func (EngineCancel) isOutput() {}
func (Order) isOutput()        {}
func (StoreRequest) isOutput() {}
func (Fault) isOutput()        {}
func (Exit) isOutput()         {}
