// Package chat has the JSON types of the chat-completions protocol and a parser
// of its event streams. It keeps no state. The stand-in engine and the clients of
// model engines and of the caller API use it.
package chat

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a chat-completions request to a model engine or to the caller API.
// Only engines use Priority and the Resume fields.
type Request struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens limits the answer, including ResumeText. Zero means no limit.
	MaxTokens int  `json:"max_tokens,omitempty"`
	Stream    bool `json:"stream,omitempty"`
	// Priority orders the engine's queue. Lower numbers are served first.
	Priority int `json:"priority,omitempty"`
	// ResumeText is the part of the answer that an earlier attempt delivered. The
	// engine continues right after it.
	ResumeText string `json:"resume_text,omitempty"`
	// ResumeTokens is the number of tokens in ResumeText.
	ResumeTokens int `json:"resume_tokens,omitempty"`
}

// Delta is the part of the answer that one chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one alternative in a chunk. Only the one with index 0 is used.
type ChunkChoice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts tokens. CompletionTokens excludes the tokens of a resumed part.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Error   *Error        `json:"error,omitempty"`
}

// CompletionChoice is one alternative of a non-streamed answer.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Completion is a non-streamed answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// Error describes a rejected or failed request.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// ErrorBody is the body of a response with an error status.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Done is the data of the last event of a stream.
const Done = "[DONE]"
