package callerapi

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

const (
	// maxPrefixBytes is how much of the system message and of the first user
	// message goes into the hash that selects a call's affinity endpoint.
	maxPrefixBytes = 2048
	// bytesPerToken and tokensPerMessage are used to estimate the number of
	// prompt tokens. tokensPerMessage is the overhead for a message's role and
	// delimiters.
	bytesPerToken    = 4
	tokensPerMessage = 4
)

// chatRequest has the fields of a chat-completions request that the caller API
// reads. The call carries the original body with all fields.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *uint32        `json:"max_tokens"`
	MaxCompletionTokens *uint32        `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message. Its JSON form is a string or a list of parts.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, null, or a list of parts, whose texts are
// concatenated. Parts without text, such as images, are ignored.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// parseChatRequest decodes and validates a chat-completions request.
func parseChatRequest(body []byte) (*chatRequest, *apiError) {
	var req chatRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&req); err != nil {
		return nil, badRequest("the body is not a valid chat-completions request")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, badRequest("the body has data after the JSON object")
	}
	switch {
	case req.Model == "":
		return nil, badRequest("model is required")
	case len(req.Messages) == 0:
		return nil, badRequest("messages is required")
	case req.N != nil && *req.N != 1:
		return nil, badRequest("n has to be 1")
	case req.maxTokens() != nil && *req.maxTokens() == 0:
		return nil, badRequest("the bound on answer tokens has to be at least 1")
	}
	for _, m := range req.Messages {
		if m.Role == "" {
			return nil, badRequest("each message needs a role")
		}
	}
	return &req, nil
}

func badRequest(message string) *apiError {
	return newRejection(http.StatusBadRequest, entry.CodeInvalidRequest, message)
}

// maxTokens returns the limit of answer tokens, or nil if there is none.
// max_completion_tokens takes precedence over max_tokens.
func (r *chatRequest) maxTokens() *uint32 {
	if r.MaxCompletionTokens != nil {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// promptTokens estimates the number of prompt tokens.
func (r *chatRequest) promptTokens() uint32 {
	tokens := 0
	for _, m := range r.Messages {
		tokens += tokensPerMessage + (len(m.Content)+bytesPerToken-1)/bytesPerToken
	}
	return uint32(tokens)
}

// prefix returns a hash of the account, the model, and the start of the first
// system and user messages. Calls with the same prefix can share an engine's
// prompt cache.
func (r *chatRequest) prefix(account domain.AccountID) uint64 {
	parts := []string{string(account), r.Model}
	for _, role := range []string{"system", "user"} {
		for _, m := range r.Messages {
			if m.Role == role {
				text := string(m.Content)
				parts = append(parts, text[:min(len(text), maxPrefixBytes)])
				break
			}
		}
	}
	return hashParts(parts...)
}

// hashParts hashes a list of strings. Each is preceded by its length, so that
// ("ab", "c") and ("a", "bc") have different hashes.
func hashParts(parts ...string) uint64 {
	digest := xxhash.New()
	var size [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// chatCompletion is an answer, or one chunk of a streamed answer.
type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"` // Unix seconds
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int                `json:"index"`
	Message      *chatAnswerMessage `json:"message,omitempty"`
	Delta        *chatDelta         `json:"delta,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type chatAnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatUsage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

func newUsage(end entry.CallerEnd) *chatUsage {
	return &chatUsage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: end.AnswerTokens,
		TotalTokens:      end.PromptTokens + end.AnswerTokens,
	}
}

// encodeJSON encodes JSON without HTML escaping and without a trailing newline.
func encodeJSON(body any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}
