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

// smokeMaxTokens bounds the answers of runOnce, in tokens.
const smokeMaxTokens = 40

// runSmokeCalls makes a streamed call, a whole one, and a non-idempotent one twice with
// the same key, and returns an error unless all that they promise holds.
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
	got, outcome, err := StreamChat(ctx, d.Entries[0].Caller, c.key, ChatRequest{Model: c.model, Question: c.question, MaxTokens: smokeMaxTokens})
	fmt.Fprintf(w, "streamed answer: outcome %s, %d bytes\n", outcome, len(got))
	if err != nil {
		return err
	}
	return checkAnswer("streamed answer", got, want, outcome)
}

func checkUnstreamedCall(ctx context.Context, w io.Writer, d *Deployment, c exampleCaller) error {
	body := chat.Request{Model: c.model, MaxTokens: smokeMaxTokens, Messages: []chat.Message{{Role: "user", Content: c.question}}}
	resp, err := post(ctx, d.Entries[0].Caller, "/v1/chat/completions", c.key, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var whole chat.Completion
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil {
		return errors.Wrap(err, "step=whole answer")
	}
	outcome := resp.Header.Get(callerapi.HeaderOutcome)
	text := ""
	if len(whole.Choices) > 0 {
		text = whole.Choices[0].Message.Content
	}
	fmt.Fprintf(w, "whole answer: outcome %s, %d bytes\n", outcome, len(text))
	return checkAnswer("whole answer", text, expectedAnswer(c.question), outcome)
}

// checkIdempotencyKey repeats a non-idempotent call through another entry.
func checkIdempotencyKey(ctx context.Context, w io.Writer, d *Deployment, c exampleCaller) error {
	type ticket struct {
		Party int `json:"party"`
	}
	var answers []string
	for i, e := range []*Entry{d.Entries[0], d.Entries[len(d.Entries)-1]} {
		resp, err := post(ctx, e.Caller, "/v1/services/"+c.service+"/"+c.action, c.key, c.action, ticket{Party: 4})
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

func expectedAnswer(question string) string {
	prompt := engine.Prompt([]chat.Message{{Role: "user", Content: question}})
	return strings.Join(engine.Answer(AnswerSeed, prompt, smokeMaxTokens), "")
}

func checkAnswer(step, got, want, outcome string) error {
	if got != want || outcome != domain.OutcomeComplete.String() {
		return errors.Newf("step=%s outcome %s, got %q, want %q", step, outcome, got, want)
	}
	return nil
}

// maxPosts bounds how often a refused call is made again.
const maxPosts = 5

// post sends a call to the caller API. A class is named for plain services. A
// call that is refused as not run is made again after the time that the answer
// names: a new entry's share of an account's limits starts empty.
func post[T any](ctx context.Context, address, path, key, class string, body T) (*http.Response, error) {
	for tries := 1; ; tries++ {
		resp, err := postOnce(ctx, address, path, key, class, body)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || tries == maxPosts {
			return resp, err
		}
		_ = resp.Body.Close()
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil {
			return nil, errors.Wrapf(err, "step=call peer=%s Retry-After of a refused call", address)
		}
		select {
		case <-time.After(time.Duration(seconds) * time.Second):
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "step=call peer=%s", address)
		}
	}
}

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

// outcomeOf returns the outcome from the header, or the trailer of a read answer.
func outcomeOf(resp *http.Response) string {
	if outcome := resp.Header.Get(callerapi.HeaderOutcome); outcome != "" {
		return outcome
	}
	return resp.Trailer.Get(callerapi.HeaderOutcome)
}
