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

// Parts of a run's duration.
const (
	burstStart = 0.25
	burstEnd   = 0.75
	// burstBaseLoad is the rate of model calls outside the burst, over the capacity.
	burstBaseLoad = 0.7
)

// sampledAnswers is the number of answers that the mean length is taken from.
const sampledAnswers = 2000

// arrival is one call to come.
type arrival struct {
	index    int
	at       time.Duration // from the start of the run
	source   source
	messages []chat.Message
	expected []string // the right answer of a model call
}

// plan makes the arrivals of a run, in order of time. The same settings make
// the same plan.
func (s *Settings) plan(t *traffic) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	capacity := t.capacity()
	var all []arrival
	add := func(rate float64, from, until time.Duration, sources []source) {
		all = append(all, drawArrivals(rng, rate, from, until, sources)...)
	}
	if s.Scenario == ScenarioBurst {
		from := time.Duration(burstStart * float64(s.Duration))
		until := time.Duration(burstEnd * float64(s.Duration))
		add(burstBaseLoad*capacity, 0, s.Duration, t.modelSources)
		burst := sourcesOfClass(t.modelSources, burstClasses[s.Deployment])
		add((s.Load-burstBaseLoad)*capacity, from, until, burst)
	} else {
		add(s.Load*capacity, 0, s.Duration, t.modelSources)
	}
	add(plainCallRate, 0, s.Duration, t.plainSources)
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range all {
		all[i].index = i
		all[i].setPrompt(s.Seed)
	}
	return all
}

// drawArrivals draws a Poisson process of calls. Rate is in calls a second.
func drawArrivals(rng *rand.Rand, rate float64, from, until time.Duration, sources []source) []arrival {
	if rate <= 0 || len(sources) == 0 {
		return nil
	}
	total := 0.0
	for _, s := range sources {
		total += s.weight
	}
	var out []arrival
	at := from
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return out
		}
		out = append(out, arrival{at: at, source: drawSource(rng, total, sources)})
	}
}

func drawSource(rng *rand.Rand, total float64, sources []source) source {
	left := rng.Float64() * total
	for _, s := range sources {
		left -= s.weight
		if left < 0 {
			return s
		}
	}
	return sources[len(sources)-1]
}

// setPrompt writes the prompt of a model call and the answer that it must get.
func (a *arrival) setPrompt(seed uint64) {
	if a.source.model == "" {
		return
	}
	a.messages = promptMessages(seed, a.index, a.source)
	a.expected = engine.Answer(app.AnswerSeed, engine.Prompt(a.messages), maxAnswerTokens)
}

// promptMessages is a conversation that begins like all those of its account and class.
func promptMessages(seed uint64, number int, s source) []chat.Message {
	shared := fmt.Sprintf("You answer for %s in the class %s. ", s.account, s.class.Name)
	shared = strings.Repeat(shared, sharedPromptBytes/len(shared)+1)
	return []chat.Message{
		{Role: "system", Content: shared[:sharedPromptBytes]},
		{Role: "user", Content: fmt.Sprintf("This is question %d of load %d.", number, seed)},
	}
}

// capacity is the rate of model calls that the engines can answer, in calls a
// second, with full batches and cached prompt prefixes.
func (t *traffic) capacity() float64 {
	tokens := 0
	for i := range sampledAnswers {
		prompt := engine.Prompt(promptMessages(0, i, t.modelSources[i%len(t.modelSources)]))
		tokens += len(engine.Answer(app.AnswerSeed, prompt, maxAnswerTokens))
	}
	mean := float64(tokens) / sampledAnswers
	step := engineStep + engineBatch*engineStepPerRequest
	perCall := mean * step.Seconds() / engineBatch
	return float64(t.engines) / perCall
}
