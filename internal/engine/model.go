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

// completionsPath is where a model engine takes requests.
const completionsPath = "/v1/chat/completions"

// maxErrorBytes bounds what is read of an engine's error body.
const maxErrorBytes = 4 << 10

// runModel runs a request to a model engine and streams its answer.
func (x *execution) runModel(ctx context.Context) (runEnd, error) {
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
		return x.refusal(response), nil
	case isInvalidRequestStatus(response.StatusCode):
		end := x.refusal(response)
		end.reason = pb.EndReason_END_INVALID
		return end, nil
	default:
		return runEnd{}, errors.Newf("status %d from %s: %s", response.StatusCode, x.client.options.Address, errorMessage(response.Body))
	}
}

// isInvalidRequestStatus reports whether a status finds fault with the request itself.
func isInvalidRequestStatus(status int) bool {
	if status == http.StatusRequestTimeout || status == http.StatusTooEarly || status == http.StatusTooManyRequests {
		return false
	}
	return status >= 400 && status < 500
}

// refusal is the end of a run that the endpoint refused before running it.
func (x *execution) refusal(r *http.Response) runEnd {
	err := errors.Newf("status %d from %s: %s", r.StatusCode, x.client.options.Address, errorMessage(r.Body))
	return runEnd{reason: pb.EndReason_END_REFUSED, message: err.Error()}
}

// readStream passes the text of a stream on. The stream is whole once it had
// its finish reason and its closing event.
func (x *execution) readStream(body io.Reader, timer *time.Timer) (runEnd, error) {
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

// streamState is what has been read of a model engine's stream.
type streamState struct {
	stopReason string
	tokens     uint32
	usage      *chat.Usage
}

// addEvent takes the data of one event. It returns the text that it adds, and
// whether the stream is whole.
func (s *streamState) addEvent(data []byte) (text string, done bool, err error) {
	if string(data) == chat.Done {
		if s.stopReason == "" {
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
			s.stopReason = choice.FinishReason
		}
	}
	if text != "" {
		s.tokens++
	}
	return text, false, nil
}

func (s *streamState) end() runEnd {
	end := runEnd{finishReason: s.stopReason, answerTokens: s.tokens}
	if s.usage != nil {
		end.promptTokens = s.usage.PromptTokens
		end.answerTokens = s.usage.CompletionTokens
	}
	return end
}

// requestFields are the fields of a caller's request. Those that the router
// does not know are passed on as they are.
type requestFields map[string]json.RawMessage

// streamOptions asks for the usage at the end of the stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// modelRequestBody is the request for the engine: the caller's, streamed, with its
// priority and with what was delivered before.
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

// setField sets a field to a value of a type that always encodes.
func setField[T bool | string | uint32 | streamOptions](fields requestFields, name string, value T) {
	raw, err := json.Marshal(value)
	if err == nil {
		fields[name] = raw
	}
}

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
