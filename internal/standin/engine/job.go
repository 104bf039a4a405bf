package engine

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
)

// errResume is returned for a resume text that is not the start of the answer.
var errResume = errors.New("resume_text is not the start of this answer")

// job is one execution of a request.
type job struct {
	seq          uint64
	priority     int
	prompt       string
	tokens       []string
	next         int
	skipBytes    int // bytes of the next token that were delivered before
	finishReason string
	output       chan string // has room for all tokens; closed at the end
	ended        bool
	muted        bool          // the answer is not written any more
	crashed      chan struct{} // closed when the engine crashes
	// execution is the job's record in the counters.
	execution *Execution
}

// newJob prepares a job from a request. A resumed job starts after the delivered part.
func newJob(seed uint64, requestID string, r *chat.Request) (*job, error) {
	prompt := Prompt(r.Messages)
	whole := Answer(seed, prompt, 0)
	tokens := Answer(seed, prompt, r.MaxTokens)
	j := &job{priority: r.Priority, prompt: prompt, tokens: tokens, finishReason: "stop"}
	if len(tokens) < len(whole) {
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

// resume skips the part that was delivered before. The text decides; the
// number of tokens counts only without a text.
func (j *job) resume(r *chat.Request) error {
	if r.ResumeText == "" {
		j.next = min(max(r.ResumeTokens, 0), len(j.tokens))
		return nil
	}
	rest := r.ResumeText
	for j.next < len(j.tokens) && rest != "" {
		token := j.tokens[j.next]
		if strings.HasPrefix(token, rest) && token != rest {
			j.skipBytes = len(rest)
			return nil
		}
		if !strings.HasPrefix(rest, token) {
			return errResume
		}
		rest = rest[len(token):]
		j.next++
	}
	if rest != "" {
		return errResume
	}
	return nil
}

// takeToken returns the next token without the part delivered before.
func (j *job) takeToken() string {
	token := j.tokens[j.next][j.skipBytes:]
	j.next++
	j.skipBytes = 0
	return token
}

// submit queues a job, or reports that the queue is full. The caller holds the lock.
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

// fillBatch moves waiting jobs into free places, the lowest priority number
// first. It returns the number of prompt tokens to be computed.
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

func (e *Engine) dequeue() *job {
	first := 0
	for i, j := range e.waiting {
		best := e.waiting[first]
		if j.priority < best.priority || j.priority == best.priority && j.seq < best.seq {
			first = i
		}
	}
	j := e.waiting[first]
	e.waiting = append(e.waiting[:first], e.waiting[first+1:]...)
	return j
}

// cancel ends a job that nobody reads.
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

// endJob ends a job once. A running job leaves the batch after the current step.
func (e *Engine) endJob(j *job, how End) {
	if j.ended {
		return
	}
	j.ended = true
	j.execution.End = how
	if how == EndCrashed {
		close(j.crashed)
	}
	close(j.output)
}

// endAllJobs ends all jobs.
func (e *Engine) endAllJobs(how End) {
	for _, j := range e.waiting {
		e.endJob(j, how)
	}
	for _, j := range e.running {
		e.endJob(j, how)
	}
	e.waiting = nil
	e.running = nil
}
