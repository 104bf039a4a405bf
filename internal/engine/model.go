package engine

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// completionsPath is the path of a model engine's chat completions.
const completionsPath = "/v1/chat/completions"

// maxErrorBytes limits how much of an error response's body is read.
const maxErrorBytes = 4 << 10

// runModel runs a request to a model engine and streams its answer.
func (x *runState) runModel(ctx context.Context) (runEnd, error) {
	body, err := modelRequestBody(x.handOver)
	if err != nil {
		return runEnd{reason: pb.EndReason_END_INVALID, message: err.Error()}, nil
	}
	timer := x.startTimeout(x.client.options.IdleTimeout, errIdleTimeout)
	defer timer.Stop()
	response, err := x.send(ctx, http.MethodPost, completionsPath, body)
	if err != nil {
		return runEnd{}, err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusOK:
		return x.readStream(response.Body, timer)
	case confirmsNotRun(response):
		return x.rejectedEnd(response), nil
	case isInvalidRequestStatus(response.StatusCode):
		end := x.rejectedEnd(response)
		end.reason = pb.EndReason_END_INVALID
		return end, nil
	default:
		return runEnd{}, errors.Newf("status %d from %s: %s", response.StatusCode, x.client.options.Address, errorMessage(response.Body))
	}
}

// isInvalidRequestStatus reports whether a status means that the request itself
// is invalid, so that it would fail at any endpoint.
func isInvalidRequestStatus(status int) bool {
	if status == http.StatusRequestTimeout || status == http.StatusTooEarly || status == http.StatusTooManyRequests {
		return false
	}
	return status >= 400 && status < 500
}

// rejectedEnd returns the end of a run that the endpoint rejected without running
// it. The caller replaces the reason if the request was invalid.
func (x *runState) rejectedEnd(r *http.Response) runEnd {
	err := errors.Newf("status %d from %s: %s", r.StatusCode, x.client.options.Address, errorMessage(r.Body))
	return runEnd{reason: pb.EndReason_END_REFUSED, message: err.Error()}
}

// readStream reports the text of a stream as Data events. The answer is complete
// after a finish reason and the closing event. Each event resets the timer.
func (x *runState) readStream(body io.Reader, timer *time.Timer) (runEnd, error) {
	events := chat.NewEventReader(body)
	var s streamState
	total := int64(0)
	for {
		data, err := events.Next()
		if err == io.EOF {
			return s.end(), errors.Wrapf(errIncompleteStream, "stream of %s", x.client.options.Address)
		}
		if err != nil {
			return s.end(), errors.Wrapf(err, "stream of %s", x.client.options.Address)
		}
		timer.Reset(x.client.options.IdleTimeout)
		text, done, err := s.addEvent(data)
		if err != nil {
			return s.end(), errors.Wrapf(err, "stream of %s", x.client.options.Address)
		}
		total += int64(len(text))
		if total > x.client.options.MaxAnswerBytes {
			return s.end(), errors.Wrapf(errAnswerTooLong, "stream of %s", x.client.options.Address)
		}
		if text != "" {
			x.events.Data(x.run, []byte(text), 1)
		}
		if done {
			end := s.end()
			end.reason = pb.EndReason_END_COMPLETE
			return end, nil
		}
	}
}

// streamState is the state of reading a model engine's stream.
type streamState struct {
	lastFinishReason string
	tokens           uint32
	usage            *chat.Usage
}

// addEvent processes the data of one event. It returns the text that the event
// adds to the answer, and whether the stream is complete. Each event with text
// counts as one token.
func (s *streamState) addEvent(data []byte) (text string, done bool, err error) {
	if string(data) == chat.Done {
		if s.lastFinishReason == "" {
			return "", false, errIncompleteStream
		}
		return "", true, nil
	}
	var chunk chat.Chunk
	err = json.Unmarshal(data, &chunk)
	if err != nil {
		return "", false, errors.Wrap(err, "decode event")
	}
	if chunk.Error != nil {
		return "", false, errors.Newf("engine error: %s", chunk.Error.Message)
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			continue
		}
		text += choice.Delta.Content
		if choice.FinishReason != "" {
			s.lastFinishReason = choice.FinishReason
		}
	}
	if text != "" {
		s.tokens++
	}
	return text, false, nil
}

// end returns the end of the run without its reason. The engine's usage takes
// precedence over the counted tokens.
func (s *streamState) end() runEnd {
	end := runEnd{finishReason: s.lastFinishReason, answerTokens: s.tokens}
	if s.usage != nil {
		end.promptTokens = s.usage.PromptTokens
		end.answerTokens = s.usage.CompletionTokens
	}
	return end
}

// requestFields are the fields of a caller's request. Fields that
// modelRequestBody does not set or delete are sent to the engine unchanged.
type requestFields map[string]json.RawMessage

// streamOptions requests the token usage at the end of the stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// modelRequestBody returns the body of the engine's request: the caller's
// request with streaming, the tier as priority, and the part of the answer that
// an earlier attempt delivered. A caller can't set the resume fields itself.
func modelRequestBody(h *pb.HandOver) ([]byte, error) {
	var fields requestFields
	err := json.Unmarshal(h.GetBody(), &fields)
	if err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	if fields == nil {
		return nil, errors.New("decode request: not an object")
	}
	setField(fields, "stream", true)
	setField(fields, "stream_options", streamOptions{IncludeUsage: true})
	setField(fields, "priority", h.GetTier())
	if h.GetModel() != "" {
		setField(fields, "model", h.GetModel())
	}
	if h.GetMaxTokens() > 0 {
		setField(fields, "max_tokens", h.GetMaxTokens())
	}
	delete(fields, "resume_text")
	delete(fields, "resume_tokens")
	if h.GetResumeText() != "" {
		setField(fields, "resume_text", h.GetResumeText())
		setField(fields, "resume_tokens", h.GetResumeTokens())
	}
	return json.Marshal(fields)
}

// setField sets a field. JSON encoding can't fail for the allowed types.
func setField[T bool | string | uint32 | streamOptions](fields requestFields, name string, value T) {
	raw, err := json.Marshal(value)
	if err == nil {
		fields[name] = raw
	}
}

// errorMessage returns the message of a chat-completions error, or else the
// start of the body.
func errorMessage(body io.Reader) string {
	data, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	var parsed chat.ErrorBody
	err := json.Unmarshal(data, &parsed)
	if err == nil && parsed.Error.Message != "" {
		return parsed.Error.Message
	}
	return string(data)
}

func sortedHeaderNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
