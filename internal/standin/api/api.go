// Package api holds what the stand-ins' HTTP APIs share.
package api

import (
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"
)

// Headers of the endpoints' protocol.
const (
	// RequestIDHeader names the request for the counters.
	RequestIDHeader = "X-Request-Id"
	// NotRunHeader with the value "true" on a refusal proves that nothing was run.
	NotRunHeader = "X-Not-Run"
)

// MaxBodyBytes bounds a request's body.
const MaxBodyBytes = 16 << 20

// ReadJSON decodes the body of a request. It rejects unknown fields when strict.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request, strict bool) (T, error) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if strict {
		decoder.DisallowUnknownFields()
	}
	err := decoder.Decode(&value)
	return value, err
}

// WriteJSON writes a reply.
func WriteJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	err := json.NewEncoder(w).Encode(body)
	if err != nil {
		klog.V(2).InfoS("reply not written", "err", err)
	}
}

// AbortConnection closes the connection of the request in progress without a reply.
func AbortConnection() { panic(http.ErrAbortHandler) }
