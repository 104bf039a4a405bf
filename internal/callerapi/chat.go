package callerapi

import (
	"net/http"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

const (
	chatPath           = "/v1/chat/completions"
	objectCompletion   = "chat.completion"
	objectChunk        = "chat.completion.chunk"
	roleAssistant      = "assistant"
	completionIDPrefix = "chatcmpl-"
)

// serveChat serves a chat-completions request.
func serveChat(x *exchange) *apiError {
	body, apiErr := x.readBody()
	if apiErr != nil {
		return apiErr
	}
	req, apiErr := parseChatRequest(body)
	if apiErr != nil {
		return apiErr
	}
	call, apiErr := x.newChatCall(req, body)
	if apiErr != nil {
		return apiErr
	}
	queue := x.submit(call)
	if queue == nil {
		return nil
	}
	defer x.closeQueue(queue)
	if req.Stream {
		return x.streamChat(req, queue)
	}
	return x.bufferChat(req, queue)
}

// newChatCall converts a chat-completions request to a call.
func (x *exchange) newChatCall(req *chatRequest, body []byte) (entry.Call, *apiError) {
	model := domain.ModelName(req.Model)
	service, ok := x.config.ServiceOf(model)
	if !ok {
		return entry.Call{}, newRejection(http.StatusNotFound, codeUnknownModel, "the model is not known")
	}
	call, err := x.newCall()
	if err != nil {
		return entry.Call{}, err
	}
	call.Service = service
	call.Model = model
	call.Method = http.MethodPost
	call.Path = chatPath
	call.Body = body
	call.Prefix = req.prefix(x.account)
	call.Fingerprint = hashParts(call.Method, call.Path, req.Model, string(body))
	call.PromptTokens = req.promptTokens()
	if limit := req.maxTokens(); limit != nil {
		call.MaxTokens = *limit
	}
	return call, nil
}

// newCompletion returns a completion object with one choice.
func (x *exchange) newCompletion(req *chatRequest, object string, choice chatChoice) chatCompletion {
	return chatCompletion{
		ID:      completionIDPrefix + string(x.id),
		Object:  object,
		Created: x.api.opts.Now().Unix(),
		Model:   req.Model,
		Choices: []chatChoice{choice},
	}
}

// bufferChat collects the answer and writes it as one JSON object when the call
// has ended.
func (x *exchange) bufferChat(req *chatRequest, queue *outputQueue) *apiError {
	var text []byte
	for {
		outputs, err := queue.next(x.r.Context(), 0)
		if err != nil {
			return nil
		}
		for _, out := range outputs {
			switch out := out.(type) {
			case entry.CallerData:
				text = append(text, out.Data...)
			case entry.CallerEnd:
				return x.endBufferedChat(req, out, string(text))
			}
		}
	}
}

// endBufferedChat writes the answer of a call that ended complete. Any other
// end is returned as an error with the text received so far.
func (x *exchange) endBufferedChat(req *chatRequest, end entry.CallerEnd, text string) *apiError {
	if end.Outcome != domain.OutcomeComplete {
		apiErr := newCallError(end)
		apiErr.partialText = text
		return apiErr
	}
	body := x.newCompletion(req, objectCompletion, chatChoice{
		Message:      &chatAnswerMessage{Role: roleAssistant, Content: text},
		FinishReason: &end.FinishReason,
	})
	body.Usage = newUsage(end)
	x.writeJSON(http.StatusOK, end.Outcome, body)
	return nil
}
