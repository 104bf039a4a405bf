package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/app"
	"github.com/dunlinpulley/dunlinpulley/internal/chat"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

const (
	// burstStart and burstEnd bound the burst, as fractions of the run's duration.
	burstStart = 0.25
	burstEnd   = 0.75
	// burstBaseLoad is the rate of model calls outside the burst, as a fraction of
	// the engines' capacity.
	burstBaseLoad = 0.7
)

// sampledAnswers is the number of answers over which the mean answer length is computed.
const sampledAnswers = 2000

// arrival is one planned call.
type arrival struct {
	index    int
	at       time.Duration // since the start of the run
	source   source
	messages []chat.Message
	expected []string // tokens of the correct answer of a model call
}

// plan returns the arrivals of a run, sorted by time. It depends on the settings
// only.
func (s *Settings) plan(w *workload) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	capacity := w.capacity()
	var all []arrival
	add := func(rate float64, from, until time.Duration, sources []source) {
		all = append(all, drawArrivals(rng, rate, from, until, sources)...)
	}
	if s.Scenario == ScenarioBurst {
		from := time.Duration(burstStart * float64(s.Duration))
		until := time.Duration(burstEnd * float64(s.Duration))
		add(burstBaseLoad*capacity, 0, s.Duration, w.modelSources)
		burst := sourcesOfClass(w.modelSources, burstClasses[s.Deployment])
		add((s.Load-burstBaseLoad)*capacity, from, until, burst)
	} else {
		add(s.Load*capacity, 0, s.Duration, w.modelSources)
	}
	add(plainCallRate, 0, s.Duration, w.plainSources)
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range all {
		all[i].index = i
		all[i].setPrompt(s.Seed)
	}
	return all
}

// drawArrivals draws the arrivals of a Poisson process with the given rate, in calls
// per second, between from and until.
func drawArrivals(rng *rand.Rand, rate float64, from, until time.Duration, sources []source) []arrival {
	if rate <= 0 || len(sources) == 0 {
		return nil
	}
	total := 0.0
	for _, s := range sources {
		total += s.weight
	}
	var drawn []arrival
	at := from
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return drawn
		}
		drawn = append(drawn, arrival{at: at, source: drawSource(rng, total, sources)})
	}
}

// drawSource draws a source with a probability in proportion to its weight. Total is
// the sum of weights.
func drawSource(rng *rand.Rand, total float64, sources []source) source {
	remainder := rng.Float64() * total
	for _, s := range sources {
		remainder -= s.weight
		if remainder < 0 {
			return s
		}
	}
	return sources[len(sources)-1]
}

// setPrompt sets the prompt and the expected answer of a model call. It does nothing
// for a call of a plain service.
func (a *arrival) setPrompt(seed uint64) {
	if a.source.model == "" {
		return
	}
	a.messages = promptMessages(seed, a.index, a.source)
	a.expected = engine.Answer(app.AnswerSeed, engine.Prompt(a.messages), maxAnswerTokens)
}

// promptMessages returns a conversation. All conversations of one account and class
// share a prefix of sharedPromptBytes, which engines can cache.
func promptMessages(seed uint64, number int, s source) []chat.Message {
	shared := fmt.Sprintf("You answer for %s in the class %s. ", s.account, s.class.Name)
	shared = strings.Repeat(shared, sharedPromptBytes/len(shared)+1)
	return []chat.Message{
		{Role: "system", Content: shared[:sharedPromptBytes]},
		{Role: "user", Content: fmt.Sprintf("This is question %d of load %d.", number, seed)},
	}
}

// capacity returns the rate of model calls that the engines can answer with full
// batches and cached prompt prefixes, in calls per second.
func (w *workload) capacity() float64 {
	tokens := 0
	for i := range sampledAnswers {
		prompt := engine.Prompt(promptMessages(0, i, w.modelSources[i%len(w.modelSources)]))
		tokens += len(engine.Answer(app.AnswerSeed, prompt, maxAnswerTokens))
	}
	mean := float64(tokens) / sampledAnswers
	step := engineStep + engineBatch*engineStepPerRequest
	secondsPerCall := mean * step.Seconds() / engineBatch
	return float64(w.engines) / secondsPerCall
}
