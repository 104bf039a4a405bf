package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// Request is what the headers of a caller's request say.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Patience is how long the caller waits from now; zero if it doesn't say.
	Patience time.Duration
	// Key is the caller's key.
	Key string
	// Output is the most tokens that the answer may have.
	Output int
	// Expected is the tokens that the caller expects; 0 if it doesn't say.
	Expected int
	// Parts are the parts of the prompt.
	Parts []placement.Part
	// After is the last event that the caller has of a stream that goes on.
	After string
}

// Outgoing is what a request tells an endpoint beside the caller's own words.
type Outgoing struct {
	Endpoint string
	Account  string
	// Left is the time in which an answer is useful.
	Left time.Duration
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// After is the last event that was forwarded of a stream that goes on.
	After string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// Signed answers carry the endpoint's signature.
	Signed bool
	// NotRun means that the endpoint says it did not and will not run the request.
	NotRun bool
	// Misdirected means that another endpoint has the address.
	Misdirected bool
	// Load is the endpoint's load, nil if it doesn't say.
	Load *placement.Load
}

// Dialect translates the headers of callers and endpoints.
type Dialect interface {
	// ReadRequest decodes the headers of a caller's request.
	ReadRequest(r *http.Request) Request
	// WriteRequest writes the request for an endpoint, with its body.
	WriteRequest(b *bytes.Buffer, r *http.Request, body []byte, out Outgoing)
	// ReadAnswer decodes the head of an endpoint's answer.
	ReadAnswer(status int, h http.Header) Answer
	// Owns reports whether an answer belongs to a request.
	Owns(id string, h http.Header) bool
	// CopyAnswer copies the headers of an answer that the caller gets.
	CopyAnswer(to, from http.Header)
}

// Source feeds the configuration and the registry of endpoints until the
// context ends.
type Source interface {
	Run(ctx context.Context, sink Sink)
}

// Sink takes what a Source learns. Readings are of a clock that goes on while
// the host is suspended.
type Sink interface {
	// Configuration takes a configuration.
	Configuration(c *routing.Config)
	// Confirmed notes that the last configuration was the newest at a time.
	Confirmed(at time.Duration)
	// Endpoint takes what the registry says of an endpoint.
	Endpoint(e placement.Endpoint)
	// Gone takes an endpoint that the registry has no entry of.
	Gone(id string)
	// EndpointsKnown tells that the registry is known up to now.
	EndpointsKnown()
	// RegistryLost tells that the registry can't be read.
	RegistryLost(err error)
}
