// Package revision replicates the configuration between the table service, the
// entries and the agents. Each entry runs one Core. It commits operators'
// changes to the table service (the store), reads newer revisions from the store
// and from other entries, and distributes the revision in force to peers and
// agents. It keeps the configuration in force, recent deltas, the connected
// peers and agents, and the changes and orders in progress.
//
// The core is deterministic: it does no I/O, starts no goroutines and reads no
// clock. Its caller, the entry's event loop, passes inputs and the current time
// to Step and Tick, and executes the outputs that Take returns. The same
// sequence of inputs produces byte-identical outputs.
package revision

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Input is an event passed to Step.
type Input interface{ isInput() }

// PeerUp reports that a connection to another entry is established and both
// sides have sent their Hello. Revision is the revision in force at the peer, or 0
// if unknown; the peer's first heartbeat then reports it.
type PeerUp struct {
	Peer     domain.EntryID
	Revision domain.Revision
}

// PeerDown reports that the connection to another entry is lost.
type PeerDown struct{ Peer domain.EntryID }

// PeerMessage is a message from another entry. Messages about shares of limits are ignored.
type PeerMessage struct {
	Peer    domain.EntryID
	Message *pb.ToPeer
}

// AgentUp reports that a connection to an agent is established and both sides
// have sent their Hello. Revision is the revision in force at the agent, or 0 if
// unknown; the agent is then sent its endpoint and service documents.
type AgentUp struct {
	Agent    domain.EndpointID
	Revision domain.Revision
}

// AgentDown reports that the connection to an agent is lost.
type AgentDown struct{ Agent domain.EndpointID }

// AgentMessage is a message from an agent. The core handles heartbeats, requests
// for documents and replies to operator orders, and ignores all others.
type AgentMessage struct {
	Agent   domain.EndpointID
	Message *pb.ToEntry
}

// StoreReply is the reply to the StoreRequest with the same ID.
type StoreReply struct {
	ID    uint64
	Reply table.Reply
}

// Apply requests a configuration change by an operator. The core answers with
// exactly one ApplyResult.
type Apply struct {
	// ID is chosen by the caller and unique among all Apply, OperateRequest and
	// AuditRequest inputs.
	ID       uint64
	Operator string
	Change   domain.ChangeID
	// Base is the revision on which the change is based. If the newest revision
	// differs, the result is ApplyConflict.
	Base domain.Revision
	// AnyBase applies the change to the newest revision and ignores Base.
	AnyBase   bool
	Documents []*pb.Document
	// At is the wall-clock time of the request, for the audit trail.
	At time.Time
}

// OperateRequest is an operator's order to drain, undrain or stop an endpoint.
// The core answers with exactly one OperateResult.
type OperateRequest struct {
	ID       uint64
	Operator string
	Change   domain.ChangeID
	Endpoint domain.EndpointID
	Desired  domain.DesiredState
	At       time.Time
}

// AuditRequest reads up to Limit rows of the audit trail with revisions above
// After. The core answers with exactly one AuditResult.
type AuditRequest struct {
	ID    uint64
	After domain.Revision
	Limit uint32
}

func (PeerUp) isInput()         {}
func (PeerDown) isInput()       {}
func (PeerMessage) isInput()    {}
func (AgentUp) isInput()        {}
func (AgentDown) isInput()      {}
func (AgentMessage) isInput()   {}
func (StoreReply) isInput()     {}
func (Apply) isInput()          {}
func (OperateRequest) isInput() {}
func (AuditRequest) isInput()   {}

// Output is an action for the caller to execute.
type Output interface{ isOutput() }

// SendPeer sends a message to another entry. Delivery is not guaranteed.
type SendPeer struct {
	Peer    domain.EntryID
	Message *pb.ToPeer
}

// SendAgent sends a message to an agent. Delivery is not guaranteed.
type SendAgent struct {
	Agent   domain.EndpointID
	Message *pb.ToAgent
}

// ReconnectPeer requests a new connection to a peer from which no message was
// received within the timeout. The caller drops the old connection and reports
// PeerUp when the new one is established.
type ReconnectPeer struct{ Peer domain.EntryID }

