package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Causes of a cancelled or failed run. Their texts are part of the End message.
var (
	errCancelled        = errors.New("cancelled")
	errIdleTimeout      = errors.New("no event within the silence bound")
	errPlainTimeout     = errors.New("no answer within the timeout")
	errAnswerTooLong    = errors.New("answer too long")
	errIncompleteStream = errors.New("stream ended without its finish")
	errInvalidStatus    = errors.New("status is none of a final answer")
)

// Headers of the protocol between agents and endpoints.
const (
	// requestIDHeader identifies the caller's request. It is the same for all
	// attempts.
	requestIDHeader = "X-Request-Id"
	// notRunHeader is "true" in the response to a rejected request that was not
	// run at all.
	notRunHeader = "X-Not-Run"
)

// runState is the state of one run in progress at the endpoint.
type runState struct {
	client *Client
	run    uint64
	// handOver is the request, as the entry handed it over to the agent.
	handOver *pb.HandOver
	events   Events
	cancel   context.CancelCauseFunc
	// connected is set once the request has a connection. Before that, nothing
	// has been sent.
	connected atomic.Bool
	upload    upload
}

// runEnd has the arguments of Events.End.
type runEnd struct {
	reason       pb.EndReason
	finishReason string
	promptTokens uint32
	answerTokens uint32
	message      string
}

// execute carries out the run and returns its end.
func (x *runState) execute(ctx context.Context) runEnd {
	plain := x.client.options.Kind == domain.ServicePlain
	var end runEnd
	var err error
	if plain {
		end, err = x.runPlain(ctx)
	} else {
		end, err = x.runModel(ctx)
	}
	if err == nil {
		return end
	}
	return x.endWithError(ctx, end, err)
}

// endWithError converts an error to the end of the run. After errors that leave
// the result unknown, it closes the idle connections.
func (x *runState) endWithError(ctx context.Context, end runEnd, err error) runEnd {
	cause := context.Cause(ctx)
	end.reason = pb.EndReason_END_BROKEN
	switch {
	case errors.Is(cause, errCancelled):
		end.reason = pb.EndReason_END_CANCELLED
	case !x.connected.Load():
		end.reason = pb.EndReason_END_NOT_SENT
	case cause != nil:
		err = errors.Wrapf(cause, "run at %s", x.client.options.Address)
	}
	end.message = err.Error()
	klog.V(1).InfoS("run failed", "peer", x.client.options.Address, "request", x.handOver.GetRequestId(),
		"reason", end.reason.String(), "err", err)
	if end.reason == pb.EndReason_END_BROKEN {
		// The other idle connections may be dead as well.
		x.client.pooled.CloseIdleConnections()
	}
	return end
}

// send sends a request exactly once. http.Transport resends a request after a
// failure on a reused connection if it has no body or one that can be rewound.
// singleReadBody and unpooled connections prevent that.
func (x *runState) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.connected.Store(true)
			x.upload.begin(info.Conn)
		},
		WroteRequest: x.upload.end,
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, x.client.url(path), &singleReadBody{unread: body})
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", x.client.options.Address)
	}
	request.ContentLength = int64(len(body))
	x.setHeaders(request.Header)
	transport := x.client.pooled
	useNoBody := len(body) == 0 && sendsEmptyBodyChunked(method)
	if useNoBody {
		// An empty singleReadBody would be sent with chunked encoding. NoBody could
		// be resent on a reused connection, so the request uses a new one.
		request.Body = http.NoBody
	}
	if !x.handOver.GetIdempotent() || useNoBody {
		transport = x.client.unpooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrapf(err, "send to %s", x.client.options.Address)
	}
	if response.StatusCode < http.StatusOK || !endpointconn.ValidStatus(response.StatusCode) {
		_ = response.Body.Close()
		return nil, errors.Wrapf(errInvalidStatus, "status %03d from %s", response.StatusCode, x.client.options.Address)
	}
	return response, nil
}

func (x *runState) setHeaders(h http.Header) {
	for _, header := range x.handOver.GetHeaders() {
		if !isHopByHop(header.GetName()) {
			h.Add(header.GetName(), header.GetValue())
		}
	}
	h.Set(requestIDHeader, x.handOver.GetRequestId())
	if x.client.options.Kind == domain.ServiceModel {
		h.Set("Content-Type", "application/json")
		h.Set("Accept", "text/event-stream")
	}
}

// sendsEmptyBodyChunked reports whether http.Transport sends an empty body of
// unknown length with chunked encoding. For GET, HEAD, DELETE and OPTIONS it
// first reads from the body to see whether it is empty.
func sendsEmptyBodyChunked(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return false
	}
	return true
}

// startTimeout returns a timer that cancels the run with the cause after the
// timeout, unless it is stopped or reset before.
func (x *runState) startTimeout(timeout time.Duration, cause error) *time.Timer {
	return time.AfterFunc(timeout, func() { x.cancel(cause) })
}

// isHopByHop reports whether a header concerns a single connection and must not
// be forwarded.
func isHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// singleReadBody is a request body that can't be rewound, so that http.Transport
// can't resend the request.
type singleReadBody struct{ unread []byte }

// Read implements io.Reader.
func (b *singleReadBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *singleReadBody) Close() error { return nil }
