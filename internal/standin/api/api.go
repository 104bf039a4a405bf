// Package api holds the headers and the JSON helpers that the HTTP APIs of the
// stand-ins share. It keeps no state. The stand-ins and the load generator use it.
package api

import (
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"
)

// Headers of the protocol between agents and endpoints.
const (
	// RequestIDHeader carries the request ID under which executions are counted.
	RequestIDHeader = "X-Request-Id"
	// NotRunHeader is set to "true" on an error response to a request that was not executed.
	NotRunHeader = "X-Not-Run"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 16 << 20

// ReadJSON decodes the body of a request, which is limited to MaxBodyBytes. With
// strict set, an unknown field is an error.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request, strict bool) (T, error) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if strict {
		decoder.DisallowUnknownFields()
	}
	err := decoder.Decode(&value)
	return value, err
}

// WriteJSON writes a response with a JSON body. A write error is only logged:
// the client has closed the connection.
func WriteJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	err := json.NewEncoder(w).Encode(body)
	if err != nil {
		klog.V(2).InfoS("response not written", "err", err)
	}
}

// AbortConnection closes the connection of the current request without a
// response. It panics with http.ErrAbortHandler and so must be called from the
// handler's goroutine.
func AbortConnection() { panic(http.ErrAbortHandler) }
