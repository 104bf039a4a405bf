package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
)

// maxIdleConns is the maximum number of idle connections kept to each address.
const maxIdleConns = 512

// maxHeadBytes limits the head of an answer, and maxErrorBytes the body of an error or a report. Answers are discarded as they arrive.
const maxHeadBytes, maxErrorBytes = 64 << 10, 1 << 20

// destination is what calls are sent to: the entries or, for a baseline, the
// endpoints. It chooses the URL of each call and sets its headers.
type destination interface {
	// baseURL returns the URL, without path, to send a call to. It may return
	// another URL each time it is invoked.
	baseURL(a *arrival) string
	// plainPath returns the URL path of a call of a plain service.
	plainPath(a *arrival) string
	// setHeaders sets the headers that the destination expects.
	setHeaders(a *arrival, h http.Header)
}

// sender sends calls and reads their answers. It is safe for concurrent use.
type sender struct {
	destination destination
	client      *http.Client
	start       time.Time // of the run; set before the first call
	seed        uint64
}

func newSender(d destination, seed uint64) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeadBytes}
	return &sender{destination: d, client: &http.Client{Transport: transport}, seed: seed}
}

// elapsed returns the time since the start of the run.
func (s *sender) elapsed() time.Duration { return time.Since(s.start) }

// send makes one call and returns its result. A call that is incomplete when the
// context ends is unfinished.
func (s *sender) send(ctx context.Context, a *arrival) result {
	r := result{arrival: a, outcome: outcomeUnknown}
	request, err := s.request(ctx, a)
	if err != nil {
		r.outcome = outcomeNotRun
		return r
	}
	r.requestID = request.Header.Get(api.RequestIDHeader)
	response, err := s.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		s.readResponse(response, &r)
	}
	if r.outcome != outcomeComplete && ctx.Err() != nil {
		r.outcome = outcomeUnfinished
	}
	r.endedAt = s.elapsed()
	return r
}

// request builds the HTTP request of a call.
func (s *sender) request(ctx context.Context, a *arrival) (*http.Request, error) {
	url := s.destination.baseURL(a) + "/v1/chat/completions"
	body, err := json.Marshal(chat.Request{
		Model: string(a.source.model), Messages: a.messages, MaxTokens: maxAnswerTokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	if a.source.model == "" {
		url = s.destination.baseURL(a) + s.destination.plainPath(a)
		body = fmt.Appendf(nil, "call %d", a.index)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	if a.source.model != "" {
		request.Header.Set("Content-Type", "application/json")
	} else if !a.source.class.Idempotent {
		request.Header.Set(service.OrderHeader, s.executionKey(a))
	}
	s.destination.setHeaders(a, request.Header)
	return request, nil
}

// executionKey identifies a non-idempotent call in the counters of plain services.
func (s *sender) executionKey(a *arrival) string { return fmt.Sprintf("load-%d-%d", s.seed, a.index) }

// readResponse reads a response into a result.
func (s *sender) readResponse(response *http.Response, r *result) {
	id := response.Header.Get(callerapi.HeaderRequestID)
	if id != "" {
		r.requestID = id
	}
	switch {
	case response.StatusCode != http.StatusOK:
		s.readError(response, r)
	case r.arrival.source.model == "":
		s.readPlain(response, r)
	default:
		s.readStream(response, r)
	}
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// readError sets the error code and outcome from an error response. The outcome is
// unchanged if no header names it.
func (s *sender) readError(response *http.Response, r *result) {
	var body errorBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err == nil {
		r.code = body.Error.Code
	}
	outcome := response.Header.Get(callerapi.HeaderOutcome)
	switch {
	case outcome != "":
		r.outcome = outcome
	case response.Header.Get(api.NotRunHeader) == "true":
		r.outcome = outcomeNotRun
	}
}

// readPlain reads the answer of a plain service. The outcome is unchanged if reading
// fails.
func (s *sender) readPlain(response *http.Response, r *result) {
	_, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return
	}
	r.firstTokenAt = s.elapsed()
	r.outcome = outcomeComplete
	outcome := response.Header.Get(callerapi.HeaderOutcome)
	if outcome != "" {
		r.outcome = outcome
	}
}

// readStream reads a streamed answer of a model. Entries send the outcome as a
// trailer. An answer directly from an engine, without that trailer, is complete if
// it has a finish reason and the final event.
func (s *sender) readStream(response *http.Response, r *result) {
	events := chat.NewEventReader(response.Body)
	var text strings.Builder
	finished, done := false, false
	for {
		data, err := events.Next()
		if err != nil {
			break
		}
		if string(data) == chat.Done {
			done = true
			continue
		}
		var chunk chat.Chunk
		if json.Unmarshal(data, &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" && text.Len() == 0 {
				r.firstTokenAt = s.elapsed()
			}
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
		var body errorBody
		if chunk.Error != nil && json.Unmarshal(data, &body) == nil {
			r.code = body.Error.Code
		}
	}
	r.text = text.String()
	outcome := response.Trailer.Get(callerapi.HeaderOutcome)
	switch {
	case outcome != "":
		r.outcome = outcome
	case finished && done:
		r.outcome = outcomeComplete
	case r.text != "":
		r.outcome = outcomePartial
	}
}
