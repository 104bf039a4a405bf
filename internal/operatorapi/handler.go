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

// Backend is what the interface needs of the process. It numbers the requests;
// their ID fields are not set by the caller. Each method may be called from many
// goroutines and returns when the context ends.
type Backend interface {
	// Set returns the configuration in force.
	Set() *declaration.Set
	Apply(context.Context, revision.Apply) (revision.ApplyResult, error)
	Operate(context.Context, revision.OperateRequest) (revision.OperateResult, error)
	Audit(context.Context, revision.AuditRequest) (revision.AuditResult, error)
	Status(context.Context) (Status, error)
}

// Options are the settings of the interface.
type Options struct {
	// FirstToken is the hash of the token that passes as the operator
	// "first-token" while the set in force declares no operator. Zero allows none.
	FirstToken domain.KeyHash
	// Now is the wall clock, for the audit trail.
	Now func() time.Time
}

// FirstTokenOperator is the name under which the first token's changes are recorded.
const FirstTokenOperator = "first-token"

// maxBodyBytes bounds a request's body in bytes.
const maxBodyBytes = 64 << 20

// handler serves the interface.
type handler struct {
	backend Backend
	options Options
}

// New returns the handler of the interface.
func New(backend Backend, options Options) http.Handler {
	h := &handler{backend: backend, options: options}
	router := chi.NewRouter()
	router.Use(h.authenticate)
	router.Get(PathDocuments, h.documents)
	router.Post(PathApply, h.apply)
	router.Put(PathApply, h.apply)
	router.Get(PathShow, h.show)
	router.Get(PathStatus, h.status)
	router.Get(PathAudit, h.audit)
	router.Post(PathOrder, h.order)
	return router
}

type operatorContextKey struct{}

// operatorOf returns the operator who sent an authenticated request.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}

// authenticate lets operators pass. Neither the token nor its hash is logged.
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

// lookupOperator returns the name of the operator whose token the header carries.
func (h *handler) lookupOperator(header string) (string, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	hash := domain.KeyHash(sha256.Sum256([]byte(token)))
	set := h.backend.Set()
	if set.Operators() > 0 {
		return set.Operator(hash)
	}
	first := h.options.FirstToken
	matches := subtle.ConstantTimeCompare(first[:], hash[:]) == 1
	return FirstTokenOperator, matches && first != domain.KeyHash{}
}

// statusRecorder remembers the status of a reply.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(2).InfoS("reply to operator cut", "err", err.Error())
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorReply{Error: message})
}

// writeUnavailable tells that the process could not do its part.
func writeUnavailable(w http.ResponseWriter, step string, err error) {
	klog.ErrorS(err, "operator request failed", "step", step)
	writeError(w, http.StatusServiceUnavailable, step+": the entry did not answer in time")
}

// decodeBody reads a request's body. Unknown fields are an error.
func decodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), "read the request's body")
}
