package callerapi

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

const partsPerAnswer = 5

// partPattern matches one part of an answer: the ID of its request and its index.
var partPattern = regexp.MustCompile(`[0-9a-f-]{36}/[0-9];`)

// shufflingCallHandler delivers the outputs of concurrent calls one at a time, each
// to a random call. Every part of an answer has its request's ID.
type shufflingCallHandler struct {
	mu        sync.Mutex
	openCalls []*openCall
}

type openCall struct {
	sink      Sink
	remaining []entry.Output
}

func (s *shufflingCallHandler) CallerDisconnected(domain.CallID) {}

func (s *shufflingCallHandler) Submit(call entry.Call, sink Sink) {
	remaining := []entry.Output{entry.CallerHead{Status: 200}}
	for i := range partsPerAnswer {
		remaining = append(remaining, textData(fmt.Sprintf("%s/%d;", call.Request, i)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls = append(s.openCalls, &openCall{sink: sink, remaining: append(remaining, completeEnd)})
}

// deliverOutputs delivers outputs until stop is closed.
func (s *shufflingCallHandler) deliverOutputs(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(3, 4))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Microsecond):
		}
		s.mu.Lock()
		if len(s.openCalls) == 0 {
			s.mu.Unlock()
			continue
		}
		i := random.IntN(len(s.openCalls))
		call := s.openCalls[i]
		call.sink.Put(call.remaining[0])
		call.remaining = call.remaining[1:]
		if len(call.remaining) == 0 {
			// An output after the end must be dropped.
			call.sink.Put(textData("stray"))
			s.openCalls = append(s.openCalls[:i], s.openCalls[i+1:]...)
		}
		s.mu.Unlock()
	}
}

// TestConcurrentAnswersAreNotMixed sends chat, streamed and plain requests
// concurrently. Each response must have all parts of its own answer, and no
// part of another.
func TestConcurrentAnswersAreNotMixed(t *testing.T) {
	handler := &shufflingCallHandler{}
	_, server := startServer(t, func(o *Options) {
		o.CallHandler = handler
		o.NewRequestID = nil
	})
	stop := make(chan struct{})
	go handler.deliverOutputs(stop)
	defer close(stop)
	var group sync.WaitGroup
	for caller := range 12 {
		group.Go(func() {
			for i := range 20 {
				kinds := [][2]string{{chatPath, chatBody}, {chatPath, streamBody}, {"/v1/services/tickets/buy", "4"}}
				kind := kinds[(caller+i)%len(kinds)]
				got := do(t, request(t, server, "POST", kind[0], kind[1]))
				want := ""
				for n := range partsPerAnswer {
					want += fmt.Sprintf("%s/%d;", got.header.Get(HeaderRequestID), n)
				}
				assert.Check(t, strings.Join(partPattern.FindAllString(got.body, -1), "") == want, got.body)
				assert.Check(t, !strings.Contains(got.body, "stray"))
			}
		})
	}
	group.Wait()
}
