package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
)

// completionWriter writes the response to one completion request.
type completionWriter struct {
	engine  *Engine
	id      string
	model   string
	created int64
	job     *job
}

// writeStream writes each token as a server-sent event as soon as it is computed.
func (p *completionWriter) writeStream(w http.ResponseWriter, r *http.Request) {
	if !p.engine.waitResponsesAllowed(r.Context(), p.job) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	sent := uint32(0)
	for {
		select {
		case <-r.Context().Done():
			return
		case token, ok := <-p.job.output:
			if !p.engine.waitResponsesAllowed(r.Context(), p.job) {
				return
			}
			if !ok {
				p.writeStreamEnd(w, sent)
				return
			}
			sent++
			p.writeChunk(w, chat.ChunkChoice{Delta: chat.Delta{Content: token}}, nil)
			_ = controller.Flush()
		}
	}
}

// writeStreamEnd writes the finish reason, the token usage and the end marker. If
// the job has not finished, it aborts the connection instead.
func (p *completionWriter) writeStreamEnd(w http.ResponseWriter, sent uint32) {
	if p.job.execution.End != EndFinished {
		api.AbortConnection()
	}
	p.writeChunk(w, chat.ChunkChoice{FinishReason: p.job.finishReason}, nil)
	usage := p.usage(sent)
	p.writeChunk(w, chat.ChunkChoice{}, &usage)
	fmt.Fprintf(w, "data: %s\n\n", chat.Done)
}

// writeChunk writes one event. A chunk with usage has no choices.
func (p *completionWriter) writeChunk(w http.ResponseWriter, choice chat.ChunkChoice, usage *chat.Usage) {
	chunk := chat.Chunk{
		ID:      p.id,
		Object:  "chat.completion.chunk",
		Created: p.created,
		Model:   p.model,
		Choices: []chat.ChunkChoice{choice},
		Usage:   usage,
	}
	if usage != nil {
		chunk.Choices = []chat.ChunkChoice{}
	}
	body, _ := json.Marshal(chunk)
	fmt.Fprintf(w, "data: %s\n\n", body)
}

// writeWhole writes a non-streamed response once the job has ended.
func (p *completionWriter) writeWhole(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	sent := uint32(0)
	for {
		select {
		case <-r.Context().Done():
			return
		case token, ok := <-p.job.output:
			if !ok && !p.engine.waitResponsesAllowed(r.Context(), p.job) {
				return
			}
			if !ok {
				p.writeCompletion(w, text.String(), sent)
				return
			}
			sent++
			text.WriteString(token)
		}
	}
}

// writeCompletion writes the completion, or aborts the connection if the job has
// not finished.
func (p *completionWriter) writeCompletion(w http.ResponseWriter, text string, sent uint32) {
	if p.job.execution.End != EndFinished {
		api.AbortConnection()
	}
	api.WriteJSON(w, http.StatusOK, chat.Completion{
		ID:      p.id,
		Object:  "chat.completion",
		Created: p.created,
		Model:   p.model,
		Choices: []chat.CompletionChoice{{
			Message:      chat.Message{Role: "assistant", Content: text},
			FinishReason: p.job.finishReason,
		}},
		Usage: p.usage(sent),
	})
}

func (p *completionWriter) usage(sent uint32) chat.Usage {
	prompt := uint32(PromptTokens(p.job.prompt))
	return chat.Usage{PromptTokens: prompt, CompletionTokens: sent, TotalTokens: prompt + sent}
}
