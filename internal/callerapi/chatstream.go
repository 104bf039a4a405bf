package callerapi

import (
	"bytes"
	"net/http"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// Names of server-sent events other than chunks, and the data that ends a stream.
const (
	eventOutcome = "outcome"
	eventError   = "error"
	endOfStream  = "[DONE]"
)

// outcomeChunk is the data of the outcome event. It is a chunk without choices,
// as client libraries parse the data of every event as a chunk.
type outcomeChunk struct {
	chatCompletion
	Outcome   string           `json:"outcome"`
	RequestID domain.RequestID `json:"request_id"`
}

// chatStream writes a streamed answer as server-sent events. The head is
// written with the first event or ping, so that a call that fails before any event
// or ping was written is answered with an error status.
type chatStream struct {
	x           *exchange
	req         *chatRequest
	headWritten bool
	roleSent    bool
	// incompleteRune is the start of a UTF-8 character that was split between the
	// last output and the next one.
	incompleteRune []byte
}

// streamChat writes the outputs of a call as server-sent events until the call
// ends or the caller disconnects.
func (x *exchange) streamChat(req *chatRequest, queue *outputQueue) *apiError {
	s := &chatStream{x: x, req: req}
	for {
		outputs, err := queue.next(x.r.Context(), x.api.opts.PingInterval)
		if errors.Is(err, errIdle) {
			err = s.ping()
		}
		if err != nil {
			return nil
		}
		for _, out := range outputs {
			switch out := out.(type) {
			case entry.CallerData:
				err = s.output(out.Data)
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

// writeHead writes the status and headers if it has not yet done so.
func (s *chatStream) writeHead() {
	if s.headWritten {
		return
	}
	s.headWritten = true
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", HeaderOutcome+", "+HeaderRequestID)
	s.x.setWriteDeadline()
	s.x.w.WriteHeader(http.StatusOK)
}

// flush sends buffered events. It does nothing before the head is written.
func (s *chatStream) flush() error {
	if !s.headWritten {
		return nil
	}
	return s.x.flush()
}

// ping writes an SSE comment, so that a dead connection is detected by a failed write.
func (s *chatStream) ping() error {
	return s.write([]byte(": ping\n\n"))
}

// output writes a chunk with the complete characters of the output, which may
// end within a character. The rest is kept for the next chunk.
func (s *chatStream) output(output []byte) error {
	text := append(s.incompleteRune, output...)
	end := completeRunesLen(text)
	s.incompleteRune = bytes.Clone(text[end:])
	if end == 0 {
		return nil
	}
	return s.text(string(text[:end]))
}

// text writes a chunk with the text. The first chunk also has the role.
func (s *chatStream) text(text string) error {
	delta := &chatDelta{Content: text}
	if !s.roleSent {
		s.roleSent = true
		delta.Role = roleAssistant
	}
	return s.event("", s.x.newCompletion(s.req, objectChunk, chatChoice{Delta: delta}))
}

// end writes the last events and the trailers. If the call failed before the
// head was written, it returns the error and writes nothing.
func (s *chatStream) end(end entry.CallerEnd) *apiError {
	if end.Outcome != domain.OutcomeComplete && !s.headWritten {
		return newCallError(end)
	}
	if len(s.incompleteRune) > 0 {
		_ = s.text(string(s.incompleteRune))
	}
	var err error
	if end.Outcome == domain.OutcomeComplete {
		err = s.writeFinishReason(end)
	} else {
		err = s.event(eventError, newCallError(end).body(s.x.id))
	}
	if err == nil {
		chunk := s.x.newCompletion(s.req, objectChunk, chatChoice{})
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

// writeFinishReason writes a chunk with the finish reason and, if requested, one
// with the token usage.
func (s *chatStream) writeFinishReason(end entry.CallerEnd) error {
	last := s.x.newCompletion(s.req, objectChunk, chatChoice{Delta: &chatDelta{}, FinishReason: &end.FinishReason})
	if err := s.event("", last); err != nil {
		return err
	}
	if s.req.StreamOptions == nil || !s.req.StreamOptions.IncludeUsage {
		return nil
	}
	usage := s.x.newCompletion(s.req, objectChunk, chatChoice{})
	usage.Choices = []chatChoice{}
	usage.Usage = newUsage(end)
	return s.event("", usage)
}

// event writes one server-sent event. Chunks have an empty name, which is left out.
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
	s.writeHead()
	s.x.setWriteDeadline()
	_, err := s.x.w.Write(data)
	return err
}

// completeRunesLen returns the length of text without an incomplete UTF-8
// sequence at its end.
func completeRunesLen(text []byte) int {
	for tail := 1; tail < utf8.UTFMax && tail <= len(text); tail++ {
		start := len(text) - tail
		if utf8.RuneStart(text[start]) {
			if utf8.FullRune(text[start:]) {
				return len(text)
			}
			return start
		}
	}
	return len(text)
}
