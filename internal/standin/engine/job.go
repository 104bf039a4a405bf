package engine

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
)

// errResume is returned for a resume text that is not a prefix of the answer.
var errResume = errors.New("resume_text is not the start of this answer")

// job is one execution of a request. The engine's mutex guards its mutable state
// until output is closed.
type job struct {
	seq          uint64 // arrival order
	priority     int    // lowest first
	prompt       string
	tokens       []string // the whole answer, cut to max_tokens
	next         int      // index of the next token to emit
	skipBytes    int      // bytes of the next token that were already delivered
	finishReason string
	output       chan string // buffers all tokens, so that sends never block; closed when the job ends
	ended        bool
	muted        bool          // response data is no longer sent
	crashed      chan struct{} // closed when the engine crashes
	// execution is the job's record in the counters.
	execution *Execution
}

// newJob creates a job for a request. A resumed job starts after the part that was
// already delivered. A resume text that does not match the answer is an error.
func newJob(seed uint64, requestID string, r *chat.Request) (*job, error) {
	prompt := Prompt(r.Messages)
	full := Answer(seed, prompt, 0)
	tokens := Answer(seed, prompt, r.MaxTokens)
	j := &job{priority: r.Priority, prompt: prompt, tokens: tokens, finishReason: "stop"}
	if len(tokens) < len(full) {
		j.finishReason = "length"
	}
	err := j.resume(r)
	if err != nil {
		return nil, err
	}
	j.output = make(chan string, len(tokens))
	j.crashed = make(chan struct{})
	j.execution = &Execution{RequestID: requestID, From: j.next, To: j.next}
	return j, nil
}

// resume skips the part of the answer that was already delivered. It is given by
// the resume text, or by the number of tokens if there is no text. The text may
// end within a token.
func (j *job) resume(r *chat.Request) error {
	if r.ResumeText == "" {
		j.next = min(max(r.ResumeTokens, 0), len(j.tokens))
		return nil
	}
	remaining := r.ResumeText
	for j.next < len(j.tokens) && remaining != "" {
		token := j.tokens[j.next]
		if strings.HasPrefix(token, remaining) && token != remaining {
			j.skipBytes = len(remaining)
			return nil
		}
		if !strings.HasPrefix(remaining, token) {
			return errResume
		}
		remaining = remaining[len(token):]
		j.next++
	}
	if remaining != "" {
		return errResume
	}
	return nil
}

// takeToken returns the next token, without the part that was already delivered.
func (j *job) takeToken() string {
	token := j.tokens[j.next][j.skipBytes:]
	j.next++
	j.skipBytes = 0
	return token
}

// submit queues a job. It returns false if the queue is full. The caller holds the
// lock.
func (e *Engine) submit(j *job) bool {
	if len(e.waiting) >= e.options.MaxQueue {
		return false
	}
	e.seq++
	j.seq = e.seq
	e.waiting = append(e.waiting, j)
	e.recordLoad()
	e.workAvailable.Signal()
	return true
}

// fillBatch moves queued jobs into the batch while it has room, and returns the
// number of their prompt tokens that are not cached. The caller holds the lock.
func (e *Engine) fillBatch() int {
	prefill := 0
	for len(e.running) < e.options.MaxBatch && len(e.waiting) > 0 {
		j := e.dequeue()
		prefill += PromptTokens(j.prompt) - e.cache.lookupAndInsert(j.prompt)
		e.running = append(e.running, j)
		e.counters.addExecution(j)
	}
	return prefill
}

// dequeue removes and returns the job with the lowest priority number, the oldest
// of them if there are several. The queue must not be empty.
func (e *Engine) dequeue() *job {
	best := 0
	for i, j := range e.waiting {
		current := e.waiting[best]
		if j.priority < current.priority || j.priority == current.priority && j.seq < current.seq {
			best = i
		}
	}
	j := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	return j
}

// cancel ends a job when its handler returns, as nothing reads its output any more.
// It has no effect on a job that has ended.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.endJob(j, EndCancelled)
}

// endJob marks a job as ended, unless it has ended before. A running job leaves the
// batch after the current step. The caller holds the lock.
func (e *Engine) endJob(j *job, reason End) {
	if j.ended {
		return
	}
	j.ended = true
	j.execution.End = reason
	if reason == EndCrashed {
		close(j.crashed)
	}
	close(j.output)
}

// endAllJobs ends all queued and running jobs. The caller holds the lock.
func (e *Engine) endAllJobs(reason End) {
	for _, j := range e.waiting {
		e.endJob(j, reason)
	}
	for _, j := range e.running {
		e.endJob(j, reason)
	}
	e.waiting = nil
	e.running = nil
}
