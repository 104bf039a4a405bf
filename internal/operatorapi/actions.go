package operatorapi

import (
	"net/http"
	"regexp"
	"strconv"

	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// changeIDPattern matches valid change IDs.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

const invalidChangeMessage = "change: want an identifier of up to 128 letters, digits and ._:- that starts with a letter or digit"

// Number of records on a page of the audit trail.
const (
	defaultAuditLimit = 200
	maxAuditLimit     = 1000
)

// documents serves PathDocuments.
func (h *handler) documents(w http.ResponseWriter, _ *http.Request) {
	set := h.backend.Set()
	response := Documents{Revision: set.Revision(), Documents: []Document{}}
	for _, doc := range set.Documents() {
		response.Documents = append(response.Documents, Document{
			Kind:     doc.GetKind(),
			Name:     doc.GetName(),
			Revision: domain.Revision(doc.GetRevision()),
			Body:     doc.GetBody(),
		})
	}
	writeJSON(w, http.StatusOK, response)
}

// apply serves POST and PUT of PathApply. Repeating a request with the same change ID
// is safe.
func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	var request ApplyRequest
	if err := decodeBody(r, &request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !changeIDPattern.MatchString(string(request.Change)) {
		writeError(w, http.StatusBadRequest, invalidChangeMessage)
		return
	}
	result, err := h.backend.Apply(r.Context(), revision.Apply{
		Operator:  operatorOf(r),
		Change:    request.Change,
		Base:      request.Base,
		Documents: toWireDocuments(request.Documents),
		At:        h.options.Now(),
	})
	if err != nil { // the change may or may not have been applied
		klog.ErrorS(err, "operator request failed", "step", "apply", "change", request.Change)
		writeJSON(w, http.StatusGatewayTimeout, ApplyReply{Status: revision.ApplyUnknown.String()})
		return
	}
	response := ApplyReply{
		Status:   result.Status.String(),
		Revision: result.Revision,
		Repeated: result.Repeated,
		Message:  result.Message,
	}
	if result.Status == revision.ApplyConflict {
		response.Winner = &result.Winner
	}
	writeJSON(w, applyHTTPStatus(result.Status), response)
}

func toWireDocuments(docs []Document) []*pb.Document {
	wireDocs := make([]*pb.Document, 0, len(docs))
	for _, doc := range docs {
		wireDocs = append(wireDocs, &pb.Document{Kind: doc.Kind, Name: doc.Name, Body: doc.Body})
	}
	return wireDocs
}

func applyHTTPStatus(status revision.ApplyStatus) int {
	switch status {
	case revision.ApplyAccepted, revision.ApplyUnchanged:
		return http.StatusOK
	case revision.ApplyConflict:
		return http.StatusConflict
	case revision.ApplyInvalid:
		return http.StatusUnprocessableEntity
	case revision.ApplyUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// effectiveSettings serves PathSettings.
func (h *handler) effectiveSettings(w http.ResponseWriter, r *http.Request) {
	account := domain.AccountID(chi.URLParam(r, "account"))
	class := domain.ClassName(chi.URLParam(r, "class"))
	if class == DefaultClass {
		class = ""
	}
	set := h.backend.Set()
	settings, ok := set.Explain(account, class)
	if !ok {
		writeError(w, http.StatusNotFound, "no such account or class")
		return
	}
	writeJSON(w, http.StatusOK, SettingsReply{Revision: set.Revision(), Account: account, Settings: settings})
}

// status serves PathStatus.
func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.backend.Status(r.Context())
	if err != nil {
		writeUnavailable(w, "status", err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// audit serves PathAudit. The query parameters are after, the revision that the
// page starts after, and limit, the number of records.
func (h *handler) audit(w http.ResponseWriter, r *http.Request) {
	after, err := queryUint(r, "after", 0)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after: want a revision")
		return
	}
	limit, err := queryUint(r, "limit", defaultAuditLimit)
	if err != nil || limit == 0 || limit > maxAuditLimit {
		writeError(w, http.StatusBadRequest, "limit: want a number from 1 to 1000")
		return
	}
	result, err := h.backend.Audit(r.Context(), revision.AuditRequest{
		After: domain.Revision(after),
		Limit: uint32(limit),
	})
	if err != nil {
		writeUnavailable(w, "audit", err)
		return
	}
	if result.Status != table.StatusOK {
		writeError(w, http.StatusServiceUnavailable, "audit: the store is "+result.Status.String())
		return
	}
	writeJSON(w, http.StatusOK, AuditReply{Records: result.Rows, More: len(result.Rows) == int(limit)})
}

// queryUint returns a number from the query string, or the fallback if it is absent.
func queryUint(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// order serves PathOrder.
func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	desired, ok := Order(chi.URLParam(r, "order")).Desired()
	if !ok {
		writeError(w, http.StatusNotFound, "order: want drain, undrain or stop")
		return
	}
	var request OrderRequest
	if err := decodeBody(r, &request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !changeIDPattern.MatchString(string(request.Change)) {
		writeError(w, http.StatusBadRequest, invalidChangeMessage)
		return
	}
	result, err := h.backend.SetDesiredState(r.Context(), revision.OperateRequest{
		Operator: operatorOf(r),
		Change:   request.Change,
		Endpoint: domain.EndpointID(chi.URLParam(r, "endpoint")),
		Desired:  desired,
		At:       h.options.Now(),
	})
	if err != nil { // the order may or may not have been carried out
		klog.ErrorS(err, "operator request failed", "step", "order", "change", request.Change)
		writeJSON(w, http.StatusGatewayTimeout, OrderReply{Status: StatusUnknown})
		return
	}
	response := OrderReply{
		Status:   result.Status.String(),
		Running:  result.Running,
		Recorded: result.Recorded,
		Revision: result.Revision,
	}
	writeJSON(w, orderHTTPStatus(result.Status), response)
}

func orderHTTPStatus(status revision.OperateStatus) int {
	switch status {
	case revision.OperateUnknownEndpoint:
		return http.StatusNotFound
	case revision.OperateSuperseded:
		return http.StatusConflict
	case revision.OperateNotReached:
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}
