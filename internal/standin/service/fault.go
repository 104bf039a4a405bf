package service

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
	// Slow is a factor on the service time. Zero means one.
	Slow float64 `json:"slow"`
	// Silent makes the service execute requests without responding. The responses
	// are sent once the fault is cleared.
	Silent bool `json:"silent"`
	// Crashed closes all connections and refuses new ones until it is cleared.
	// Executions in progress are still finished and counted.
	Crashed bool `json:"crashed"`
	// CrashBeforeNext is the number of further requests whose connection is aborted
	// before execution.
	CrashBeforeNext int `json:"crash_before_next"`
	// CrashAfterNext is the number of further requests whose connection is aborted
	// after execution.
	CrashAfterNext int `json:"crash_after_next"`
	// MuteOpen mutes the connections that are open now for good, as
	// netfault.Network.Mute does. It acts once, when the faults are set, and only
	// with a Network.
	MuteOpen bool `json:"mute_open"`
}

// errInvalidFaults is returned for fault values out of range.
var errInvalidFaults = errors.New("slow and the numbers of crashes must not be negative")

// faultState holds the injected faults and the state that applies them. The service's
// mutex guards it.
type faultState struct {
	Faults
	// responsesAllowed is closed while responses may be sent, that is, while the
	// Silent fault is off.
	responsesAllowed chan struct{}
}

func newFaultState() faultState {
	responsesAllowed := make(chan struct{})
	close(responsesAllowed)
	return faultState{responsesAllowed: responsesAllowed}
}

// SetFaults replaces the injected faults. It returns an error if a value is out of
// range, or if the network cannot come up again after Crashed is cleared.
func (s *Service) SetFaults(f Faults) error {
	if f.Slow < 0 || f.CrashBeforeNext < 0 || f.CrashAfterNext < 0 {
		return errInvalidFaults
	}
	klog.InfoS("faults set", "service", s.options.Name, "slow", f.Slow, "silent", f.Silent, "crashed", f.Crashed,
		"crashBeforeNext", f.CrashBeforeNext, "crashAfterNext", f.CrashAfterNext, "muteOpen", f.MuteOpen)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.faults.Faults
	s.faults.Faults = f
	if f.Silent && !previous.Silent {
		s.faults.responsesAllowed = make(chan struct{})
	}
	if !f.Silent && previous.Silent {
		close(s.faults.responsesAllowed)
	}
	network := s.options.Network
	if network == nil {
		return nil
	}
	if f.MuteOpen {
		network.Mute()
	}
	switch {
	case f.Crashed && !previous.Crashed:
		network.Down()
	case !f.Crashed && previous.Crashed:
		return network.Up()
	}
	return nil
}

// consumeCrash reports whether the current request's connection must be aborted:
// because the service is crashed, or because remaining is positive, in which case
// it is decremented. remaining points to a field guarded by the mutex.
func (s *Service) consumeCrash(remaining *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Crashed {
		return true
	}
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// serviceTime returns the time of one execution with the Slow fault applied.
func (s *Service) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow <= 0 {
		return s.options.ServiceTime
	}
	return time.Duration(float64(s.options.ServiceTime) * s.faults.Slow)
}

// waitResponsesAllowed waits until a response may be sent. It returns false if the
// client disconnects first.
func (s *Service) waitResponsesAllowed(ctx context.Context) bool {
	s.mu.Lock()
	responsesAllowed := s.faults.responsesAllowed
	s.mu.Unlock()
	select {
	case <-responsesAllowed:
		return true
	case <-ctx.Done():
		return false
	}
}

// abortIfCrashed wraps a handler to abort connections while the service is crashed.
func (s *Service) abortIfCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		crashed := s.faults.Crashed
		s.mu.Unlock()
		if crashed {
			api.AbortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := api.ReadJSON[Faults](w, r, true)
	if err == nil {
		err = s.SetFaults(faults)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	api.WriteJSON(w, http.StatusOK, faults)
}
