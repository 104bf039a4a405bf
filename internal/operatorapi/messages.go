// Package operatorapi is the HTTP API for operators: applying and showing
// configuration, status, the audit trail, and draining, undraining and stopping
// endpoints. Each request needs an operator's bearer token; callers' keys are
// rejected. An entry serves it on an address separate from the caller API's.
// dunlinpulleyctl is its client and shares the message types. The package
// authenticates and decodes requests and passes them to a Backend; it keeps no
// state.
package operatorapi

import (
	"encoding/json"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
)

// Paths of the operator API.
const (
	PathDocuments = "/v1/documents"
	PathApply     = "/v1/apply"
	PathSettings  = "/v1/accounts/{account}/classes/{class}"
	PathStatus    = "/v1/status"
	PathAudit     = "/v1/audit"
	PathOrder     = "/v1/endpoints/{endpoint}/{order}"
)

// DefaultClass means the account's default class in PathSettings.
const DefaultClass = "-"

// Order is an operator's order to an endpoint.
type Order string

// Orders that an operator can give.
const (
	OrderDrain   Order = "drain"
	OrderUndrain Order = "undrain"
	OrderStop    Order = "stop"
)

// Desired returns the endpoint state that an order requests, or false for an
// unknown order.
func (o Order) Desired() (domain.DesiredState, bool) {
	switch o {
	case OrderDrain:
		return domain.EndpointDraining, true
	case OrderUndrain:
		return domain.EndpointServing, true
	case OrderStop:
		return domain.EndpointStopped, true
	}
	return 0, false
}

// Document is a declaration. In an ApplyRequest, one without a body is removed.
type Document struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision domain.Revision `json:"revision,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// Documents is the complete configuration in force. It contains hashes of keys,
// never the keys.
type Documents struct {
	Revision  domain.Revision `json:"revision"`
	Documents []Document      `json:"documents"`
}

// ApplyRequest changes the listed documents. Base is the revision that the
// change is based on. A repeated request has the same Change.
type ApplyRequest struct {
	Change    domain.ChangeID `json:"change"`
	Base      domain.Revision `json:"base"`
	Documents []Document      `json:"documents"`
}

// ApplyReply is the result of an ApplyRequest. Status is the text of a
// revision.ApplyStatus. Repeated means that the change had been applied by an
// earlier request. Winner is the conflicting change that was applied first; it is
// set only with the status of a conflict.
type ApplyReply struct {
	Status   string                 `json:"status"`
	Revision domain.Revision        `json:"revision"`
	Repeated bool                   `json:"repeated,omitempty"`
	Winner   *revision.ChangeRecord `json:"winner,omitempty"`
	Message  string                 `json:"message,omitempty"`
}

// SettingsReply lists the effective settings of an account and class.
type SettingsReply struct {
	Revision domain.Revision       `json:"revision"`
	Account  domain.AccountID      `json:"account"`
	Settings []declaration.Setting `json:"settings"`
}

// OrderRequest requests a drain, undrain or stop of an endpoint. The path has the
// endpoint and the Order.
type OrderRequest struct {
	Change domain.ChangeID `json:"change"`
}

// StatusUnknown is the status of an order whose result the entry does not know.
const StatusUnknown = "unknown"

// OrderReply is the result of an OrderRequest. Status is the text of a
// revision.OperateStatus, or StatusUnknown. Running is the number of attempts in
// progress at the endpoint. Recorded reports whether the order is in the audit
// trail, at Revision; otherwise it is recorded once the store is available.
type OrderReply struct {
	Status   string          `json:"status"`
	Running  uint32          `json:"running"`
	Recorded bool            `json:"recorded"`
	Revision domain.Revision `json:"revision"`
}

// AuditReply is a page of the audit trail, oldest record first. More reports
// whether there may be another page after the last record's revision.
type AuditReply struct {
	Records []revision.AuditRecord `json:"records"`
	More    bool                   `json:"more"`
}

// Status is the state of the deployment as one entry sees it.
type Status struct {
	Revisions revision.Status  `json:"revisions"`
	Endpoints []EndpointStatus `json:"endpoints"`
	// CallsByTier has one element for each tier with the counts of calls at this entry.
	CallsByTier []QueueStatus `json:"queues"`
}

// EndpointStatus is an endpoint as this entry sees it.
type EndpointStatus struct {
	Endpoint   domain.EndpointID  `json:"endpoint"`
	Service    domain.ServiceName `json:"service"`
	DataCentre domain.DataCentre  `json:"data-centre"`
	Desired    string             `json:"desired"`
	Connected  bool               `json:"connected"`
	Draining   bool               `json:"draining"`
	Slots      uint32             `json:"slots"`
	FreeSlots  uint32             `json:"free-slots"`
	Queued     uint32             `json:"queued"`
}

// QueueStatus counts the queued and running calls of a tier.
type QueueStatus struct {
	Tier    domain.Tier `json:"tier"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error string `json:"error"`
}
