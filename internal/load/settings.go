// Package load sends an open-loop load to a deployment and reports what its
// callers got: arrivals do not wait for answers, and times count from the
// moment at which a call should have been sent.
package load

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

// Scenario is a course of events during a run.
type Scenario string

// The scenarios.
const (
	// ScenarioSteady has the load alone.
	ScenarioSteady Scenario = "steady"
	// ScenarioBurst has one class arrive in a burst on top of a light load.
	ScenarioBurst Scenario = "burst"
	// ScenarioStraggler makes two engines slow.
	ScenarioStraggler Scenario = "straggler"
	// ScenarioCrash crashes an engine mid-answer, and revives it.
	ScenarioCrash Scenario = "crash"
	// ScenarioDrain drains an endpoint, and takes it back.
	ScenarioDrain Scenario = "drain"
	// ScenarioStoreOutage makes the table service unavailable.
	ScenarioStoreOutage Scenario = "store-outage"
	// ScenarioSilentLink makes the open answers of an engine silent for good, several times.
	ScenarioSilentLink Scenario = "silent-link"
)

// Baseline is a simple decision that the same load is measured with.
type Baseline string

// The baselines. Both send straight to the endpoints, which queue first-in-first-out.
const (
	// BaselineNone measures the router itself.
	BaselineNone Baseline = "none"
	// BaselineRoundRobin takes the endpoints in turn.
	BaselineRoundRobin Baseline = "round-robin"
	// BaselineLeastLoad takes the endpoint with the least load in its last report.
	BaselineLeastLoad Baseline = "least-reported-load"
)

// Settings are the settings of a run.
type Settings struct {
	Deployment string
	Scenario   Scenario
	Baseline   Baseline
	Duration   time.Duration
	// WarmUp is the time between the start of an embedded deployment and the
	// first arrival. A new entry's shares of limits are whole after 10.2 s.
	WarmUp time.Duration
	Seed   uint64
	// Load is the rate of model calls over the capacity of the engines.
	Load float64
	// Targets are URLs of entries. Empty starts the deployment in this process.
	Targets []string
	// KeyPrefix and the account's name make the key of each account.
	KeyPrefix string
	// Progress is called each second with the number of calls sent and ended.
	Progress func(sent, ended int)
}

// Engines of the embedded deployment, and the shape of the calls.
const (
	engineBatch           = 3
	engineStep            = 38 * time.Millisecond
	engineStepPerRequest  = 4 * time.Millisecond
	enginePrefillPerToken = 100 * time.Microsecond
	engineCacheBlocks     = 512
	entryCount            = 3
	maxAnswerTokens       = 150
	sharedPromptBytes     = 960
	// plainCallRate is the rate of calls of plain services, in calls a second.
	plainCallRate = 5.0
	// settleTime is how long the run waits for answers after the last arrival.
	settleTime = 45 * time.Second
)

func engineOptions(int) engine.Options {
	return engine.Options{
		MaxBatch:        engineBatch,
		StepBase:        engineStep,
		StepPerRequest:  engineStepPerRequest,
		PrefillPerToken: enginePrefillPerToken,
		CacheBlocks:     engineCacheBlocks,
	}
}