// StoreRequest sends a transaction to the table service. The caller passes back
// exactly one StoreReply.
type StoreRequest struct {
	ID      uint64
	Request table.Request
}

// Installed reports that a declaration set with a higher revision is now in
// force in this process.
type Installed struct{ Set *declaration.Set }

// ApplyResult is the answer to an Apply.
type ApplyResult struct {
	ID     uint64
	Status ApplyStatus
	// Revision is the revision of the change, or the newest known revision if
	// there was no change.
	Revision domain.Revision
	// Repeated is set if a change with the same identifier was committed earlier. It
	// is not set if the reply to a commit of this request was lost, even if another
	// entry committed the change.
	Repeated bool
	// Winner is the newest committed change in case of ApplyConflict.
	Winner ChangeRecord
	// Message describes the error in case of ApplyInvalid.
	Message string
}

// ApplyStatus is the result of an Apply.
type ApplyStatus uint8

// The results of an Apply.
const (
	// ApplyAccepted means that the change is committed.
	ApplyAccepted ApplyStatus = iota + 1
	// ApplyUnchanged means that the configuration already contains the change.
	ApplyUnchanged
	// ApplyConflict means that another change was committed first, and nothing was written.
	ApplyConflict
	// ApplyInvalid means that the resulting configuration is invalid, and nothing was written.
	ApplyInvalid
	// ApplyUnavailable means that the change could not be committed in time, and
	// nothing was written: the store did not answer, or the change waited for earlier
	// ones or for a newer revision.
	ApplyUnavailable
	// ApplyUnknown means that the change may have been committed. Retrying it with
	// the same identifier is safe.
	ApplyUnknown
)

var applyNames = [...]string{"none", "accepted", "unchanged", "conflict", "invalid", "unavailable", "unknown"}

// String returns the status in lower case.
func (s ApplyStatus) String() string {
	if int(s) >= len(applyNames) {
		return "invalid"
	}
	return applyNames[s]
}

// OperateResult is the answer to an OperateRequest.
type OperateResult struct {
	ID     uint64
	Status OperateStatus
	// Running is the number of attempts in progress at the endpoint, as the agent reported it.
	Running uint32
	// Recorded is set if the order is in the audit trail. If not, it is recorded when
	// the store is available again.
	Recorded bool
	// Revision is the revision in force, or the one at which the order is recorded if
	// that is newer.
	Revision domain.Revision
}

// OperateStatus is the result of an OperateRequest.
type OperateStatus uint8

// The results of an OperateRequest.
const (
	// OperateInForce means that the ordered state is in effect at the agent, or that
	// the agent refused the recorded order but the configuration wants the same state.
	OperateInForce OperateStatus = iota + 1
	// OperateNotReached means that the agent has not answered in time. The order is
	// sent again until the agent answers or the order is recorded.
	OperateNotReached
	// OperateRepeated means that an order with the same identifier was given earlier.
	OperateRepeated
	// OperateSuperseded means that a later order or change is in effect.
	OperateSuperseded
	// OperateUnknownEndpoint means that the endpoint is not declared or its document
	// is invalid.
	OperateUnknownEndpoint
)

var operateNames = [...]string{"none", "in-force", "not-reached", "repeated", "superseded", "unknown-endpoint"}

// String returns the status in lower case.
func (s OperateStatus) String() string {
	if int(s) >= len(operateNames) {
		return "invalid"
	}
	return operateNames[s]
}

// AuditResult is the answer to an AuditRequest. Status is that of the store's reply.
type AuditResult struct {
	ID     uint64
	Status table.Status
	Rows   []AuditRecord
}

func (SendPeer) isOutput()      {}
func (SendAgent) isOutput()     {}
func (ReconnectPeer) isOutput() {}
func (StoreRequest) isOutput()  {}
func (Installed) isOutput()     {}
func (ApplyResult) isOutput()   {}
func (OperateResult) isOutput() {}
func (AuditResult) isOutput()   {}
