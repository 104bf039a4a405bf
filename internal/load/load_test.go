package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

func newTestSettings(scenario Scenario) *Settings {
	return &Settings{Deployment: app.PortHuron, Scenario: scenario, Baseline: BaselineNone,
		Duration: 100 * time.Second, Seed: 1, Load: 1.5}
}

func newTestPlan(t *testing.T, s *Settings) ([]arrival, *workload) {
	t.Helper()
	workload, err := newWorkload(s.Deployment)
	assert.NilError(t, err)
	return s.plan(workload), workload
}

func TestPlanIsDeterministic(t *testing.T) {
	s := newTestSettings(ScenarioBurst)
	first, _ := newTestPlan(t, s)
	second, _ := newTestPlan(t, s)
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i].at, second[i].at)
		assert.Equal(t, first[i].source, second[i].source)
		assert.DeepEqual(t, first[i].expected, second[i].expected)
	}
	s.Seed = 2
	other, _ := newTestPlan(t, s)
	assert.Assert(t, first[0].at != other[0].at)
}

func TestPlanOffersRequestedLoad(t *testing.T) {
	s := newTestSettings(ScenarioSteady)
	plan, workload := newTestPlan(t, s)
	calls := 0
	for i, a := range plan {
		assert.Assert(t, i == 0 || plan[i-1].at <= a.at)
		if a.source.model != "" {
			calls++
		}
	}
	want := s.Load * workload.capacity() * s.Duration.Seconds()
	assert.Assert(t, float64(calls) > 0.9*want && float64(calls) < 1.1*want, "%d calls, want about %.0f", calls, want)
}

func TestBurstHasOneClass(t *testing.T) {
	s := newTestSettings(ScenarioBurst)
	plan, _ := newTestPlan(t, s)
	outside, inside := 0, 0
	for _, a := range plan {
		if a.source.class.Name != burstClasses[s.Deployment] {
			continue
		}
		fraction := float64(a.at) / float64(s.Duration)
		if fraction >= burstStart && fraction < burstEnd {
			inside++
		} else {
			outside++
		}
	}
	assert.Assert(t, inside > 3*outside, "%d inside, %d outside", inside, outside)
}

func newModelResult(tier domain.Tier, at, firstTokenAt, endedAt time.Duration, outcome string) result {
	class := domain.Class{Name: "c", Service: "desk", Tier: tier, FirstToken: time.Second}
	a := &arrival{at: at, source: source{class: class, model: "m"}, expected: []string{"a ", "b "}}
	return result{arrival: a, firstTokenAt: firstTokenAt, endedAt: endedAt, outcome: outcome, text: "a b "}
}

func TestAttainment(t *testing.T) {
	inTime := newModelResult(0, time.Second, 2*time.Second, 3*time.Second, outcomeComplete)
	assert.Assert(t, inTime.attained())
	late := newModelResult(0, time.Second, 2*time.Second+1, 3*time.Second, outcomeComplete)
	assert.Assert(t, !late.attained())
	partial := newModelResult(0, time.Second, 2*time.Second, 3*time.Second, outcomePartial)
	assert.Assert(t, !partial.attained() && !partial.wrongText())
	for _, text := range []string{"", "a ", "a b", "a b c", "b a "} {
		wrongText := newModelResult(0, time.Second, 2*time.Second, 3*time.Second, outcomeComplete)
		wrongText.text = text
		assert.Assert(t, wrongText.wrongText() && !wrongText.attained(), text)
	}
}

func TestTierInversions(t *testing.T) {
	shed := newModelResult(1, time.Second, 0, 5*time.Second, outcomeNotRun)
	lowerTierServedLater := newModelResult(2, 4*time.Second, 6*time.Second, 7*time.Second, outcomeComplete)
	lowerTierServedBefore := newModelResult(2, 4*time.Second, 5*time.Second, 7*time.Second, outcomeComplete)
	higherTierServedLater := newModelResult(0, 4*time.Second, 6*time.Second, 7*time.Second, outcomeComplete)
	lowerTierArrivedAfter := newModelResult(2, 6*time.Second, 7*time.Second, 8*time.Second, outcomeComplete)
	assert.Equal(t, countInversions([]result{shed, lowerTierServedLater}), 1)
	assert.Equal(t, countInversions([]result{shed, lowerTierServedBefore, higherTierServedLater, lowerTierArrivedAfter}), 0)
	shed.code = codeRateLimited
	assert.Equal(t, countInversions([]result{shed, lowerTierServedLater}), 0)
}

