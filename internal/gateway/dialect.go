package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// Request holds the decoded headers of a caller's request.
type Request struct {
	// ID identifies one request of the caller; a caller's retry is another. All
	// attempts of the gateway to answer the request have the same ID.
	ID string
	// CallerTimeout is how long the caller waits for the answer, from the arrival
	// of the request; zero if the caller gave no timeout.
	CallerTimeout time.Duration
	// Key is the API key of the client account.
	Key string
	// MaxTokens is the maximum number of tokens in the answer; 0 if the caller gave none.
	MaxTokens int
	// ExpectedTokens is the caller's estimate of the tokens in the answer; 0 if it gave none.
	ExpectedTokens int
	// Parts are the parts of the prompt, in order; empty for plain services.
	Parts []placement.Part
	// LastEventID is the ID of the last event that the caller received, if it
	// resumes a stream; empty for a new stream.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that the
	// caller takes up; empty for a new stream, or if the caller doesn't name it.
	Resumes string
}

// ForwardMetadata is what the gateway adds to a request that it forwards.
type ForwardMetadata struct {
	Endpoint string
	Account  string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	// FetchFrom is the address of the endpoint from which the receiving one copies
	// cached parts of the prompt; the zero value for none.
	FetchFrom netip.AddrPort
	// LastEventID is the ID of the last event forwarded to the caller; empty
	// unless an earlier attempt forwarded events.
	LastEventID string
}

// Answer holds the decoded headers of an endpoint's answer.
type Answer struct {
	// Signature is the endpoint's signature of the answer; empty if it has none. It
	// need not be verified. A 2xx answer without one counts as failed.
	Signature string
	// NotRun means that the endpoint did not run the request and will not run it.
	NotRun bool
	// Misdirected means that the endpoint at the address is not the one the
	// request was meant for.
	Misdirected bool
	// ReportedLoad is the endpoint's load; nil if the answer has none.
	ReportedLoad *placement.ReportedLoad
	// RequestLimit is the number of requests per second that the endpoint takes from all
	// gateways together: +Inf if it names no limit, NaN if what it names is invalid.
	RequestLimit float64
	// Leaving means that the endpoint has said that it leaves: it takes no further requests.
	Leaving bool
	// Pause is how long an endpoint that refuses the request wants no other one from this gateway;
	// 0 if it names none, negative if what it names is invalid.
	Pause time.Duration
}

// Dialect encodes and decodes the headers that callers and endpoints use.
type Dialect interface {
	// ReadRequest decodes the headers of a caller's request.
	ReadRequest(r *http.Request) Request
	// WriteRequest writes the head of the request to an endpoint, with the size of its body.
	WriteRequest(b *bytes.Buffer, r *http.Request, bodySize int64, metadata ForwardMetadata)
	// ReadAnswer decodes the headers of an endpoint's answer.
	ReadAnswer(status int, h http.Header) Answer
	// MatchesRequest reports whether an answer belongs to the request with an ID.
	MatchesRequest(id string, h http.Header) bool
	// CopyAnswerHeaders copies the headers of an endpoint's answer that are
	// forwarded to the caller.
	CopyAnswerHeaders(dst, src http.Header)
	// ReportRequest returns the bytes of a request by which an endpoint says when it has started.
	ReportRequest() []byte
	// ReadReport decodes the answer: the Unix time of the start in milliseconds.
	ReadReport(body []byte) (int64, error)
}

// Source follows the configuration and the endpoint registry and reports their
// changes to a sink until the context ends.
type Source interface {
	Run(ctx context.Context, sink Sink)
	// Confirm asks the store now whether the configuration is the newest. The answer
	// reaches the sink as usual.
	Confirm()
	// Refresh abandons the current wait for changes of the configuration and asks for
	// them again.
	Refresh()
	// ConfirmRegistry asks the store now for changes of the registry. The answer reaches the sink as usual.
	ConfirmRegistry()
	// SetRegistryRole sets how this process learns of changes of the registry.
	SetRegistryRole(registryrelay.Role)
	// RegistryConfirmed reports that a peer had the newest registry, and the version of it, at a boot-clock time.
	RegistryConfirmed(c confirmation.Confirmation, at time.Duration)
	// ApplyRegistry applies changes of the registry that a peer hands on.
	ApplyRegistry(changes registryrelay.Changes)
}

// Sink receives what a Source reads. Times are boot-clock times, which include
// the time that the host was suspended.
type Sink interface {
	// ConfigurationRead applies a configuration if it is newer than the current one.
	ConfigurationRead(c *routing.Config)
	// ConfigurationRestored reports that the store came back from a copy, in which the
	// configuration may be older than the current one. The configuration of the copy
	// follows.
	ConfigurationRestored()
	// StoreAnswered records the reading of the store's clock in its answer to a request
	// that was sent at a time.
	StoreAnswered(sentAt time.Duration, reading confirmation.StoreTime)
	// ConfigurationConfirmed records that the last configuration was still the newest at
	// a time, and the reading of the store's clock then; zero if it is not known.
	ConfigurationConfirmed(at time.Duration, reading confirmation.StoreTime)
	// Endpoint adds or updates an endpoint.
	Endpoint(e placement.Endpoint)
	// EndpointRestored adds or updates an endpoint by an entry of a copy from which the
	// store came back. The entry may be older than what was reported before.
	EndpointRestored(e placement.Endpoint)
	// RegistryRestored reports that the store came back from a copy, in which entries may
	// be missing. Calls of EndpointRestored and EndpointRemoved follow.
	RegistryRestored()
	// EntriesUnseen reports that entries may have come and gone since the last RegistryConfirmed that were never read.
	EntriesUnseen()
	// EndpointRemoved reports that an endpoint has no valid registry entry any more.
	EndpointRemoved(id string)
	// RegistryConfirmed reports that all registry entries up to now have been applied, and which version of the registry
	// was the newest at which reading of the store's clock; zero if that is not known.
	RegistryConfirmed(c confirmation.Confirmation)
	// RegistryChanged reports changes of the registry that the store has told this process. Calls of Endpoint and EndpointRemoved
	// have applied them.
	RegistryChanged(changes registryrelay.Changes)
	// RegistryLost reports that the registry can't be read.
	RegistryLost(err error)
}
