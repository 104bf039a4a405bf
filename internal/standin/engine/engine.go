// Package engine is a stand-in for a model engine: continuous batching, a
// prompt prefix cache, priorities, streams that can be resumed and cancelled,
// late load reports, orders with fencing numbers, and faults on demand.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
)

// Options are the settings of an engine. Zero values are replaced by defaults.
type Options struct {
	Name string
	// Seed decides all answers. Engines of one service share it.
	Seed uint64
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// MaxQueue is the number of waiting requests, over which they are refused.
	MaxQueue int
	// StepBase is the time of a token step for an empty batch.
	StepBase time.Duration
	// StepPerRequest is added to a token step for each running request.
	StepPerRequest time.Duration
	// PrefillPerToken is added for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// IgnoreFencing makes the engine take orders with old fencing numbers.
	IgnoreFencing bool
	// Network is the hold on the connections that the engine is served by. With
	// none, a crashed engine still accepts connections, and closes each one.
	Network netfault.Network
}

// The defaults of Options.
const (
	DefaultMaxBatch        = 16
	DefaultMaxQueue        = 256
	DefaultStepBase        = 10 * time.Millisecond
	DefaultStepPerRequest  = 500 * time.Microsecond
	DefaultPrefillPerToken = 20 * time.Microsecond
	DefaultCacheBlocks     = 4096
	DefaultReportLag       = time.Second
)

func (o Options) withDefaults() Options {
	o.MaxBatch = positiveOr(o.MaxBatch, DefaultMaxBatch)
	o.MaxQueue = positiveOr(o.MaxQueue, DefaultMaxQueue)
	o.CacheBlocks = positiveOr(o.CacheBlocks, DefaultCacheBlocks)
	o.StepBase = positiveOr(o.StepBase, DefaultStepBase)
	o.StepPerRequest = positiveOr(o.StepPerRequest, DefaultStepPerRequest)
	o.PrefillPerToken = positiveOr(o.PrefillPerToken, DefaultPrefillPerToken)
	o.ReportLag = positiveOr(o.ReportLag, DefaultReportLag)
	return o
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Engine is a stand-in model engine. It is an http.Handler. Close ends it.
type Engine struct {
	options Options
	router  http.Handler
	control http.Handler

	mu            sync.Mutex
	workAvailable *sync.Cond
	closed        bool
	waiting       []*job
	running       []*job
	seq           uint64
	cache         *prefixCache
	loadReports   reportLog
	cacheEvents   eventLog
	orders        orderLog
	faults        faultState
	counters      counterState
}

// New starts an engine.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), faults: newFaultState()}
	e.workAvailable = sync.NewCond(&e.mu)
	e.cache = newPrefixCache(e.options.CacheBlocks, e.cacheEvents.add)
	e.counters.byRequest = make(map[string][]*Execution)
	e.router, e.control = e.routes()
	go e.runSteps()
	return e
}

// Close ends the engine. Requests in progress are cut off.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.endAllJobs(EndCrashed)
	e.workAvailable.Broadcast()
}

// Control serves the faults and counters alone, for an address of their own.
func (e *Engine) Control() http.Handler { return e.control }

// ServeHTTP serves the engine's API, with faults and counters.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

// runSteps runs token steps while there is work.
func (e *Engine) runSteps() {
	for {
		step, ok := e.startStep()
		if !ok {
			return
		}
		time.Sleep(step)
		e.finishStep()
	}
}

// startStep waits for work, fills the batch, and returns the time of the next
// token step. It reports false once the engine is closed.
func (e *Engine) startStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting)+len(e.running) == 0 && !e.closed {
		e.workAvailable.Wait()
	}
	if e.closed {
		return 0, false
	}
	prefill := e.fillBatch()
	step := e.options.StepBase + time.Duration(len(e.running))*e.options.StepPerRequest
	step += time.Duration(prefill) * e.options.PrefillPerToken
	return e.faults.scaleStep(step), true
}

// finishStep emits one token for each running request.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.running
	e.running = nil
	for _, j := range running {
		if j.ended {
			continue
		}
		e.emitToken(j)
		if !j.ended {
			e.running = append(e.running, j)
		}
	}
	e.recordLoad()
	e.crashIfDue()
}

// emitToken sends the next token of a job, and its end after the last one.
func (e *Engine) emitToken(j *job) {
	if j.next < len(j.tokens) {
		j.output <- j.takeToken()
		j.execution.To = j.next
		e.counters.tokens++
	}
	if j.next == len(j.tokens) {
		e.endJob(j, EndFinished)
	}
}

// recordLoad records the load for later reports. The caller holds the lock.
func (e *Engine) recordLoad() {
	e.loadReports.add(time.Now(), Report{Running: len(e.running), Queued: len(e.waiting)}, e.options.ReportLag)
}
