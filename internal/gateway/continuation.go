package gateway

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// errNotContinued means that what an endpoint sends does not go on with a stream that has begun.
var errNotContinued = errors.New("no continuation of the stream")

// isContinuation reports whether an answer goes on with the stream whose head was sent: it is a stream of the same media type. Its signature
// has been checked.
func (c *call) isContinuation(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && mediaTypeOf(response.Header) == c.mediaType
}

// leaveContinuation ends an attempt at a stream that has begun, of which no part of the answer may be forwarded.
func (a *attempt) leaveContinuation(response *http.Response) (attemptEnd, placement.Result, *endpointconn.CompletedAnswer) {
	a.call.cause = "status " + strconv.Itoa(response.StatusCode) + " does not continue the stream"
	if response.StatusCode/100 == 4 {
		// The request is at fault, not the endpoint.
		return attemptFailed, placement.ResultCancelled, nil
	}
	return attemptFailed, placement.ResultFailed, nil
}

// mediaTypeOf returns the media type of an answer; empty if it names none.
func mediaTypeOf(h http.Header) string {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return mediaType
}

// checkOrder returns an error if the first events of a continuation are not later than the last one that the caller has.
func (s *eventStream) checkOrder(events []byte) error {
	if !s.continues {
		return nil
	}
	s.continues = false
	after, err := strconv.ParseUint(s.attempt.call.lastEventID, 10, 64)
	if err != nil {
		return nil //nolint:nilerr // identifiers that are no numbers have no order
	}
	first, err := strconv.ParseUint(findFirstEventID(events), 10, 64)
	if err == nil && first <= after {
		return errors.Wrapf(errNotContinued, "step=read stream peer=%s: event %d after event %d", s.attempt.key.Address, first, after)
	}
	return nil
}

// findFirstEventID returns the ID of the first event that has one, or "".
func findFirstEventID(events []byte) string {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}
