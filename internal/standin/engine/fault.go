package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
)

// Faults is the set of injected faults. The zero value injects none.
type Faults struct {
	// Slow is a factor on the time of each step. Zero means one.
	Slow float64 `json:"slow"`
	// Silent makes the engine accept and compute requests without sending any
	// response data. The data is sent once the fault is cleared.
	Silent bool `json:"silent"`
	// Crashed closes all connections and refuses new ones until it is cleared.
	Crashed bool `json:"crashed"`
	// CrashAfterTokens sets Crashed once the engine has computed this many more
	// tokens. Zero means never.
	CrashAfterTokens uint64 `json:"crash_after_tokens"`
	// MuteOpen mutes the connections that are open now for good, as
	// netfault.Network.Mute does. It acts once, when the faults are set. Without a
	// Network it suppresses only the responses in progress.
	MuteOpen bool `json:"mute_open"`
}

// errInvalidFaults is returned for fault values out of range.
var errInvalidFaults = errors.New("slow must not be negative")

// faultState holds the injected faults and the state that applies them. The engine's
// mutex guards it.
type faultState struct {
	Faults
	crashAtTokens uint64 // total of computed tokens at which to crash; zero: never
	// responsesAllowed is closed while responses may be sent, that is, while the
	// Silent fault is off.
	responsesAllowed chan struct{}
}

func newFaultState() faultState {
	responsesAllowed := make(chan struct{})
	close(responsesAllowed)
	return faultState{responsesAllowed: responsesAllowed}
}

// scaleStep applies the Slow fault to the duration of a step.
func (f *faultState) scaleStep(d time.Duration) time.Duration {
	if f.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}

// SetFaults replaces the injected faults. It returns an error if a value is out of
// range, or if the network cannot come up again after Crashed is cleared.
func (e *Engine) SetFaults(f Faults) error {
	if f.Slow < 0 {
		return errInvalidFaults
	}
	klog.InfoS("faults set", "engine", e.options.Name, "slow", f.Slow, "silent", f.Silent, "crashed", f.Crashed,
		"crashAfterTokens", f.CrashAfterTokens, "muteOpen", f.MuteOpen)
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.faults.Faults
	e.faults.Faults = f
	e.faults.crashAtTokens = 0
	if f.CrashAfterTokens > 0 {
		e.faults.crashAtTokens = e.counters.tokens + f.CrashAfterTokens
	}
	if f.Silent && !previous.Silent {
		e.faults.responsesAllowed = make(chan struct{})
	}
	if !f.Silent && previous.Silent {
		close(e.faults.responsesAllowed)
	}
	network := e.options.Network
	switch {
	case f.MuteOpen && network != nil:
		network.Mute()
	case f.MuteOpen:
		e.muteAnswers()
	}
	switch {
	case f.Crashed && !previous.Crashed:
		e.crash()
	case !f.Crashed && previous.Crashed && network != nil:
		return network.Up()
	}
	return nil
}

// muteAnswers suppresses all further data of the responses in progress. The
// caller holds the lock.
func (e *Engine) muteAnswers() {
	for _, j := range e.waiting {
		j.muted = true
	}
	for _, j := range e.running {
		j.muted = true
	}
}

// crash ends all jobs, closes all connections and clears the prefix cache. The
// caller holds the lock.
func (e *Engine) crash() {
	e.faults.Crashed = true
	e.endAllJobs(EndCrashed)
	e.cache = newPrefixCache(e.options.CacheBlocks, e.cacheEvents.add)
	if e.options.Network != nil {
		e.options.Network.Down()
	}
}

// crashIfDue crashes the engine once the CrashAfterTokens fault's token count is
// reached. The caller holds the lock.
func (e *Engine) crashIfDue() {
	if e.faults.crashAtTokens > 0 && e.counters.tokens >= e.faults.crashAtTokens {
		e.faults.crashAtTokens = 0
		e.crash()
	}
}

// waitResponsesAllowed waits until response data of a job may be sent. It returns
// false if the client disconnects first. It returns true if the job's engine
// crashes: the response then ends with an aborted connection.
func (e *Engine) waitResponsesAllowed(ctx context.Context, j *job) bool {
	e.mu.Lock()
	responsesAllowed := e.faults.responsesAllowed
	if j.muted {
		responsesAllowed = nil // never ready, so only a disconnect or a crash ends the wait
	}
	e.mu.Unlock()
	select {
	case <-responsesAllowed:
		return true
	case <-ctx.Done():
		return false
	case <-j.crashed:
		return true
	}
}

// abortIfCrashed wraps a handler to abort connections while the engine is crashed
// or closed.
func (e *Engine) abortIfCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		crashed := e.faults.Crashed || e.closed
		e.mu.Unlock()
		if crashed {
			api.AbortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := api.ReadJSON[Faults](w, r, true)
	if err == nil {
		err = e.SetFaults(faults)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	api.WriteJSON(w, http.StatusOK, faults)
}
