package callerapi

import (
	"bytes"
	"net/http"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// The events of a stream besides its plain data.
const (
	eventOutcome = "outcome"
	eventError   = "error"
	endOfStream  = "[DONE]"
)

// outcomeChunk is the data of the outcome event: a chunk without choices, as
// client libraries take the data of each event for a chunk.
type outcomeChunk struct {
	chatCompletion
	Outcome   string           `json:"outcome"`
	RequestID domain.RequestID `json:"request_id"`
}

// chatStream writes a streamed answer as server-sent events. The head is sent
// with the first output, so that a call which fails before has its own status.
type chatStream struct {
	x       *exchange
	req     *chatRequest
	begun   bool
	hasRole bool
	// rest holds the start of a character whose other bytes have not come yet.
	rest []byte
}

// streamChat answers with server-sent events while the call runs.
func (x *exchange) streamChat(req *chatRequest, ans *answer) *apiError {
	s := &chatStream{x: x, req: req}
	for {
		outputs, err := ans.next(x.r.Context(), x.api.opts.PingInterval)
		if errors.Is(err, errQuiet) {
			err = s.ping()
		}
		if err != nil {
			return nil
		}
		for _, out := range outputs {
			switch out := out.(type) {
			case entry.CallerData:
				err = s.data(out.Data)
			case entry.CallerEnd:
				return s.end(out)
			}
			if err != nil {
				return nil
			}
		}
		if err := s.flush(); err != nil {
			return nil
		}
	}
}

// begin sends the head, once.
func (s *chatStream) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", HeaderOutcome+", "+HeaderRequestID)
	s.x.setWriteDeadline()
	s.x.w.WriteHeader(http.StatusOK)
}

// flush sends what has been written, if anything has.
func (s *chatStream) flush() error {
	if !s.begun {
		return nil
	}
	return s.x.flush()
}

// ping writes a comment, so that a connection which has gone silent is noticed.
func (s *chatStream) ping() error {
	return s.write([]byte(": ping\n\n"))
}

// data writes a chunk with the whole characters of the text.
func (s *chatStream) data(data []byte) error {
	text := append(s.rest, data...)
	cut := wholeRunes(text)
	s.rest = bytes.Clone(text[cut:])
	if cut == 0 {
		return nil
	}
	return s.text(string(text[:cut]))
}

// text writes a chunk.
func (s *chatStream) text(text string) error {
	delta := &chatDelta{Content: text}
	if !s.hasRole {
		s.hasRole = true
		delta.Role = roleAssistant
	}
	return s.event("", s.x.completion(s.req, objectChunk, chatChoice{Delta: delta}))
}

// end writes the last events and the trailers. A call that failed before the
// head was sent is returned as an error instead.
func (s *chatStream) end(end entry.CallerEnd) *apiError {
	if end.Outcome != domain.OutcomeComplete && !s.begun {
		return failed(end)
	}
	if len(s.rest) > 0 {
		_ = s.text(string(s.rest))
	}
	var err error
	if end.Outcome == domain.OutcomeComplete {
		err = s.complete(end)
	} else {
		err = s.event(eventError, failed(end).body(s.x.id))
	}
	if err == nil {
		chunk := s.x.completion(s.req, objectChunk, chatChoice{})
		chunk.Choices = []chatChoice{}
		err = s.event(eventOutcome, outcomeChunk{chatCompletion: chunk, Outcome: end.Outcome.String(), RequestID: s.x.id})
	}
	if err == nil && end.Outcome == domain.OutcomeComplete {
		err = s.write([]byte("data: " + endOfStream + "\n\n"))
	}
	if err == nil {
		s.x.w.Header().Set(HeaderOutcome, end.Outcome.String())
		_ = s.flush()
	}
	return nil
}

// complete writes the chunk with the finish reason, and the usage where asked for.
func (s *chatStream) complete(end entry.CallerEnd) error {
	last := s.x.completion(s.req, objectChunk, chatChoice{Delta: &chatDelta{}, FinishReason: &end.FinishReason})
	if err := s.event("", last); err != nil {
		return err
	}
	if s.req.StreamOptions == nil || !s.req.StreamOptions.IncludeUsage {
		return nil
	}
	usage := s.x.completion(s.req, objectChunk, chatChoice{})
	usage.Choices = []chatChoice{}
	usage.Usage = usageOf(end)
	return s.event("", usage)
}

// event writes one server-sent event. An empty name stands for plain data.
func (s *chatStream) event(name string, body any) error {
	encoded, err := encodeJSON(body)
	if err != nil {
		return err
	}
	var event bytes.Buffer
	if name != "" {
		event.WriteString("event: " + name + "\n")
	}
	event.WriteString("data: ")
	event.Write(encoded)
	event.WriteString("\n\n")
	return s.write(event.Bytes())
}

func (s *chatStream) write(data []byte) error {
	s.begin()
	s.x.setWriteDeadline()
	_, err := s.x.w.Write(data)
	return err
}

// wholeRunes returns the length of text without an unfinished character at its end.
func wholeRunes(text []byte) int {
	for back := 1; back < utf8.UTFMax && back <= len(text); back++ {
		start := len(text) - back
		if utf8.RuneStart(text[start]) {
			if utf8.FullRune(text[start:]) {
				return len(text)
			}
			return start
		}
	}
	return len(text)
}
