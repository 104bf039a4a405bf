package engine_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/engine"
	standin "github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const testSeed = 7

// recorder records the events of one run. Its fields may be read after ended is
// closed. firstData is closed on the first Data event.
type recorder struct {
	status       uint32
	text         strings.Builder
	tokens       uint32
	firstData    chan struct{}
	ended        chan struct{}
	reason       pb.EndReason
	finishReason string
	promptTokens uint32
	answerTokens uint32
	message      string
	orders       chan orderEnd
	endCount     int
}

type orderEnd struct{ ok, fenced bool }

func newRecorder() *recorder {
	return &recorder{firstData: make(chan struct{}), ended: make(chan struct{}), orders: make(chan orderEnd, 1)}
}

func (r *recorder) Head(_ uint64, status uint32, _ []*pb.Header) { r.status = status }

func (r *recorder) Data(_ uint64, data []byte, tokens uint32) {
	if r.text.Len() == 0 {
		close(r.firstData)
	}
	r.text.Write(data)
	r.tokens += tokens
}

func (r *recorder) End(_ uint64, reason pb.EndReason, finishReason string, promptTokens, answerTokens uint32, message string) {
	r.reason, r.finishReason, r.promptTokens, r.answerTokens, r.message = reason, finishReason, promptTokens, answerTokens, message
	r.endCount++
	close(r.ended)
}

func (r *recorder) OrderEnd(_ uint64, ok, fenced bool, _ string) { r.orders <- orderEnd{ok, fenced} }
func (r *recorder) Report(uint32, uint32)                        {}
func (r *recorder) CacheEvent(uint64, bool)                      {}

func messages(text string) []chat.Message { return []chat.Message{{Role: "user", Content: text}} }

func modelHandOver(t *testing.T, id, text string) *pb.HandOver {
	t.Helper()
	body, err := json.Marshal(chat.Request{Model: "desk", Messages: messages(text)})
	assert.NilError(t, err)
	return &pb.HandOver{RequestId: id, Body: body, Model: "desk", Idempotent: true}
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func startEngine(t *testing.T) (*standin.Engine, *engine.Client) {
	t.Helper()
	e := standin.New(standin.Options{Seed: testSeed, StepBase: time.Millisecond, StepPerRequest: time.Microsecond})
	t.Cleanup(e.Close)
	c := engine.New(engine.Options{Address: serve(t, e), Kind: domain.ServiceModel})
	t.Cleanup(c.Close)
	return e, c
}

func TestModelAnswerIsComplete(t *testing.T) {
	_, c := startEngine(t)
	r := newRecorder()
	c.Start(1, modelHandOver(t, "a", "hello"), r)
	<-r.ended
	want := standin.Answer(testSeed, standin.Prompt(messages("hello")), 0)
	assert.Equal(t, r.reason, pb.EndReason_END_COMPLETE, r.message)
	assert.Equal(t, r.text.String(), strings.Join(want, ""))
	assert.Equal(t, r.tokens, uint32(len(want)))
	assert.Equal(t, r.answerTokens, uint32(len(want)))
	assert.Equal(t, r.finishReason, "stop")
}

func TestModelAnswerResumes(t *testing.T) {
	e, c := startEngine(t)
	want := standin.Answer(testSeed, standin.Prompt(messages("hello")), 0)
	h := modelHandOver(t, "a", "hello")
	h.ResumeText = want[0] + want[1] + want[2][:1]
	h.ResumeTokens = 2
	r := newRecorder()
	c.Start(1, h, r)
	<-r.ended
	assert.Equal(t, r.reason, pb.EndReason_END_COMPLETE, r.message)
	assert.Equal(t, h.ResumeText+r.text.String(), strings.Join(want, ""))
	assert.Equal(t, e.Counters().Tokens, uint64(len(want)-2))
}

func TestCancelStopsTheEngine(t *testing.T) {
	e, c := startEngine(t)
	r := newRecorder()
	c.Start(1, modelHandOver(t, "a", "hello"), r)
	<-r.firstData
	c.Cancel(1)
	<-r.ended
	assert.Equal(t, r.reason, pb.EndReason_END_CANCELLED, r.message)
	for e.Counters().Executions[0].End == "" {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, e.Counters().Executions[0].End, standin.EndCancelled)
}

func TestInvalidRequest(t *testing.T) {
	_, c := startEngine(t)
	for _, body := range []string{"", "null", "[]", `{"messages":[]}`} {
		r := newRecorder()
		c.Start(1, &pb.HandOver{Body: []byte(body), Idempotent: true}, r)
		<-r.ended
		assert.Equal(t, r.reason, pb.EndReason_END_INVALID, body)
	}
}

func TestUnreachableEndpointIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	c := engine.New(engine.Options{Address: address, Kind: domain.ServiceModel})
	r := newRecorder()
	c.Start(1, modelHandOver(t, "a", "hello"), r)
	<-r.ended
	assert.Equal(t, r.reason, pb.EndReason_END_NOT_SENT, r.message)
}

func TestPlainServicePassesAnyStatus(t *testing.T) {
	s := service.New(service.Options{ServiceTime: time.Millisecond})
	c := engine.New(engine.Options{Address: serve(t, s), Kind: domain.ServicePlain})
	r := newRecorder()
	h := &pb.HandOver{RequestId: "a", Method: http.MethodPost, Path: "/tickets?x=1", Body: []byte("two"),
		Headers: []*pb.Header{{Name: "X-Order", Value: "o1"}, {Name: "Idempotency-Key", Value: "k"}}}
	c.Start(1, h, r)
	<-r.ended
	assert.Equal(t, r.reason, pb.EndReason_END_COMPLETE, r.message)
	assert.Equal(t, r.status, uint32(http.StatusOK))
	var echo service.Echo
	assert.NilError(t, json.Unmarshal([]byte(r.text.String()), &echo))
	want := service.Echo{RequestID: "a", Order: "o1", Method: "POST", Path: "/tickets?x=1", Execution: 1, Body: "two"}
	assert.Equal(t, echo, want)

	failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "broken", http.StatusInternalServerError)
	})
	c = engine.New(engine.Options{Address: serve(t, failing), Kind: domain.ServicePlain})
	r = newRecorder()
	c.Start(2, h, r)
	<-r.ended
	assert.Equal(t, r.reason, pb.EndReason_END_COMPLETE, r.message)
	assert.Equal(t, r.status, uint32(http.StatusInternalServerError))
}

func TestOrderWithOldFencingNumberIsRejected(t *testing.T) {
	_, c := startEngine(t)
	r := newRecorder()
	c.Order(1, "load-model", "desk", 5, r)
	assert.Equal(t, <-r.orders, orderEnd{ok: true})
	c.Order(2, "load-model", "desk", 4, r)
	assert.Equal(t, <-r.orders, orderEnd{fenced: true})
}
