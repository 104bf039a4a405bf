package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
)

// maxTokens is the maximum length of an answer, in tokens. Many answers are shorter.
const maxTokens = 120

// answer is the text and outcome that a caller received.
type answer struct {
	question string
	text     string
	outcome  string
	err      error
}

// expectedText returns the only correct answer to a question.
func expectedText(question string) string {
	prompt := engine.Prompt([]chat.Message{{Role: "user", Content: question}})
	return strings.Join(engine.Answer(answerSeed, prompt, maxTokens), "")
}

// ask streams the answer to one question through an entry.
func (c *cluster) ask(entry int, question string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request := app.ChatRequest{Model: "desk-1", Question: question, MaxTokens: maxTokens}
	text, outcome, err := app.StreamChat(ctx, c.callerAddresses[entry], callerKey, request)
	return answer{question: question, text: text, outcome: outcome, err: err}
}

// askMany streams n answers concurrently over all entries and waits for all of them.
func (c *cluster) askMany(name string, n int) []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = c.ask(i%len(c.callerAddresses), fmt.Sprintf("%s question %d", name, i)) })
	}
	wg.Wait()
	return answers
}

// askInBackground starts n calls and returns a function that waits for their answers.
func (c *cluster) askInBackground(name string, n int) func() []answer {
	done := make(chan []answer, 1)
	go func() { done <- c.askMany(name, n) }()
	return func() []answer { return <-done }
}

// checkComplete checks that each caller received its own complete answer.
func (c *cluster) checkComplete(answers []answer) {
	c.t.Helper()
	for _, a := range answers {
		assert.Check(c.t, a.err == nil, "%s: %v", a.question, a.err)
		assert.Check(c.t, a.outcome == "complete", "%s: outcome %q", a.question, a.outcome)
		assert.Check(c.t, a.text == expectedText(a.question), "%s: got %q, want %q", a.question, a.text, expectedText(a.question))
	}
}

// orderResult is the reply to an order at the ticket service.
type orderResult struct {
	outcome string
	status  int
	body    string
	err     error
}

// placeOrder places an order at the ticket service, which counts executions by
// order name. An empty key places it without an idempotency key.
func (c *cluster) placeOrder(entry int, name, key string) orderResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	url := "http://" + c.callerAddresses[entry] + "/v1/services/tickets/issue"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"party":4}`)))
	if err != nil {
		return orderResult{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(callerapi.HeaderClass, "issue")
	req.Header.Set(service.OrderHeader, name)
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return orderResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get(callerapi.HeaderOutcome)
	if outcome == "" {
		outcome = resp.Trailer.Get(callerapi.HeaderOutcome)
	}
	return orderResult{outcome: outcome, status: resp.StatusCode, body: string(body), err: err}
}

// executions returns the number of executions of an order, over all ticket services.
func (c *cluster) executions(name string) int {
	c.t.Helper()
	n := 0
	for _, address := range c.serviceAddresses {
		n += getJSON[service.Counters](c.t, address, "/counters").ByOrder[name]
	}
	return n
}

// runningAnswers returns the number of answers in progress at the engines.
func (c *cluster) runningAnswers() int {
	n := 0
	for _, address := range c.engineAddresses {
		for _, x := range getJSON[engine.Counters](c.t, address, "/counters").Executions {
			if x.End == "" {
				n++
			}
		}
	}
	return n
}
