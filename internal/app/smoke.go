package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

// smokeMaxTokens is the maximum length of an answer to a smoke call, in tokens.
const smokeMaxTokens = 40

// runSmokeCalls makes a streamed and an unstreamed call of a model, and a
// non-idempotent call of a plain service twice with the same idempotency key. It
// writes their outcomes to w, and returns an error unless all end complete, the
// answers are correct, and the non-idempotent call was executed once.
func runSmokeCalls(ctx context.Context, w io.Writer, d *Deployment) error {
	c := exampleCallerOf(d.Name)
	if err := checkStreamedCall(ctx, w, d, c); err != nil {
		return err
	}
	if err := checkUnstreamedCall(ctx, w, d, c); err != nil {
		return err
	}
	return checkIdempotencyKey(ctx, w, d, c)
}

func checkStreamedCall(ctx context.Context, w io.Writer, d *Deployment, c exampleCaller) error {
	want := expectedAnswer(c.question)
	got, outcome, err := StreamChat(ctx, d.Entries[0].CallerAddress, c.key, ChatRequest{Model: c.model, Question: c.question, MaxTokens: smokeMaxTokens})
	fmt.Fprintf(w, "streamed answer: outcome %s, %d bytes\n", outcome, len(got))
	if err != nil {
		return err
	}
	return checkAnswer("streamed answer", got, want, outcome)
}

func checkUnstreamedCall(ctx context.Context, w io.Writer, d *Deployment, c exampleCaller) error {
	body := chat.Request{Model: c.model, MaxTokens: smokeMaxTokens, Messages: []chat.Message{{Role: "user", Content: c.question}}}
	resp, err := post(ctx, d.Entries[0].CallerAddress, "/v1/chat/completions", c.key, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var completion chat.Completion
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil {
		return errors.Wrap(err, "step=whole answer")
	}
	outcome := resp.Header.Get(callerapi.HeaderOutcome)
	text := ""
	if len(completion.Choices) > 0 {
		text = completion.Choices[0].Message.Content
	}
	fmt.Fprintf(w, "whole answer: outcome %s, %d bytes\n", outcome, len(text))
	return checkAnswer("whole answer", text, expectedAnswer(c.question), outcome)
}

// checkIdempotencyKey makes a non-idempotent call, repeats it with the same key
// through another entry, and checks that it was executed once and that both answers
// are equal.
func checkIdempotencyKey(ctx context.Context, w io.Writer, d *Deployment, c exampleCaller) error {
	type ticket struct {
		Party int `json:"party"`
	}
	var answers []string
	for i, e := range []*Entry{d.Entries[0], d.Entries[len(d.Entries)-1]} {
		resp, err := post(ctx, e.CallerAddress, "/v1/services/"+c.service+"/"+c.action, c.key, c.action, ticket{Party: 4})
		if err != nil {
			return err
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return errors.Wrap(err, "step=keyed call")
		}
		outcome := outcomeOf(resp)
		fmt.Fprintf(w, "keyed call %d: outcome %s, status %d\n", i+1, outcome, resp.StatusCode)
		if outcome != domain.OutcomeComplete.String() {
			return errors.Newf("step=keyed call outcome %s: %s", outcome, data)
		}
		answers = append(answers, string(data))
	}
	executions := 0
	for _, svc := range d.Services {
		executions += svc.Counters().Executions
	}
	fmt.Fprintf(w, "executions: %d\n", executions)
	if executions != 1 || answers[0] != answers[1] {
		return errors.Newf("step=keyed call executed %d times, answers %q", executions, answers)
	}
	return nil
}

// expectedAnswer returns the text that an embedded model engine generates for a question.
func expectedAnswer(question string) string {
	prompt := engine.Prompt([]chat.Message{{Role: "user", Content: question}})
	return strings.Join(engine.Answer(AnswerSeed, prompt, smokeMaxTokens), "")
}

// checkAnswer returns an error unless the answer is the expected one and complete.
func checkAnswer(step, got, want, outcome string) error {
	if got != want || outcome != domain.OutcomeComplete.String() {
		return errors.Newf("step=%s outcome %s, got %q, want %q", step, outcome, got, want)
	}
	return nil
}

// maxPosts is the maximum number of times that a call is sent.
const maxPosts = 5

// post sends a call to the caller API. Class is empty for calls of models. A call
// rejected with status 429 is sent again after the time in Retry-After, at most
// maxPosts times in all, because the rate-limit buckets of a new entry start empty.
func post[T any](ctx context.Context, address, path, key, class string, body T) (*http.Response, error) {
	for posts := 1; ; posts++ {
		resp, err := postOnce(ctx, address, path, key, class, body)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || posts == maxPosts {
			return resp, err
		}
		_ = resp.Body.Close()
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil {
			return nil, errors.Wrapf(err, "step=call peer=%s Retry-After of a rejected call", address)
		}
		select {
		case <-time.After(time.Duration(seconds) * time.Second):
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "step=call peer=%s", address)
		}
	}
}

// postOnce sends a call to the caller API once. Calls with a class get an
// idempotency key.
func postOnce[T any](ctx context.Context, address, path, key, class string, body T) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "step=encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrapf(err, "step=request peer=%s", address)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if class != "" {
		req.Header.Set(callerapi.HeaderClass, class)
		req.Header.Set(callerapi.HeaderIdempotencyKey, "once-1")
	}
	resp, err := http.DefaultClient.Do(req)
	return resp, errors.Wrapf(err, "step=call peer=%s", address)
}

// outcomeOf returns the outcome from the header, or else from the trailer, which
// is set once the body has been read.
func outcomeOf(resp *http.Response) string {
	if outcome := resp.Header.Get(callerapi.HeaderOutcome); outcome != "" {
		return outcome
	}
	return resp.Trailer.Get(callerapi.HeaderOutcome)
}
