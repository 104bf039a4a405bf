package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
)

// Faults are the faults in force.
type Faults struct {
	// Slow multiplies the time of each step. Zero and one mean none.
	Slow float64 `json:"slow"`
	// Silent makes the engine accept requests and say nothing. Once it is
	// lifted the answers go on, late.
	Silent bool `json:"silent"`
	// Crashed closes all connections and refuses new ones until it is lifted.
	Crashed bool `json:"crashed"`
	// CrashAfterTokens crashes the engine once it has computed that many more
	// tokens. Zero means never.
	CrashAfterTokens uint64 `json:"crash_after_tokens"`
	// MuteOpen makes the connections open now silent for good. New ones work. It
	// is done once. With no Network it mutes the answers open now alone.
	MuteOpen bool `json:"mute_open"`
}

// errFaults is returned for faults out of bounds.
var errFaults = errors.New("slow must not be negative")

type faultState struct {
	Faults
	crashAtTokens uint64
	// unsilenced is closed while the engine may speak.
	unsilenced chan struct{}
}

func newFaultState() faultState {
	unsilenced := make(chan struct{})
	close(unsilenced)
	return faultState{unsilenced: unsilenced}
}

func (f *faultState) scaleStep(d time.Duration) time.Duration {
	if f.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}

// SetFaults puts faults in force, in place of those before.
func (e *Engine) SetFaults(f Faults) error {
	if f.Slow < 0 {
		return errFaults
	}
	klog.InfoS("faults set", "engine", e.options.Name, "slow", f.Slow, "silent", f.Silent, "crashed", f.Crashed,
		"crashAfterTokens", f.CrashAfterTokens, "muteOpen", f.MuteOpen)
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.faults.Faults
	e.faults.Faults = f
	e.faults.crashAtTokens = 0
	if f.CrashAfterTokens > 0 {
		e.faults.crashAtTokens = e.counters.tokens + f.CrashAfterTokens
	}
	if f.Silent && !before.Silent {
		e.faults.unsilenced = make(chan struct{})
	}
	if !f.Silent && before.Silent {
		close(e.faults.unsilenced)
	}
	network := e.options.Network
	switch {
	case f.MuteOpen && network != nil:
		network.Mute()
	case f.MuteOpen:
		e.muteAnswers()
	}
	switch {
	case f.Crashed && !before.Crashed:
		e.crash()
	case !f.Crashed && before.Crashed && network != nil:
		return network.Up()
	}
	return nil
}

// muteAnswers makes the open answers silent for good. The caller holds the lock.
func (e *Engine) muteAnswers() {
	for _, j := range e.waiting {
		j.muted = true
	}
	for _, j := range e.running {
		j.muted = true
	}
}

// crash ends all jobs and connections, and loses the cache. The caller holds the lock.
func (e *Engine) crash() {
	e.faults.Crashed = true
	e.endAllJobs(EndCrashed)
	e.cache = newPrefixCache(e.options.CacheBlocks, e.cacheEvents.add)
	if e.options.Network != nil {
		e.options.Network.Down()
	}
}

// crashIfDue crashes the engine when it has computed its last token. The caller holds the lock.
func (e *Engine) crashIfDue() {
	if e.faults.crashAtTokens > 0 && e.counters.tokens >= e.faults.crashAtTokens {
		e.faults.crashAtTokens = 0
		e.crash()
	}
}

// waitUnsilenced waits until the engine may speak. It reports false when the
// caller hangs up before, or the engine crashes.
func (e *Engine) waitUnsilenced(ctx context.Context, j *job) bool {
	e.mu.Lock()
	unsilenced := e.faults.unsilenced
	if j.muted {
		unsilenced = nil // is never closed
	}
	e.mu.Unlock()
	select {
	case <-unsilenced:
		return true
	case <-ctx.Done():
		return false
	case <-j.crashed:
		return true
	}
}

// abortIfCrashed cuts connections while the engine is crashed.
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
