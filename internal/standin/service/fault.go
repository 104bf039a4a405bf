package service

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
	// Slow multiplies the service time. Zero and one mean none.
	Slow float64 `json:"slow"`
	// Silent makes the service execute requests and say nothing. Once it is
	// lifted the answers come, late.
	Silent bool `json:"silent"`
	// Crashed closes all connections and refuses new ones until it is lifted.
	// Executions that have begun are still counted.
	Crashed bool `json:"crashed"`
	// CrashBeforeNext is the number of requests to come whose connection is cut before the execution.
	CrashBeforeNext int `json:"crash_before_next"`
	// CrashAfterNext is the number of requests to come whose connection is cut after the execution.
	CrashAfterNext int `json:"crash_after_next"`
	// MuteOpen makes the connections open now silent for good. New ones work.
	// It needs a Network, and is done once.
	MuteOpen bool `json:"mute_open"`
}

// errFaults is returned for faults out of bounds.
var errFaults = errors.New("slow and the numbers of crashes must not be negative")

type faultState struct {
	Faults
	// unsilenced is closed while the service may speak.
	unsilenced chan struct{}
}

func newFaultState() faultState {
	unsilenced := make(chan struct{})
	close(unsilenced)
	return faultState{unsilenced: unsilenced}
}

// SetFaults puts faults in force, in place of those before.
func (s *Service) SetFaults(f Faults) error {
	if f.Slow < 0 || f.CrashBeforeNext < 0 || f.CrashAfterNext < 0 {
		return errFaults
	}
	klog.InfoS("faults set", "service", s.options.Name, "slow", f.Slow, "silent", f.Silent, "crashed", f.Crashed,
		"crashBeforeNext", f.CrashBeforeNext, "crashAfterNext", f.CrashAfterNext, "muteOpen", f.MuteOpen)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults.Faults
	s.faults.Faults = f
	if f.Silent && !before.Silent {
		s.faults.unsilenced = make(chan struct{})
	}
	if !f.Silent && before.Silent {
		close(s.faults.unsilenced)
	}
	network := s.options.Network
	if network == nil {
		return nil
	}
	if f.MuteOpen {
		network.Mute()
	}
	switch {
	case f.Crashed && !before.Crashed:
		network.Down()
	case !f.Crashed && before.Crashed:
		return network.Up()
	}
	return nil
}

// consumeCrash takes one off a number of crashes to come, and reports whether there was one.
func (s *Service) consumeCrash(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Crashed {
		return true
	}
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (s *Service) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow <= 0 {
		return s.options.ServiceTime
	}
	return time.Duration(float64(s.options.ServiceTime) * s.faults.Slow)
}

// waitUnsilenced waits until the service may speak, and reports whether the caller waited for it.
func (s *Service) waitUnsilenced(ctx context.Context) bool {
	s.mu.Lock()
	unsilenced := s.faults.unsilenced
	s.mu.Unlock()
	select {
	case <-unsilenced:
		return true
	case <-ctx.Done():
		return false
	}
}

// abortIfCrashed cuts connections while the service is crashed.
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
