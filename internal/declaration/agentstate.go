package declaration

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// AgentState tracks the revisions of an agent's part of the configuration.
type AgentState struct {
	Endpoint domain.EndpointID
	// Revision is the newest applied revision, 0 before the first.
	Revision domain.Revision
	// View is valid once the endpoint has been declared.
	View AgentView
	// HasView reports whether the endpoint has been declared in any applied revision.
	HasView bool
}

// Apply applies a message of documents from an entry (docs/PROTOCOL.md) and
// reports whether it raised the revision. The revision never decreases.
//
// An empty message raises the revision and leaves the view as it is: neither the
// endpoint nor its service changed. A message that is not empty but lacks the
// endpoint or its service makes the endpoint drain. Until the endpoint is declared,
// messages are ignored. So is a message whose After field is neither 0 nor the
// current revision; 0 means that the message does not depend on earlier ones.
func (a *AgentState) Apply(docs *pb.Documents) (bool, error) {
	after := domain.Revision(docs.GetAfter())
	through := domain.Revision(docs.GetThrough())
	if through <= a.Revision || after != 0 && after != a.Revision {
		return false, nil
	}
	view, ok, err := DecodeAgentView(a.Endpoint, docs.GetDocuments())
	if err != nil {
		return false, err
	}
	if !ok && !a.HasView {
		return false, nil
	}
	a.Revision = through
	switch {
	case ok:
		a.View = view
		a.HasView = true
	case len(docs.GetDocuments()) > 0:
		a.View.Endpoint.Desired = domain.EndpointDraining
		a.View.Changed = through
	}
	return true, nil
}
