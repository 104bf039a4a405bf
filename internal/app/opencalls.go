package app

import (
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/callerapi"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// openCall is a call in progress: the sink of its answer, and the data for
// metrics and the log.
type openCall struct {
	sink    callerapi.Sink
	request domain.RequestID
	account domain.AccountID
	// class is the call's request class as configured at its arrival. Its name is
	// empty if the class is unknown.
	class   domain.Class
	kind    domain.ServiceKind
	arrived time.Time
	// firstToken is the time from arrival to the first data of the answer, zero
	// before it.
	firstToken time.Duration
	attempts   uint32
}

// newOpenCall returns the record of a call that has just arrived. Config may be nil.
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

// attained reports whether a call that took duration ended complete and within
// its class's latency target, if it has one. The target is for the first token
// of a model, and for the whole answer of a plain service.
func (c *openCall) attained(end entry.CallerEnd, duration time.Duration) bool {
	latency := c.firstToken
	if c.kind == domain.ServicePlain {
		latency = duration
	}
	inTime := c.class.FirstToken == 0 || latency <= c.class.FirstToken
	return end.Outcome == domain.OutcomeComplete && inTime
}

// openCalls holds the calls in progress by call ID. The zero value is empty and
// ready to use.
type openCalls struct {
	mu    sync.Mutex
	calls map[domain.CallID]*openCall
}

func (o *openCalls) add(id domain.CallID, c *openCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = make(map[domain.CallID]*openCall)
	}
	o.calls[id] = c
}

// get returns a call in progress, or nil. Only the call loop may change its fields.
func (o *openCalls) get(id domain.CallID) *openCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls[id]
}

// recordHandOver updates the number of attempts. A hand-over that is sent again
// repeats its attempt number and is not counted twice.
func (o *openCalls) recordHandOver(id domain.CallID, attempt uint32) {
	if c := o.get(id); c != nil {
		c.attempts = max(c.attempts, attempt)
	}
}

// putHead passes the status and headers of an answer to the caller.
func (o *openCalls) putHead(out entry.CallerHead) {
	if c := o.get(out.Call); c != nil {
		c.sink.Put(out)
	}
}

// putData passes a part of an answer to the caller.
func (o *openCalls) putData(out entry.CallerData) {
	c := o.get(out.Call)
	if c == nil {
		return
	}
	if c.firstToken == 0 {
		c.firstToken = time.Since(c.arrived)
	}
	c.sink.Put(out)
}

// finish passes the last output of a call to the caller, removes the call and
// returns it, or nil if it is unknown.
func (o *openCalls) finish(out entry.CallerEnd) *openCall {
	c := o.get(out.Call)
	if c == nil {
		return nil
	}
	c.sink.Put(out)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, out.Call)
	return c
}

func (o *openCalls) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}
