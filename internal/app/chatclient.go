package app

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/chat"
)

// ChatRequest is a chat completion request with a single user message.
type ChatRequest struct {
	Model     string
	Question  string
	MaxTokens int
}

// StreamChat sends a request to the caller API at address and reads the streamed
// answer. It returns the text and the outcome, which is a trailer of the answer. On
// an error it returns the text received so far, and the outcome if the call was
// rejected.
func StreamChat(ctx context.Context, address, key string, r ChatRequest) (text, outcome string, err error) {
	body := chat.Request{
		Model: r.Model, Stream: true, MaxTokens: r.MaxTokens,
		Messages: []chat.Message{{Role: "user", Content: r.Question}},
	}
	resp, err := post(ctx, address, "/v1/chat/completions", key, "", body)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return "", outcomeOf(resp), errors.Newf("step=call peer=%s status %d: %s", address, resp.StatusCode, data)
	}
	var b strings.Builder
	events := chat.NewEventReader(resp.Body)
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), resp.Trailer.Get(callerapi.HeaderOutcome), nil
		}
		if err != nil {
			return b.String(), "", errors.Wrapf(err, "step=answer peer=%s", address)
		}
		var chunk chat.Chunk
		if json.Unmarshal(data, &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			b.WriteString(choice.Delta.Content)
		}
	}
}
