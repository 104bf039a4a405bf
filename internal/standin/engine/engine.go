// Package engine is a stand-in for a model engine, for tests, load runs and the
// development deployment. It simulates continuous batching, a prompt prefix
// cache, request priorities, streams that can be resumed and cancelled, delayed
// load reports, orders with fencing numbers, and injected faults. All state is in
// memory and is lost when the process ends.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
)

// Options configures an engine. Numbers and durations that are zero or negative
// are replaced by their defaults.
type Options struct {
	Name string
	// Seed determines all answers. Engines of one service share it, so that an
	// answer can be resumed on another engine.
	Seed uint64
	// MaxBatch is the maximum number of requests in a batch.
	MaxBatch int
	// MaxQueue is the maximum number of queued requests. Further ones are rejected.
	MaxQueue int
	// StepBase is the fixed part of the time of a step. A step is one iteration of
	// the batch, which computes one token of each running request.
	StepBase time.Duration
	// StepPerRequest is added to the time of a step per running request.
	StepPerRequest time.Duration
	// PrefillPerToken is added to the time of a step per uncached prompt token of
	// the requests that join the batch.
	PrefillPerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// ReportLag is the delay before load reports and cache events are visible.
	ReportLag time.Duration
	// IgnoreFencing makes the engine apply orders with old fencing numbers.
	IgnoreFencing bool
	// Network controls the connections over which the engine is served. If it is
	// nil, a crashed engine still accepts connections and aborts each request.
	// Its methods are called with the engine's mutex held.
	Network netfault.Network
}

// Default values of Options.
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

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Engine is a stand-in for a model engine. It is an http.Handler, and safe for
// concurrent use. Close stops it.
type Engine struct {
	options Options
	router  http.Handler
	control http.Handler

	mu            sync.Mutex
	workAvailable *sync.Cond // signalled when a job is queued or the engine is closed
	closed        bool
	waiting       []*job
	running       []*job
	seq           uint64 // of the last job queued
	cache         *prefixCache
	loadReports   reportLog
	cacheEvents   eventLog
	orders        orderLog
	faults        faultState
	counters      counterState
}

// New creates an engine and starts its step loop, which runs until Close.
func New(options Options) *Engine {
	e := &Engine{options: options.withDefaults(), faults: newFaultState()}
	e.workAvailable = sync.NewCond(&e.mu)
	e.cache = newPrefixCache(e.options.CacheBlocks, e.cacheEvents.add)
	e.counters.byRequest = make(map[string][]*Execution)
	e.router, e.control = e.routes()
	go e.runSteps()
	return e
}

// Close stops the engine. The connections of requests in progress are aborted.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.endAllJobs(EndCrashed)
	e.workAvailable.Broadcast()
}

// Control returns a handler for faults and counters only, to be served at a
// separate address that the engine's faults do not affect.
func (e *Engine) Control() http.Handler { return e.control }

// ServeHTTP serves the engine's API, faults and counters included.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

// runSteps runs steps while there are jobs, until the engine is closed.
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

// startStep waits for a job, fills the batch, and returns the duration of the next
// step. It returns false once the engine is closed.
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

// finishStep emits one token for each running job.
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

// emitToken sends the next token of a job, and ends the job after its last one.
// The caller holds the lock.
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

// recordLoad adds the current load to the report log. The caller holds the lock.
func (e *Engine) recordLoad() {
	e.loadReports.add(time.Now(), Load{Running: len(e.running), Queued: len(e.waiting)}, e.options.ReportLag)
}
