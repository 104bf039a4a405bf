package callerapi

import (
	"crypto/sha256"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
)

const maxIdempotencyKeyBytes = 128

// exchange is one HTTP request with its response. Routes without authentication
// leave config and account empty.
type exchange struct {
	api     *api
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	id      domain.RequestID
	config  domain.Config
	account domain.AccountID
}

func (a *api) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{
		api:     a,
		w:       w,
		r:       r,
		control: http.NewResponseController(w),
		id:      a.opts.NewRequestID(),
	}
	w.Header().Set(HeaderRequestID, string(x.id))
	return x
}

// authenticate looks up the client account of the bearer key. Only the key's
// hash is passed on, so that the key can't reach a log.
func (x *exchange) authenticate() *apiError {
	x.config = x.api.opts.Config()
	if x.config == nil {
		err := newRejection(http.StatusServiceUnavailable, codeNotConfigured, "no configuration has been received yet")
		err.retryAfter = minRetryAfter
		return err
	}
	lines := x.r.Header.Values("Authorization")
	if len(lines) != 1 {
		return unauthorized("one bearer key is required")
	}
	scheme, key, _ := strings.Cut(lines[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return unauthorized("a bearer key is required")
	}
	account, ok := x.config.AccountByKey(sha256.Sum256([]byte(key)))
	if !ok {
		return unauthorized("the bearer key is not known")
	}
	x.account = account
	return nil
}

func unauthorized(message string) *apiError {
	return newRejection(http.StatusUnauthorized, codeInvalidKey, message)
}

// readBody reads the whole request body, limited in size and time.
func (x *exchange) readBody() ([]byte, *apiError) {
	// The error is ignored: response writers without a connection, such as
	// httptest.ResponseRecorder, don't support deadlines.
	_ = x.control.SetReadDeadline(time.Now().Add(x.api.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.api.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		limit := strconv.FormatInt(tooLarge.Limit, 10)
		return nil, newRejection(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body exceeds "+limit+" bytes")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, newRejection(http.StatusRequestTimeout, entry.CodeInvalidRequest, "the body did not come in time")
	}
	if err != nil {
		return nil, newRejection(http.StatusBadRequest, entry.CodeInvalidRequest, "the body could not be read")
	}
	_ = x.control.SetReadDeadline(time.Time{})
	return body, nil
}

// class returns the requested class, or "" for the account's default class.
func (x *exchange) class() (domain.ClassName, *apiError) {
	class := domain.ClassName(x.r.Header.Get(HeaderClass))
	if class == "" {
		return "", nil
	}
	if _, ok := x.config.Class(x.account, class); !ok {
		return "", newRejection(http.StatusBadRequest, entry.CodeUnknownClass, "the request class is not known")
	}
	return class, nil
}

// idempotencyKey returns the request's idempotency key, or "" if it has none.
func (x *exchange) idempotencyKey() (domain.IdempotencyKey, *apiError) {
	values := x.r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || !isValidIdempotencyKey(values[0]) {
		return "", newRejection(http.StatusBadRequest, entry.CodeInvalidRequest,
			HeaderIdempotencyKey+" has to be 1 to "+strconv.Itoa(maxIdempotencyKeyBytes)+" letters, digits or any of . _ : -")
	}
	return domain.IdempotencyKey(values[0]), nil
}

func isValidIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return false
	}
	for _, c := range []byte(key) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && !strings.ContainsRune("._:-", rune(c)) {
			return false
		}
	}
	return true
}

// newCall returns a call with the fields that chat and plain requests share.
func (x *exchange) newCall() (entry.Call, *apiError) {
	class, err := x.class()
	if err != nil {
		return entry.Call{}, err
	}
	key, err := x.idempotencyKey()
	if err != nil {
		return entry.Call{}, err
	}
	return entry.Call{Request: x.id, Account: x.account, Class: class, Key: key}, nil
}

// submit assigns an ID to a call and starts it. The outputs go to the returned queue. It returns nil if the caller has left.
func (x *exchange) submit(call entry.Call) *outputQueue {
	if hangup.Left(x.r.Context()) {
		return nil
	}
	call.ID = domain.CallID(x.api.lastCallID.Add(1))
	queue := newOutputQueue(call)
	x.api.opts.CallHandler.Submit(call, queue)
	return queue
}

// closeQueue discards the remaining outputs of a call. If the call has not
// ended, it reports that the caller disconnected.
func (x *exchange) closeQueue(queue *outputQueue) {
	if queue.abandon() {
		x.api.opts.CallHandler.CallerDisconnected(queue.call.ID)
	}
}

// writeResponse writes a complete response with the outcome as a header. An
// empty contentType leaves Content-Type as it is.
func (x *exchange) writeResponse(status int, outcome domain.Outcome, contentType string, body []byte) {
	header := x.w.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	header.Set(HeaderOutcome, outcome.String())
	if len(body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.setWriteDeadline()
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

// setWriteDeadline sets the deadline of the next write. Response writers that
// don't support deadlines are left without one.
func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// flush sends buffered response data to the caller.
func (x *exchange) flush() error {
	return x.control.Flush()
}
