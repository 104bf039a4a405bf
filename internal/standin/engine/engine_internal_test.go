package engine

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/chat"
)

const testSeed = 7

// maxStepTime is longer than any step in the tests, in fake time.
const maxStepTime = 2 * time.Hour

func newRequest(text string, maxTokens int) *chat.Request {
	return &chat.Request{Messages: []chat.Message{{Role: "user", Content: text}}, MaxTokens: maxTokens}
}

// mustSubmit queues a request and fails the test if the queue is full. No fake time
// passes meanwhile.
func mustSubmit(t *testing.T, e *Engine, id string, r *chat.Request) *job {
	t.Helper()
	j, err := newJob(e.options.Seed, id, r)
	assert.NilError(t, err)
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Assert(t, e.submit(j))
	return j
}

// runWithFakeClock runs a test of an engine in a synctest bubble.
func runWithFakeClock(t *testing.T, o Options, test func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		o.Seed = testSeed
		e := New(o)
		test(t, e)
		e.Close()
		time.Sleep(maxStepTime) // lets runSteps return
	})
}

// timeToEnd waits until the jobs have ended and returns the time that this takes.
func timeToEnd(jobs ...*job) time.Duration {
	start := time.Now()
	for _, j := range jobs {
		for range j.output {
		}
	}
	return time.Since(start)
}

func TestStepTimeGrowsWithBatchSize(t *testing.T) {
	o := Options{StepBase: 10 * time.Millisecond, StepPerRequest: time.Millisecond, PrefillPerToken: time.Microsecond}
	for _, n := range []int{1, 4} {
		runWithFakeClock(t, o, func(t *testing.T, e *Engine) {
			e.mu.Lock() // queues all requests before the first step starts
			var jobs []*job
			for range n {
				j, err := newJob(testSeed, "a", newRequest("same", 4))
				assert.NilError(t, err)
				assert.Assert(t, e.submit(j))
				jobs = append(jobs, j)
			}
			e.mu.Unlock()
			steps := 4 * (10*time.Millisecond + time.Duration(n)*time.Millisecond)
			prefill := time.Duration(n*PromptTokens("user: same\n")) * time.Microsecond
			assert.Equal(t, timeToEnd(jobs...), steps+prefill)
		})
	}
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	o := Options{StepBase: time.Millisecond, StepPerRequest: time.Millisecond, PrefillPerToken: time.Millisecond}
	runWithFakeClock(t, o, func(t *testing.T, e *Engine) {
		text := strings.Repeat("x", 10*blockBytes)
		first := timeToEnd(mustSubmit(t, e, "a", newRequest(text, 4)))
		second := timeToEnd(mustSubmit(t, e, "b", newRequest(text, 4)))
		assert.Equal(t, first-second, 10*blockBytes/bytesPerToken*time.Millisecond)
	})
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(2, func(uint64, bool) {})
	a, b, d := strings.Repeat("a", blockBytes), strings.Repeat("b", blockBytes), strings.Repeat("d", blockBytes)
	c.lookupAndInsert(a)
	c.lookupAndInsert(b)
	assert.Equal(t, c.lookupAndInsert(a), blockBytes/bytesPerToken)
	c.lookupAndInsert(d)
	assert.Equal(t, c.lookupAndInsert(a), blockBytes/bytesPerToken)
	assert.Equal(t, c.lookupAndInsert(b), 0)
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	runWithFakeClock(t, Options{MaxBatch: 1}, func(t *testing.T, e *Engine) {
		mustSubmit(t, e, "running", newRequest("x", 4))
		synctest.Wait()
		low := newRequest("x", 4)
		low.Priority = 4
		lowJob := mustSubmit(t, e, "low", low)
		timeToEnd(lowJob, mustSubmit(t, e, "high", newRequest("x", 4)))
		var order []string
		for _, x := range e.Counters().Executions {
			order = append(order, x.RequestID)
		}
		assert.DeepEqual(t, order, []string{"running", "high", "low"})
	})
}

func TestFullQueueRejectsRequests(t *testing.T) {
	runWithFakeClock(t, Options{MaxBatch: 1, MaxQueue: 1}, func(t *testing.T, e *Engine) {
		mustSubmit(t, e, "running", newRequest("x", 4))
		synctest.Wait()
		mustSubmit(t, e, "waiting", newRequest("x", 4))
		j, err := newJob(testSeed, "refused", newRequest("x", 4))
		assert.NilError(t, err)
		e.mu.Lock()
		defer e.mu.Unlock()
		assert.Assert(t, !e.submit(j))
	})
}

