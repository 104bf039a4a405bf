package callerapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// Codes of requests rejected before they become calls, in addition to those of
// package entry.
const (
	codeNotFound         entry.Code = "not_found"
	codeMethodNotAllowed entry.Code = "method_not_allowed"
	codeInvalidKey       entry.Code = "invalid_api_key"
	codeBodyTooLarge     entry.Code = "body_too_large"
	codeUnknownModel     entry.Code = "unknown_model"
	codeNotConfigured    entry.Code = "not_configured"
)

// stepParse is the step of errors of requests that are rejected before they become calls.
const stepParse entry.Step = "parse"

// minRetryAfter is the shortest Retry-After sent to a caller.
const minRetryAfter = time.Second

// apiError is an error response.
type apiError struct {
	status      int
	code        entry.Code
	step        entry.Step
	message     string
	outcome     domain.Outcome
	retryAfter  time.Duration // zero for none
	partialText string        // text received before a model answer failed
}

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
	// PartialText is the text received before a non-streamed answer failed.
	PartialText string `json:"partial_text,omitempty"`
}

type errorDetail struct {
	Message    string           `json:"message"`
	Type       string           `json:"type"`
	Code       entry.Code       `json:"code"`
	Step       entry.Step       `json:"step"`
	RequestID  domain.RequestID `json:"request_id"`
	Outcome    string           `json:"outcome"`
	RetryAfter int64            `json:"retry_after,omitempty"` // seconds
}

// newRejection returns the error of a request that is rejected before it becomes a call.
func newRejection(status int, code entry.Code, message string) *apiError {
	return &apiError{
		status:  status,
		code:    code,
		step:    stepParse,
		message: message,
		outcome: domain.OutcomeNotRun,
	}
}

// statusByCode maps the codes of failed calls to HTTP statuses. Other codes have 502.
var statusByCode = map[entry.Code]int{
	entry.CodeUnknownClass:     http.StatusBadRequest,
	entry.CodeUnknownService:   http.StatusNotFound,
	entry.CodeRateLimited:      http.StatusTooManyRequests,
	entry.CodeOverloaded:       http.StatusServiceUnavailable,
	entry.CodeNoEndpoint:       http.StatusServiceUnavailable,
	entry.CodeShuttingDown:     http.StatusServiceUnavailable,
	entry.CodeStoreUnavailable: http.StatusServiceUnavailable,
	entry.CodeCancelled:        http.StatusServiceUnavailable,
	entry.CodeKeyInUse:         http.StatusConflict,
	entry.CodeKeyReused:        http.StatusUnprocessableEntity,
	entry.CodeInvalidRequest:   http.StatusBadRequest,
}

// newCallError returns the error of a call whose outcome is not complete.
func newCallError(end entry.CallerEnd) *apiError {
	e := &apiError{
		code:    end.Failure.Code,
		step:    end.Failure.Step,
		message: end.Failure.Message,
		outcome: end.Outcome,
	}
	if e.message == "" {
		e.message = "the call ended " + end.Outcome.String()
	}
	e.status = callErrorStatus(end)
	switch e.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		e.retryAfter = max(end.RetryAfter, minRetryAfter)
	}
	return e
}

// callErrorStatus returns the HTTP status of a call whose outcome is not
// complete. A call that ran or may have run gets 502 or 504, which are sent
// without Retry-After. The exception is CodeKeyInUse: a retry with the same
// idempotency key does not run the call again.
func callErrorStatus(end entry.CallerEnd) int {
	if end.Failure.Code == entry.CodeKeyInUse {
		return http.StatusConflict
	}
	switch end.Outcome {
	case domain.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case domain.OutcomePartial:
		return http.StatusBadGateway
	}
	if status, ok := statusByCode[end.Failure.Code]; ok {
		return status
	}
	return http.StatusBadGateway
}

// errorType returns the error type that chat-completions clients expect for a status.
func errorType(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	case http.StatusConflict, http.StatusUnprocessableEntity:
		return "idempotency_error"
	}
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "service_error"
}

// body returns the JSON form of the error.
func (e *apiError) body(id domain.RequestID) errorBody {
	return errorBody{
		Error: errorDetail{
			Message:    e.message,
			Type:       errorType(e.status),
			Code:       e.code,
			Step:       e.step,
			RequestID:  id,
			Outcome:    e.outcome.String(),
			RetryAfter: ceilSeconds(e.retryAfter),
		},
		PartialText: e.partialText,
	}
}

// ceilSeconds converts a duration to seconds, rounded up.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// writeError writes an error response. No part of another response may have
// been written.
func (x *exchange) writeError(e *apiError) {
	if e.retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(e.retryAfter), 10))
	}
	x.writeJSON(e.status, e.outcome, e.body(x.id))
}

// writeJSON writes a complete JSON response.
func (x *exchange) writeJSON(status int, outcome domain.Outcome, body any) {
	encoded, err := encodeJSON(body)
	if err != nil {
		encoded = []byte("{}")
		status = http.StatusInternalServerError
	}
	x.writeResponse(status, outcome, "application/json", encoded)
}
