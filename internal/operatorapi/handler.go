package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
)

// Backend carries out the requests of operators. Its methods are called
// concurrently and return when the context is cancelled. The handler leaves the
// ID fields of revision.Apply, revision.OperateRequest and revision.AuditRequest
// zero; the backend sets them.
type Backend interface {
	// Set returns the configuration in force.
	Set() *declaration.Set
	// Apply applies a change of the configuration. An error means that the change
	// may or may not have been applied.
	Apply(context.Context, revision.Apply) (revision.ApplyResult, error)
	// SetDesiredState drains, undrains or stops an endpoint. An error means that the order
	// may or may not have been carried out.
	SetDesiredState(context.Context, revision.OperateRequest) (revision.OperateResult, error)
	// Audit returns a page of the audit trail.
	Audit(context.Context, revision.AuditRequest) (revision.AuditResult, error)
	// Status returns the state of the deployment as this entry sees it.
	Status(context.Context) (Status, error)
}

// Options configures the operator API.
type Options struct {
	// BootstrapTokenHash is the hash of a bootstrap token. While the configuration in
	// force declares no operator, the token authenticates as BootstrapOperator.
	// Zero means that there is no such token.
	BootstrapTokenHash domain.KeyHash
	// Now returns the wall-clock time for the audit trail. It is required.
	Now func() time.Time
}

// BootstrapOperator is the operator name in the audit records of changes made
// with the bootstrap token.
const BootstrapOperator = "first-token"

// maxBodyBytes is the largest request body.
const maxBodyBytes = 64 << 20

// handler serves the operator API.
type handler struct {
	backend Backend
	options Options
}

// New returns the handler for all routes of the operator API.
func New(backend Backend, options Options) http.Handler {
	h := &handler{backend: backend, options: options}
	router := chi.NewRouter()
	router.Use(h.authenticate)
	router.Get(PathDocuments, h.documents)
	router.Post(PathApply, h.apply)
	router.Put(PathApply, h.apply)
	router.Get(PathSettings, h.effectiveSettings)
	router.Get(PathStatus, h.status)
	router.Get(PathAudit, h.audit)
	router.Post(PathOrder, h.order)
	return router
}

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// operatorOf returns the name of the operator who sent an authenticated request.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}

// authenticate rejects requests without an operator's bearer token and logs each
// request. Neither the token nor its hash is logged.
func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := h.lookupOperator(r.Header.Get("Authorization"))
		if !ok {
			klog.InfoS("operator refused", "method", r.Method, "path", r.URL.Path, "peer", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "want an operator's bearer token")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
		klog.InfoS("operator request", "operator", name, "method", r.Method, "path", r.URL.Path, "status", recorder.status)
	})
}

// lookupOperator returns the name of the operator whose token is in an
// Authorization header, and whether there is one.
func (h *handler) lookupOperator(header string) (string, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	hash := domain.KeyHash(sha256.Sum256([]byte(token)))
	set := h.backend.Set()
	if set.OperatorCount() > 0 {
		return set.Operator(hash)
	}
	bootstrapHash := h.options.BootstrapTokenHash
	matches := subtle.ConstantTimeCompare(bootstrapHash[:], hash[:]) == 1
	return BootstrapOperator, matches && bootstrapHash != domain.KeyHash{}
}

// statusRecorder records the status of a response for the log.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and writes the status.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(2).InfoS("response to operator not fully written", "err", err.Error())
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorReply{Error: message})
}

// writeUnavailable logs a backend error and writes an error response. The step
// is the kind of request.
func writeUnavailable(w http.ResponseWriter, step string, err error) {
	klog.ErrorS(err, "operator request failed", "step", step)
	writeError(w, http.StatusServiceUnavailable, step+": the entry did not answer in time")
}

// decodeBody decodes a JSON request body. Unknown fields are an error.
func decodeBody(r *http.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(target), "read the request's body")
}
