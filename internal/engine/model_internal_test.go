package engine

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func TestModelBodyKeepsUnknownFields(t *testing.T) {
	h := &pb.HandOver{
		Body:  []byte(`{"model":"x","temperature":0.5,"stream":false,"resume_text":"forged","messages":[]}`),
		Model: "desk", Tier: 3, MaxTokens: 9,
	}
	body, err := modelRequestBody(h)
	assert.NilError(t, err)
	want := `{"max_tokens":9,"messages":[],"model":"desk","priority":3,"stream":true,` +
		`"stream_options":{"include_usage":true},"temperature":0.5}`
	assert.Equal(t, string(body), want)
	h.ResumeText, h.ResumeTokens = "a", 1
	body, err = modelRequestBody(h)
	assert.NilError(t, err)
	var fields requestFields
	assert.NilError(t, json.Unmarshal(body, &fields))
	assert.Equal(t, string(fields["resume_text"]), `"a"`)
	assert.Equal(t, string(fields["resume_tokens"]), "1")
}

func FuzzModelBody(f *testing.F) {
	f.Add([]byte(`{"model":"x","messages":[]}`), "text")
	f.Add([]byte(`null`), "")
	f.Fuzz(func(t *testing.T, body []byte, resume string) {
		out, err := modelRequestBody(&pb.HandOver{Body: body, ResumeText: resume})
		if err != nil {
			return
		}
		var fields requestFields
		assert.NilError(t, json.Unmarshal(out, &fields))
		assert.Equal(t, string(fields["stream"]), "true")
		_, resumed := fields["resume_text"]
		assert.Equal(t, resumed, resume != "")
	})
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(`{"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}],"usage":{"completion_tokens":1}}`))
	f.Add([]byte(`{"choices":null,"usage":null}`))
	f.Add([]byte(`[DONE]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s streamState
		text, done, err := s.addEvent(data)
		assert.Assert(t, !done, "a stream without a finish reason must not be complete")
		if err != nil {
			assert.Equal(t, text, "")
		}
		_, done, err = s.addEvent([]byte("[DONE]"))
		assert.Equal(t, done, s.lastFinishReason != "")
		assert.Equal(t, done, err == nil)
	})
}