func TestReportCountsEachCallOnce(t *testing.T) {
	results := []result{
		newModelResult(0, 0, time.Second, 2*time.Second, outcomeComplete),
		newModelResult(0, 0, 2*time.Second, 2*time.Second, outcomeComplete),
		newModelResult(0, 0, 0, time.Second, outcomeNotRun),
		newModelResult(0, 0, time.Second, time.Second, outcomePartial),
		newModelResult(0, 0, 0, time.Second, outcomeUnknown),
		newModelResult(0, 0, 0, time.Second, outcomeUnfinished),
		newModelResult(3, 0, time.Second, time.Second, outcomeComplete),
	}
	results[1].text = "crossed"
	r := newReport(newTestSettings(ScenarioSteady), results)
	assert.Equal(t, len(r.Classes), 2)
	c := r.Classes[0]
	got := []int{c.Offered, c.Attained, c.NotRun, c.Partial, c.Unknown, c.Unfinished}
	assert.DeepEqual(t, got, []int{6, 1, 1, 1, 1, 1})
	assert.Equal(t, r.WrongTexts, 1)
	assert.Equal(t, r.GoodputPerS, 0.02)

	var out bytes.Buffer
	assert.NilError(t, r.WriteJSON(&out))
	for _, field := range []string{"service", "class", "tier", "offered", "attained", "attainment", "first_token_p50_ms",
		"first_token_p95_ms", "not_run", "partial", "unknown", "goodput_per_s", "wasted_work_ratio", "duplicate_runs",
		"tier_inversions", "wrong_texts"} {
		assert.Assert(t, strings.Contains(out.String(), `"`+field+`":`), field)
	}
	assert.Assert(t, json.Valid(out.Bytes()))
}

func TestOutcomesOfResponses(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"a "}}]}` + "\n\n"
	const finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n" + "data: [DONE]\n\n"
	tests := []struct {
		name, body, trailer, want string
		status                    int
	}{
		{"complete", text + finish, "complete", outcomeComplete, 200},
		{"directly from an engine", text + finish, "", outcomeComplete, 200},
		{"cut", text, "", outcomePartial, 200},
		{"nothing", "", "", outcomeUnknown, 200},
		{"reported partial", text, "partial", outcomePartial, 200},
		{"failed without outcome", "{}", "", outcomeUnknown, 502},
	}
	for _, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Dunlinpulley-Outcome")
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
			w.Header().Set("Dunlinpulley-Outcome", test.trailer)
		}))
		s := newSender(&entryDestination{urls: []string{server.URL}}, 1)
		s.start = time.Now()
		a := newModelResult(0, 0, 0, 0, "").arrival
		r := s.send(context.Background(), a)
		assert.Equal(t, r.outcome, test.want, test.name)
		server.Close()
	}
}

// TestLightLoad runs a light load against a whole deployment and checks that every
// answer is complete and correct.
func TestLightLoad(t *testing.T) {
	s := newTestSettings(ScenarioSteady)
	s.Duration = 2 * time.Second
	s.Load = 0.3
	s.KeyPrefix = exampleKeyPrefix + s.Deployment + "-"
	for _, baseline := range []Baseline{BaselineNone, BaselineLeastLoad} {
		s.Baseline = baseline
		r, err := Run(context.Background(), *s)
		assert.NilError(t, err)
		assert.Equal(t, r.WrongTexts, 0)
		assert.Equal(t, r.DuplicateRuns, 0)
		assert.Equal(t, r.FalseNotRuns, 0)
		for _, c := range r.Classes {
			assert.Equal(t, c.Partial+c.Unknown, 0, "%s: %v", c.Class, c.Codes)
		}
	}
}