func TestLoadReportsLag(t *testing.T) {
	runWithFakeClock(t, Options{ReportLag: time.Second, StepBase: time.Hour}, func(t *testing.T, e *Engine) {
		mustSubmit(t, e, "a", newRequest("x", 4))
		now := time.Now()
		e.mu.Lock()
		defer e.mu.Unlock()
		assert.Equal(t, e.loadReports.at(now.Add(999*time.Millisecond), time.Second), Load{})
		assert.Equal(t, e.loadReports.at(now.Add(time.Second), time.Second), Load{Queued: 1})
	})
}

func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	var l eventLog
	for prefix := range uint64(lostEventEvery + 1) {
		l.add(prefix, true)
	}
	assert.Equal(t, len(l.after(0, time.Now(), time.Hour)), 0)
	events := l.after(1, time.Now().Add(time.Hour), time.Second)
	assert.Equal(t, len(events), lostEventEvery-1)
	assert.Equal(t, events[0].Seq, uint64(2))
	assert.Equal(t, events[len(events)-1].Seq, uint64(lostEventEvery+1))
}

func TestSlowFaultMultipliesStepTime(t *testing.T) {
	o := Options{StepBase: time.Millisecond, StepPerRequest: time.Millisecond, PrefillPerToken: time.Millisecond}
	runWithFakeClock(t, o, func(t *testing.T, e *Engine) {
		healthy := timeToEnd(mustSubmit(t, e, "a", newRequest("x", 4)))
		assert.NilError(t, e.SetFaults(Faults{Slow: 3}))
		assert.Equal(t, timeToEnd(mustSubmit(t, e, "b", newRequest("x", 4))), 3*healthy)
	})
}

func TestCrashAfterTokens(t *testing.T) {
	runWithFakeClock(t, Options{}, func(t *testing.T, e *Engine) {
		assert.NilError(t, e.SetFaults(Faults{CrashAfterTokens: 3}))
		timeToEnd(mustSubmit(t, e, "a", newRequest("x", 4)))
		counters := e.Counters()
		assert.DeepEqual(t, counters.Executions, []Execution{{RequestID: "a", To: 3, End: EndCrashed}})
		assert.Equal(t, counters.WastedTokens, uint64(3))
	})
}

func TestAnswerDependsOnlyOnSeedAndPrompt(t *testing.T) {
	a := Answer(1, "x", 0)
	assert.DeepEqual(t, a, Answer(1, "x", 0))
	assert.DeepEqual(t, a[:4], Answer(1, "x", 4))
	assert.Assert(t, strings.Join(a, "") != strings.Join(Answer(2, "x", 0), ""))
	assert.Assert(t, strings.Join(a, "") != strings.Join(Answer(1, "y", 0), ""))
}

func TestResumedAnswerContinuesAfterDeliveredText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRequest(rapid.String().Draw(t, "text"), rapid.IntRange(0, 50).Draw(t, "maxTokens"))
		whole := strings.Join(Answer(testSeed, Prompt(r.Messages), r.MaxTokens), "")
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		r.ResumeText = whole[:cut]
		j, err := newJob(testSeed, "a", r)
		assert.NilError(t, err)
		var rest strings.Builder
		for j.next < len(j.tokens) {
			rest.WriteString(j.takeToken())
		}
		assert.Equal(t, rest.String(), whole[cut:])
		r.ResumeText = whole + "more"
		_, err = newJob(testSeed, "a", r)
		assert.ErrorIs(t, err, errResume)
	})
}

func TestCountWaste(t *testing.T) {
	tests := []struct {
		name       string
		executions []Execution
		wasted     uint64
		duplicates uint64
	}{
		{"whole", []Execution{{"a", 0, 10, EndFinished}}, 0, 0},
		{"running", []Execution{{"a", 0, 10, ""}}, 0, 0},
		{"cancelled", []Execution{{"a", 0, 10, EndCancelled}}, 10, 0},
		{"resumed", []Execution{{"a", 0, 6, EndCrashed}, {"a", 6, 10, EndFinished}}, 0, 0},
		{"resumed early", []Execution{{"a", 0, 6, EndCrashed}, {"a", 4, 10, EndFinished}}, 2, 1},
		{"twice", []Execution{{"a", 0, 10, EndFinished}, {"a", 0, 10, EndFinished}}, 10, 1},
		{"other request", []Execution{{"a", 0, 10, EndFinished}, {"b", 0, 10, EndFinished}}, 0, 0},
	}
	for _, test := range tests {
		wasted, duplicates := CountWaste(test.executions)
		assert.Equal(t, wasted, test.wasted, test.name)
		assert.Equal(t, duplicates, test.duplicates, test.name)
	}
}
