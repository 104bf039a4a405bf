// Package load implements dunlinpulley-load, a load generator. It sends an open-loop
// load to a deployment, either running entries or a deployment in this process, and
// reports attainment by class, goodput and wasted work. Arrivals do not wait for
// answers, and latencies count from the planned time of a call. It keeps the plan
// and the results of one run in memory.
package load

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

// Scenario names the events during a run.
type Scenario string

// Scenarios.
const (
	// ScenarioSteady is a constant load without events.
	ScenarioSteady Scenario = "steady"
	// ScenarioBurst adds a burst of calls of one class to a lower constant load.
	ScenarioBurst Scenario = "burst"
	// ScenarioStraggler makes two engines slow for a time.
	ScenarioStraggler Scenario = "straggler"
	// ScenarioCrash crashes two engines with answers in progress, and restarts them.
	ScenarioCrash Scenario = "crash"
	// ScenarioDrain drains an endpoint and undrains it later.
	ScenarioDrain Scenario = "drain"
	// ScenarioStoreOutage makes the table service unavailable for a time.
	ScenarioStoreOutage Scenario = "store-outage"
	// ScenarioSilentLink makes the open connections of an engine permanently
	// silent. It does so for two engines, and twice for one of them. New connections
	// work.
	ScenarioSilentLink Scenario = "silent-link"
)

// Baseline names a simple routing policy that is measured under the same load for
// comparison with the entries.
type Baseline string

// Baselines. All but BaselineNone send calls directly to the endpoints, which queue
// them first in, first out.
const (
	// BaselineNone sends calls to the entries.
	BaselineNone Baseline = "none"
	// BaselineRoundRobin picks the endpoints in turn.
	BaselineRoundRobin Baseline = "round-robin"
	// BaselineLeastLoad picks the engine with the least load in its last report, and
	// plain services in turn.
	BaselineLeastLoad Baseline = "least-reported-load"
)

// Settings are the settings of a run.
type Settings struct {
	// Deployment is app.PortHuron or app.Hwanyeong.
	Deployment string
	Scenario   Scenario
	Baseline   Baseline
	// Duration is the time during which calls arrive.
	Duration time.Duration
	// WarmUp is the time between the start of an embedded deployment and the first
	// arrival. In its first policy.LoanDuration plus policy.LoanMargin (10.2 s), an
	// entry treats the parts of its shares of limits that it can lend as lent, because
	// it may have lent them before a restart. Only after that can it use its whole
	// shares.
	WarmUp time.Duration
	// Seed determines arrivals and prompts.
	Seed uint64
	// Load is the rate of model calls as a multiple of the engines' capacity.
	Load float64
	// Targets are URLs of entries. Empty starts the deployment in this process.
	Targets []string
	// KeyPrefix followed by the account's name is the key of each account.
	KeyPrefix string
	// Progress, if not nil, is called each second with the numbers of calls sent and
	// ended.
	Progress func(sent, ended int)
}

// Engines and entries of the embedded deployment, and the shape of the calls.
const (
	// engineBatch is the number of requests that an engine runs at once, and the
	// slot limit of its agent.
	engineBatch = 3
	// engineStep and engineStepPerRequest are the time of a token step and the time
	// that each running request adds to it. A step of a full batch takes 50 ms.
	engineStep           = 38 * time.Millisecond
	engineStepPerRequest = 4 * time.Millisecond
	// enginePrefillPerToken is the time of a prompt token that is not cached. A shared
	// prompt prefix of 240 tokens takes 24 ms.
	enginePrefillPerToken = 100 * time.Microsecond
	// engineCacheBlocks is the size of the prefix cache, in blocks of 16 tokens. It is
	// enough for the shared prefixes of all accounts and classes of a deployment.
	engineCacheBlocks = 512
	// entryCount is the number of entries, all that the example deployments declare.
	entryCount = 3
	// maxAnswerTokens is the max_tokens of each call of a model.
	maxAnswerTokens = 150
	// sharedPromptBytes is the length of the prompt prefix that all calls of an
	// account and class share: 240 tokens of 4 bytes, which fill 15 cache blocks.
	sharedPromptBytes = 960
	// plainCallRate is the total rate of calls of plain services, in calls per second.
	plainCallRate = 5.0
	// settleTime is how long the run waits for answers after the last arrival.
	settleTime = 45 * time.Second
)

// engineOptions returns the options of each embedded model engine.
func engineOptions(int) engine.Options {
	return engine.Options{
		MaxBatch:        engineBatch,
		StepBase:        engineStep,
		StepPerRequest:  engineStepPerRequest,
		PrefillPerToken: enginePrefillPerToken,
		CacheBlocks:     engineCacheBlocks,
	}
}
