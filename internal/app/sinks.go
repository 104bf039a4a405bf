package app

import (
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// openCall is a call in progress: where its answer goes, and what is counted of it.
type openCall struct {
	sink    callerapi.Sink
	request domain.RequestID
	account domain.AccountID
	// class is that of the configuration at the call's arrival. Its name is
	// empty when the class is not known.
	class   domain.Class
	kind    domain.ServiceKind
	arrived time.Time
	// firstToken is the time from arrival to the first data, 0 before it.
	firstToken time.Duration
	attempts   uint32
}

// newOpenCall returns a call that has just arrived.
func newOpenCall(config domain.Config, call entry.Call, sink callerapi.Sink) *openCall {
	c := &openCall{sink: sink, request: call.Request, account: call.Account, arrived: time.Now()}
	if config == nil {
		return c
	}
	name := call.Class
	if account, ok := config.Account(call.Account); ok && name == "" {
		name = account.DefaultClass
	}
	c.class, _ = config.Class(call.Account, name)
	service := call.Service
	if service == "" {
		service = c.class.Service
	}
	if s, ok := config.Service(service); ok {
		c.kind = s.Kind
	}
	return c
}

// attained reports whether a call that ended after a time met its class's
// target: to the first token, or to the whole answer of a plain service.
func (c *openCall) attained(end entry.CallerEnd, duration time.Duration) bool {
	latency := c.firstToken
	if c.kind == domain.ServicePlain {
		latency = duration
	}
	inTime := c.class.FirstToken == 0 || latency <= c.class.FirstToken
	return end.Outcome == domain.OutcomeComplete && inTime
}

// openCalls holds the calls in progress by number.
type openCalls struct {
	mu    sync.Mutex
	calls map[domain.CallID]*openCall
}

func (t *openCalls) add(id domain.CallID, c *openCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = make(map[domain.CallID]*openCall)
	}
	t.calls[id] = c
}

// get returns a call in progress, or nil. What it counts is changed only by the
// loop of the calls.
func (t *openCalls) get(id domain.CallID) *openCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[id]
}

// recordHandOver counts an attempt. A hand-over that is sent again has the same number.
func (t *openCalls) recordHandOver(id domain.CallID, attempt uint32) {
	if c := t.get(id); c != nil {
		c.attempts = max(c.attempts, attempt)
	}
}

// putHead passes the status and headers of an answer to its caller.
func (t *openCalls) putHead(out entry.CallerHead) {
	if c := t.get(out.Call); c != nil {
		c.sink.Put(out)
	}
}

// putData passes a part of an answer to its caller.
func (t *openCalls) putData(out entry.CallerData) {
	c := t.get(out.Call)
	if c == nil {
		return
	}
	if c.firstToken == 0 {
		c.firstToken = time.Since(c.arrived)
	}
	c.sink.Put(out)
}

// finish gives the last output of a call, forgets the call, and returns it.
func (t *openCalls) finish(out entry.CallerEnd) *openCall {
	c := t.get(out.Call)
	if c == nil {
		return nil
	}
	c.sink.Put(out)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, out.Call)
	return c
}

func (t *openCalls) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
